"""Statistics of self times: a sliding minimum and the mean of a window."""

import math
from collections import deque


class SlidingMinimum:
    """Lowest number recorded within a sliding time window.

    Parameters
    ----------
    seconds : float
        Length of the window, in seconds.

    Examples
    --------
    >>> lows = SlidingMinimum(60.0)
    >>> for now, number in ((0.0, 3.0), (10.0, 1.0), (20.0, 2.0)):
    ...     lows.record(number, now)
    >>> lows.lowest()
    1.0
    >>> lows.record(4.0, 75.0)
    >>> lows.lowest()
    2.0
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        # Pairs of time and number, both in rising order. A number is dropped
        # when a later number is lower or equal, because the earlier number can
        # then never be the minimum again.
        self._lows: deque[tuple[float, float]] = deque()

    def record(self, number: float, now: float) -> None:
        """Add a number; drop the numbers that have left the time window."""
        lows = self._lows
        while lows and lows[-1][1] >= number:
            lows.pop()
        lows.append((now, number))
        while lows[0][0] < now - self._seconds:
            lows.popleft()

    def lowest(self) -> float:
        """Return the lowest number in the window, 0 if it holds no number."""
        return self._lows[0][1] if self._lows else 0.0

    def clear(self) -> None:
        """Remove all numbers."""
        self._lows.clear()


class SampleWindow:
    """Mean self time, and peak of calls in flight, over several answers."""

    def __init__(self) -> None:
        self.samples = 0
        self.peak_in_flight = 0
        self._sum = 0.0
        self._opened_at = -math.inf

    def add(self, self_time: float, in_flight: int, now: float) -> None:
        """Add a self time, and the calls in flight at its measurement."""
        if not self.samples:
            self._opened_at = now
        self.samples += 1
        self._sum += self_time
        self.peak_in_flight = max(self.peak_in_flight, in_flight)

    def is_full(
        self,
        min_samples: float,
        min_seconds: float,
        max_seconds: float,
        now: float,
    ) -> bool:
        """Tell whether the samples suffice to compute the mean.

        Parameters
        ----------
        min_samples : float
            Number of samples that suffice once ``min_seconds`` have passed.
        min_seconds : float
            Shortest time over which samples are collected, in seconds.
        max_seconds : float
            Time after which any number of samples suffices, in seconds.
        now : float
            Time, in seconds.
        """
        age = now - self._opened_at
        is_filled = self.samples >= min_samples and age >= min_seconds
        return is_filled or age >= max_seconds

    def mean(self) -> float:
        """Return the mean self time; the window must not be empty."""
        return self._sum / self.samples

    def clear(self) -> None:
        """Remove all samples and begin a new window."""
        self.samples = 0
        self.peak_in_flight = 0
        self._sum = 0.0
