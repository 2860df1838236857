"""Signs that a backend server has turned cold without saying so."""

import math
from typing import Final

# Self time over this many times the base, with a failure, is a cold start.
_COLD_RATIO: Final = 8.0
# A slow answer and a failure belong together within this many seconds.
_TOGETHER_SECONDS: Final = 1.0
# Connections lost within this many seconds were reset together.
_RESET_SECONDS: Final = 0.1
# Fewer lost connections than this may be a fault of single calls.
_FEWEST_RESETS: Final = 2


class ColdStartDetector:
    """Tells from answers and failures that a backend server is cold."""

    def __init__(self) -> None:
        self._slow_at = -math.inf
        self._failed_at = -math.inf
        self._reset_began = -math.inf
        self._resets = 0
        self._in_flight_at_reset = 0

    def record_self_time(
        self,
        self_time: float,
        base: float,
        now: float,
    ) -> bool:
        """Take a self time; return whether it makes the server cold."""
        if not base or self_time <= _COLD_RATIO * base:
            return False
        self._slow_at = now
        return self._is_slow_and_failing()

    def record_failure(self, now: float) -> bool:
        """Take a failure or shed answer; return whether it is cold now."""
        self._failed_at = now
        return self._is_slow_and_failing()

    def record_reset(self, in_flight: int, now: float) -> bool:
        """Take a lost connection; return whether many were lost at once.

        Parameters
        ----------
        in_flight : int
            Calls in flight before this one was lost.
        now : float
            Time in seconds.
        """
        if now - self._reset_began > _RESET_SECONDS:
            self._reset_began = now
            self._resets = 0
            self._in_flight_at_reset = in_flight
        self._resets += 1
        return self._resets >= max(
            _FEWEST_RESETS,
            self._in_flight_at_reset / 2,
        )

    def clear(self) -> None:
        """Forget all signs, once they have been acted upon."""
        self._slow_at = -math.inf
        self._failed_at = -math.inf
        self._resets = 0
        self._reset_began = -math.inf

    def _is_slow_and_failing(self) -> bool:
        if math.isinf(self._slow_at) or math.isinf(self._failed_at):
            return False
        return abs(self._slow_at - self._failed_at) <= _TOGETHER_SECONDS
