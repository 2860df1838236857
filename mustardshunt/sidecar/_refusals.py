"""Requests that a node answers itself."""

import random
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.relay import HttpResponse

# Part of the target latency after which a refused caller may come back.
RETRY_AFTER_FRACTION: Final = 0.4
MIN_RETRY_AFTER_SECONDS: Final = 0.05
MAX_RETRY_AFTER_SECONDS: Final = 1.5

_STATUS_BY_REASON: Final = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.RATE_EXCEEDED: 429,
    Reason.BACKEND_SERVER_LOST: 502,
    Reason.DEADLINE_EXCEEDED: 504,
}
_UNAVAILABLE: Final = 503


class RefusedError(Exception):
    """A request is answered by the node itself.

    Parameters
    ----------
    reason : Reason
        Why.
    retry_after : float
        Seconds after which the caller may come back, 0 if it should not.
    """

    def __init__(self, reason: Reason, retry_after: float = 0.0) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


def unavailable(reason: Reason, latency_objective: float) -> RefusedError:
    """Return the refusal of a request that has not run.

    Parameters
    ----------
    reason : Reason
        Why.
    latency_objective : float
        Seconds within which the request should be answered.
    """
    pause = latency_objective * RETRY_AFTER_FRACTION
    # Callers that were refused together do not come back together.
    pause *= 0.75 + random.random() / 2
    bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, pause))
    return RefusedError(reason, bounded)


def status_of(reason: Reason) -> int:
    """Return the HTTP status of a refusal.

    Examples
    --------
    >>> status_of(Reason.OVERLOADED)
    503
    """
    return _STATUS_BY_REASON.get(reason, _UNAVAILABLE)


def refusal_response(refusal: RefusedError) -> HttpResponse:
    """Return the reply to a request that is refused."""
    head = b''
    if refusal.retry_after > 0:
        head = b'Retry-After: %.3f\r\n' % refusal.retry_after
    return HttpResponse(
        status_of(refusal.reason),
        head,
        refusal.reason.value.encode(),
    )
