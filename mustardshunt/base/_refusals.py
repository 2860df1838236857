"""Refusals of calls: the reason, and whether the call ran."""

import enum
from dataclasses import dataclass


class Effect(enum.StrEnum):
    """Whether the backend server ran a refused call, if that is known."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Reason(enum.StrEnum):
    """Reason of a refusal; responses, logs and metrics use the same value."""

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
    """Response to a refused call.

    The caller gets the refusal in place of the backend server's response.

    Parameters
    ----------
    reason : Reason
        Why the call was refused.
    effect : Effect
        Whether the call ran; ``NOT_RUN`` only if it certainly did not run.
    detail : str, default=''
        Description for people; never contains an API key.
    retry_after : float, default=0.0
        Seconds after which a retry may succeed, 0 if unknown.
    """

    reason: Reason
    effect: Effect
    detail: str = ''
    retry_after: float = 0.0
