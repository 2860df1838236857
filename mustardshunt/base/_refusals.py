"""Refusals: why a call was not answered, and whether it ran."""

import enum
from dataclasses import dataclass


class Effect(enum.StrEnum):
    """What is known of a call's effect at the backend server."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Reason(enum.StrEnum):
    """Why a call was refused; the same word in answer, log and metric."""

    NO_KEY = 'no-key'
    UNKNOWN_KEY = 'unknown-key'
    KEY_IN_REQUEST = 'key-in-request'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    UNKNOWN_ROUTE = 'unknown-route'
    INTERNAL_ROUTE = 'internal-route'
    RATE_EXCEEDED = 'rate-exceeded'
    RATE_UNAVAILABLE = 'rate-unavailable'
    OVERLOADED = 'overloaded'
    REJECTED = 'rejected'
    DRAINING = 'draining'
    NO_BACKEND_SERVER = 'no-backend-server'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    UNKNOWN_CALL = 'unknown-call'
    TOO_DEEP = 'too-deep'
    TOO_MANY_CALLS = 'too-many-calls'
    RETRY_BUDGET = 'retry-budget'
    QUARANTINED = 'quarantined'
    DUPLICATE = 'duplicate'
    IDEMPOTENCY_CONFLICT = 'idempotency-conflict'
    PLATFORM_UNAVAILABLE = 'platform-unavailable'
    NOT_READY = 'not-ready'
    BACKEND_SERVER_LOST = 'backend-server-lost'
    LINK_LOST = 'link-lost'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer in place of the backend server's.

    Parameters
    ----------
    reason : Reason
        Why the call was refused.
    effect : Effect
        Whether the call ran; ``NOT_RUN`` only where that is known.
    detail : str, default=''
        For people; never holds a key.
    retry_after : float, default=0.0
        Seconds after which a repeat may be served, 0 when not known.
    """

    reason: Reason
    effect: Effect
    detail: str = ''
    retry_after: float = 0.0
