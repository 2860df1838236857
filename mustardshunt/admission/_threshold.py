"""Shedding threshold of a gate, which its node reports to callers."""

import math
from typing import Final

from mustardshunt.base import Importance

# Interval between reviews of the shedding threshold. Each review considers the
# calls that were started or refused since the previous review.
_REVIEW_SECONDS: Final = 0.25
# Initial hold time. The threshold is lowered when no call was refused and part
# of the concurrency limit was free during the hold time. Each time the
# threshold rises soon after it was lowered, the hold time doubles, so that the
# threshold does not oscillate.
_INITIAL_HOLD_SECONDS: Final = 0.5
_MAX_HOLD_SECONDS: Final = 4.0
# Length of the period after the threshold was lowered, as a number of hold
# times. A rise of the threshold within this period counts as an oscillation and
# doubles the hold time; a later rise does not.
_OSCILLATION_HOLDS: Final = 4
# Part of the concurrency limit, from 0 to 1. While at least this part is free,
# the shedding threshold is lowered without waiting for the hold time. While
# less is free, or after the hold time has been doubled, the hold time applies.
_IDLE_FRACTION: Final = 0.5


class SheddingThreshold:
    """Lowest importance of the calls that a gate accepts.

    Each review considers the lowest accepted importance of which calls have
    arrived. When all calls of this importance were refused, the threshold rises
    above the importance. While some of them still start, the importance stays
    accepted, and the queue chooses among its calls. If callers held back all of
    these calls, the backend server would be idle.
    """

    def __init__(self) -> None:
        self._threshold = Importance.LOW
        self._started: set[Importance] = set()
        self._refused: set[Importance] = set()
        self._review_at = -math.inf
        self._underloaded_since = math.inf
        self._lowered_at = -math.inf
        self._hold_seconds = _INITIAL_HOLD_SECONDS

    def current(self) -> Importance:
        """Return the lowest importance that is accepted now."""
        return self._threshold

    def record_start(self, importance: Importance) -> None:
        """Record that a call of this importance has started."""
        self._started.add(importance)

    def record_refusal(self, importance: Importance) -> None:
        """Record that a call was refused for lack of capacity."""
        self._refused.add(importance)

    def review(self, now: float, free_fraction: float) -> None:
        """Raise or lower the threshold when a review is due.

        Parameters
        ----------
        now : float
            Time, in seconds.
        free_fraction : float
            Part of the concurrency limit that is free, from 0 to 1. The value
            is 0 when calls wait in the queue.
        """
        if now < self._review_at:
            return
        self._review_at = now + _REVIEW_SECONDS
        self._raise_above_refused(now)
        if self._refused or not free_fraction:
            self._underloaded_since = math.inf
        elif self._underloaded_since == math.inf:
            self._underloaded_since = now
        elif now - self._underloaded_since >= self._required_hold(
            free_fraction
        ):
            self._lower_threshold(now)
        self._started.clear()
        self._refused.clear()

    def _required_hold(self, free_fraction: float) -> float:
        may_skip_hold = (
            free_fraction >= _IDLE_FRACTION
            and self._hold_seconds <= _INITIAL_HOLD_SECONDS
        )
        return 0.0 if may_skip_hold else self._hold_seconds

    def _raise_above_refused(self, now: float) -> None:
        observed = self._refused | self._started
        lowest = min(
            (
                importance
                for importance in observed
                if importance >= self._threshold
            ),
            default=Importance.CRITICAL,
        )
        if lowest is Importance.CRITICAL or lowest in self._started:
            return
        self._threshold = Importance(lowest + 1)
        if now - self._lowered_at < _OSCILLATION_HOLDS * self._hold_seconds:
            self._hold_seconds = min(2 * self._hold_seconds, _MAX_HOLD_SECONDS)

    def _lower_threshold(self, now: float) -> None:
        if self._threshold is Importance.LOW:
            self._hold_seconds = _INITIAL_HOLD_SECONDS
            return
        self._threshold = Importance(self._threshold - 1)
        self._lowered_at = now
        self._underloaded_since = now
