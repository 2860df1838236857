"""Rate limit for the requests to a backend server in its cold start."""

import math
from collections import deque
from typing import Final

# Length of the sliding window. The backend server must not receive more calls
# than the limit in any second. The window is longer than 1 s, because calls
# can arrive closer together than they were sent.
WINDOW_SECONDS: Final = 1.1


class ColdStartRateLimit:
    """Limits the calls that are started within a sliding window.

    Calls are recorded also while the backend server is warm, so that the
    limit holds as soon as a cold start begins.

    Examples
    --------
    >>> limit = ColdStartRateLimit()
    >>> for now in (0.0, 0.1):
    ...     limit.record(now)
    >>> limit.remaining(2.0, now=0.5), limit.remaining(2.0, now=1.15)
    (0, 1)
    """

    def __init__(self) -> None:
        self._starts: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record that a call was started at the time ``now`` in seconds."""
        self._starts.append(now)
        self._remove_expired(now)

    def remaining(self, rate: float, now: float) -> int:
        """Return the number of calls that may be started now.

        Parameters
        ----------
        rate : float
            Requests per second, rounded down to a whole number.
        now : float
            Time in seconds.
        """
        self._remove_expired(now)
        return max(0, math.floor(rate) - len(self._starts))

    def _remove_expired(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_SECONDS:
            self._starts.popleft()
