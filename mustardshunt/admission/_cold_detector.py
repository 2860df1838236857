"""Detection of cold starts that a backend server has not reported."""

import math
from typing import Final

# A self time above this multiple of the base self time, together with a
# failure, is taken for a cold start.
_COLD_SELF_TIME_RATIO: Final = 8.0
# A slow answer and a failure at most this far apart are taken to have the same
# cause.
_COINCIDENCE_SECONDS: Final = 1.0
# Connections lost within this time were lost in the same crash.
_RESET_WINDOW_SECONDS: Final = 0.1
# Fewer lost connections than this may be faults of single calls.
_MIN_RESETS: Final = 2


class ColdStartDetector:
    """Detects a cold start from self times, failures and lost connections.

    Either a much longer self time close to a failure, or the loss of at least
    half the connections at once, is taken for a cold start.
    """

    def __init__(self) -> None:
        self._slow_answer_at = -math.inf
        self._failed_at = -math.inf
        self._reset_window_start = -math.inf
        self._reset_count = 0
        self._in_flight_at_reset = 0

    def record_self_time(
        self,
        self_time: float,
        base: float,
        now: float,
    ) -> bool:
        """Record a self time; return whether a cold start is detected.

        Parameters
        ----------
        self_time : float
            Smoothed self time, in seconds.
        base : float
            Self time without load, in seconds; 0 when not known.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            Whether a slow answer and a failure came close together.
        """
        if not base or self_time <= _COLD_SELF_TIME_RATIO * base:
            return False
        self._slow_answer_at = now
        return self._is_slow_and_failing()

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether a cold start is detected.

        A call that the backend server shed counts as a failure.
        """
        self._failed_at = now
        return self._is_slow_and_failing()

    def record_reset(self, in_flight: int, now: float) -> bool:
        """Record a lost connection; return whether a cold start is detected.

        Parameters
        ----------
        in_flight : int
            Calls in flight, including the call whose connection was lost.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            Whether at least two connections, and at least half of those with
            a call in flight, were lost within 0.1 s.
        """
        if now - self._reset_window_start > _RESET_WINDOW_SECONDS:
            self._reset_window_start = now
            self._reset_count = 0
            self._in_flight_at_reset = in_flight
        self._reset_count += 1
        return self._reset_count >= max(
            _MIN_RESETS,
            self._in_flight_at_reset / 2,
        )

    def clear(self) -> None:
        """Discard all records, so that one cold start is detected only once."""
        self._slow_answer_at = -math.inf
        self._failed_at = -math.inf
        self._reset_count = 0
        self._reset_window_start = -math.inf

    def _is_slow_and_failing(self) -> bool:
        if math.isinf(self._slow_answer_at) or math.isinf(self._failed_at):
            return False
        return (
            abs(self._slow_answer_at - self._failed_at) <= _COINCIDENCE_SECONDS
        )
