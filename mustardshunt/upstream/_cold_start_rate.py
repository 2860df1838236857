"""Bound on the requests that a cold backend server gets."""

import math
from collections import deque
from typing import Final

# The window is longer than the second over which the bound holds, because
# requests sent evenly can arrive bunched up.
WINDOW_SECONDS: Final = 1.1


class ColdStartRateLimit:
    """Counts starts in a sliding window.

    Starts are recorded also while the backend server is warm, so that the
    bound holds from the moment at which it turns cold.

    Examples
    --------
    >>> cold = ColdStartRateLimit()
    >>> for now in (0.0, 0.1):
    ...     cold.record(now)
    >>> cold.remaining(2.0, now=0.5), cold.remaining(2.0, now=1.15)
    (0, 1)
    """

    def __init__(self) -> None:
        self._starts: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count a start."""
        self._starts.append(now)
        self._forget(now)

    def remaining(self, rate: float, now: float) -> int:
        """Return how many starts the rate still allows now.

        Parameters
        ----------
        rate : float
            Requests per second.
        now : float
            Time in seconds.
        """
        self._forget(now)
        return max(0, math.floor(rate) - len(self._starts))

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_SECONDS:
            self._starts.popleft()
