"""What the gate reports: forecasts, and periods in which calls are too late."""

import math
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._retry_times import REASONS_FOR_WANT_OF_ROOM
from mustardshunt.upstream import BackendGate

# Calls are no longer refused as too late when none was for this long.
QUIET_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000.0


class RoomReports:
    """Tells entry nodes and the log what the gate expects.

    Parameters
    ----------
    gate : BackendGate
        Admission control of the backend server beside this node.
    log : EventLog
        Log of the periods in which calls are refused as too late.
    """

    def __init__(self, gate: BackendGate, log: EventLog) -> None:
        # Whether refusals carry a forecast.
        self.sends_forecast = False
        self._gate = gate
        self._log = log
        self._reported_calls = 0
        self._refused_at = 0.0
        self._is_refusing = False

    def retry_after_ms(
        self, reason: Reason, priority_rank: int, now: float
    ) -> int:
        """Return the forecast that a refusal carries, 0 if unknown.

        Parameters
        ----------
        reason : Reason
            Why the call is refused.
        priority_rank : int
            Priority rank of the call.
        now : float
            Time in seconds.
        """
        if not self.sends_forecast or reason not in REASONS_FOR_WANT_OF_ROOM:
            return 0
        seconds = self._gate.forecast.retry_after(priority_rank, now)
        return math.ceil(seconds * _MS_PER_SECOND)

    def check(self, now: float) -> None:
        """Log when calls begin or cease to be refused as too late."""
        refused_calls = self._gate.start_rule.refused_calls
        if refused_calls > self._reported_calls:
            self._refused_at = now
            if not self._is_refusing:
                self._record(is_refusing=True, now=now)
        elif self._is_refusing and now - self._refused_at > QUIET_SECONDS:
            self._record(is_refusing=False, now=now)
        self._reported_calls = refused_calls

    def _record(self, *, is_refusing: bool, now: float) -> None:
        self._is_refusing = is_refusing
        self._log.record(
            'late-calls',
            now,
            is_refusing=is_refusing,
            refused=self._gate.start_rule.refused_calls,
        )
