"""Lowest importance that a gate accepts, as its callers see it."""

import math
from typing import Final

from mustardshunt.base import Importance

# Starts and refusals are compared over this many seconds.
_REVIEW_SECONDS: Final = 0.25
# Calm needed before a lower importance is accepted again. Doubles each time
# the level rises soon after it fell, so that it does not oscillate.
_FIRST_HOLD: Final = 0.5
_LONGEST_HOLD: Final = 4.0
# Holds after which a rise no longer counts as soon after a fall.
_SOON: Final = 4
# With this part of the limit free, the level falls without the first hold.
_IDLE: Final = 0.5


class SheddingThreshold:
    """Rises past an importance that is refused and never started.

    An importance of which some calls are still started stays accepted: the
    queue chooses among them, and refusing all of them at the first hop would
    leave the backend server idle.
    """

    def __init__(self) -> None:
        self._level = Importance.LOW
        self._started: set[Importance] = set()
        self._refused: set[Importance] = set()
        self._review_at = -math.inf
        self._calm_since = math.inf
        self._lowered_at = -math.inf
        self._hold = _FIRST_HOLD

    def current(self) -> Importance:
        """Return the lowest importance that is accepted."""
        return self._level

    def record_start(self, importance: Importance) -> None:
        """Take a start of a call."""
        self._started.add(importance)

    def record_refusal(self, importance: Importance) -> None:
        """Take a refusal for want of capacity."""
        self._refused.add(importance)

    def review(self, now: float, room: float) -> None:
        """Adjust the level when a review is due.

        Parameters
        ----------
        now : float
            Time in seconds.
        room : float
            Part of the limit that is free; 0 when calls wait.
        """
        if now < self._review_at:
            return
        self._review_at = now + _REVIEW_SECONDS
        self._raise_past_refused(now)
        if self._refused or not room:
            self._calm_since = math.inf
        elif self._calm_since == math.inf:
            self._calm_since = now
        elif now - self._calm_since >= self._needed_calm(room):
            self._lower_level(now)
        self._started.clear()
        self._refused.clear()

    def _needed_calm(self, room: float) -> float:
        may_skip = room >= _IDLE and self._hold <= _FIRST_HOLD
        return 0.0 if may_skip else self._hold

    def _raise_past_refused(self, now: float) -> None:
        seen = self._refused | self._started
        lowest = min(
            (importance for importance in seen if importance >= self._level),
            default=Importance.CRITICAL,
        )
        if lowest is Importance.CRITICAL or lowest in self._started:
            return
        self._level = Importance(lowest + 1)
        if now - self._lowered_at < _SOON * self._hold:
            self._hold = min(2 * self._hold, _LONGEST_HOLD)

    def _lower_level(self, now: float) -> None:
        if self._level is Importance.LOW:
            self._hold = _FIRST_HOLD
            return
        self._level = Importance(self._level - 1)
        self._lowered_at = now
        self._calm_since = now
