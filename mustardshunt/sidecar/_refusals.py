"""Refusals of requests, and the HTTP responses that a node sends for them."""

import random
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.relay import HttpResponse

# Mean time after which a refused caller may retry, as a fraction of the latency
# objective.
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
    """The node refuses a request and answers the caller with an error.

    Parameters
    ----------
    reason : Reason
        Why the request is refused.
    retry_after : float
        Seconds after which the caller may retry, 0 to send no
        ``Retry-After`` header.
    """

    def __init__(self, reason: Reason, retry_after: float = 0.0) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


def unavailable(reason: Reason, latency_objective: float) -> RefusedError:
    """Return a refusal that tells the caller to retry after a random time.

    Parameters
    ----------
    reason : Reason
        Why the request has not run.
    latency_objective : float
        Seconds within which requests of the route should be answered.
    """
    retry_after = latency_objective * RETRY_AFTER_FRACTION
    # The delay is random, so that callers that were refused at the same time do
    # not all retry at the same time.
    retry_after *= 0.75 + random.random() / 2
    bounded_retry_after = min(
        MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, retry_after)
    )
    return RefusedError(reason, bounded_retry_after)


def status_of(reason: Reason) -> int:
    """Return the HTTP status for a refusal reason.

    Examples
    --------
    >>> status_of(Reason.OVERLOADED)
    503
    """
    return _STATUS_BY_REASON.get(reason, _UNAVAILABLE)


def refusal_response(refusal: RefusedError) -> HttpResponse:
    """Return the HTTP response to a refused request."""
    head = b''
    if refusal.retry_after > 0:
        head = b'Retry-After: %.3f\r\n' % refusal.retry_after
    return HttpResponse(
        status_of(refusal.reason),
        head,
        refusal.reason.value.encode(),
    )
