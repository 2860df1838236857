"""Choice of the member that serves a call, and decisions on retries.

A ``Router`` knows the members of each service and chooses one of them for each
call. ``RouteDependencies`` finds out from past calls which child routes the
calls of a route need.
"""

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
