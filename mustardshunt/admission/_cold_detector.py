"""Detection of cold starts that a backend server has not reported."""

import math
from typing import Final

# Multiple of the self time without load. The self time is the time spent in the
# backend server itself, without child calls. A self time above this multiple
# counts as a cold start if a call fails at about the same time. A self time up
# to this multiple never counts as a cold start.
_COLD_SELF_TIME_RATIO: Final = 8.0
# Longest time between a slow answer and a failure that count as signs of the
# same cold start. With more time between them, they count as independent.
_COINCIDENCE_SECONDS: Final = 1.0
# Connections lost within this time count as lost in the same crash of the
# backend server.
_RESET_WINDOW_SECONDS: Final = 0.1
# Smallest number of lost connections that counts as a crash of the backend
# server. Fewer lost connections may be due to faults of single calls.
_MIN_RESETS: Final = 2


class ColdStartDetector:
    """Detects a cold start from self times, failures and lost connections.

    The self time is the time spent in the backend server itself, without child
    calls. A cold start is detected in two cases. Either the self time is much
    longer than without load and a call fails at about the same time, or several
    connections are lost at once, at least half of those with a call in flight.
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
            Smoothed time spent in the backend server itself for each call,
            without child calls, in seconds.
        base : float
            Self time without load, in seconds; 0 when not known.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            True when this slow answer and a failure came within 1 s of each
            other.
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
            Whether at least two connections were lost within 0.1 s, and at
            least half of the connections that had a call in flight.
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
        """Discard all records, so that a cold start is detected only once."""
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
