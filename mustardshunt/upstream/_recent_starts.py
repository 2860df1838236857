"""Calls that were started at a backend server within the last second."""

import math
from collections import deque
from typing import Final

# Length of the sliding window. In any second, a cold backend server must not
# receive more calls than its rate limit. The window is longer than 1 s, because
# the calls can arrive closer together than the node has sent them.
WINDOW_SECONDS: Final = 1.1


class RecentStarts:
    """Counts the calls that started within a sliding window.

    All calls are recorded, so that the calls of the last window count when a
    cold start or a limit begins.

    Examples
    --------
    >>> starts = RecentStarts()
    >>> for now in (0.0, 0.1):
    ...     starts.record(now)
    >>> starts.remaining(2.0, now=0.5), starts.remaining(2.0, now=1.15)
    (0, 1)
    """

    def __init__(self) -> None:
        self._starts: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record that a call was started at the time ``now`` in seconds."""
        self._starts.append(now)
        self._remove_expired(now)

    def rate(self, now: float) -> float:
        """Return the calls a second that started within the window."""
        self._remove_expired(now)
        return len(self._starts) / WINDOW_SECONDS

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
