"""Candidates of a service, the choice among them, and retries."""

from mustardshunt.routing._dependencies import RouteDependencies
from mustardshunt.routing._model import (
    CallEnded,
    CallStarted,
    EvacuatedDataCentresChanged,
    FailedAttempt,
    MemberReachable,
    MemberUnreachable,
    MemberUpdated,
    RetryDecision,
    RetryRule,
    RoutingEvent,
    RoutingRequest,
    Target,
)
from mustardshunt.routing._router import Router, make_router

__all__ = [
    'CallEnded',
    'CallStarted',
    'EvacuatedDataCentresChanged',
    'FailedAttempt',
    'MemberReachable',
    'MemberUnreachable',
    'MemberUpdated',
    'RetryDecision',
    'RetryRule',
    'RouteDependencies',
    'Router',
    'RoutingEvent',
    'RoutingRequest',
    'Target',
    'make_router',
]
