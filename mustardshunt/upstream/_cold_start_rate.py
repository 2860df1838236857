"""Rate limit for the calls to a backend server in its cold start."""

import math
from collections import deque
from typing import Final

# Length of the sliding window. In any second, the backend server must not
# receive more calls than the rate limit. The window is longer than 1 s, because
# the calls can arrive closer together than the node has sent them.
WINDOW_SECONDS: Final = 1.1


class ColdStartRateLimit:
    """Limits the calls that start within a sliding window in a cold start.

    Calls must also be recorded while the backend server is warm. When a cold
    start begins, the calls of the last window then count towards the limit.

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
        """Return the number of further calls that may start now.

        Parameters
        ----------
        rate : float
            Rate limit in calls per second. The limit is rounded down to a whole
            number.
        now : float
            Time in seconds.
        """
        self._remove_expired(now)
        return max(0, math.floor(rate) - len(self._starts))

    def _remove_expired(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_SECONDS:
            self._starts.popleft()
