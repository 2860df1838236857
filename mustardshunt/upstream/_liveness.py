"""Which run of the backend server is there, and what it says of itself."""

from collections import OrderedDict
from typing import Final

from mustardshunt.upstream._events import Heartbeat, ServerPhase

# Heartbeats that may be missing before a backend server counts as gone.
MISSED_HEARTBEATS: Final = 3
# Past runs whose late heartbeats are still recognised.
REMEMBERED_RUNS: Final = 64


class LivenessTracker:
    """Orders the heartbeats of the runs of one backend server.

    Heartbeats can arrive late and out of order, also after their sender has
    crashed and another run has taken its place.

    Parameters
    ----------
    heartbeat_interval : float
        Seconds between two heartbeats.
    """

    def __init__(self, heartbeat_interval: float) -> None:
        self.phase = ServerPhase.UNKNOWN
        self.current: Heartbeat | None = None
        self._silence = heartbeat_interval * (MISSED_HEARTBEATS + 1)
        self._seen_at = 0.0
        self._ended: OrderedDict[str, int | None] = OrderedDict()

    def record_heartbeat(self, report: Heartbeat, now: float) -> bool:
        """Take a heartbeat in; False when it is of a past run or late."""
        if self._is_outdated(report):
            return False
        current = self.current
        if current is not None and not _is_same_run(current, report):
            self._remember_end(current)
        self._ended.pop(report.instance, None)
        self.current = report
        self.phase = report.phase
        self._seen_at = now
        return True

    def deregister(self, instance: str) -> bool:
        """Note that a run says it leaves; False when it is not the current."""
        current = self.current
        if current is None or current.instance != instance:
            return False
        self._remember_end(current)
        self.phase = ServerPhase.GONE
        return True

    def mark_unreachable(self) -> None:
        """Note that nobody listens at the address of the backend server."""
        if self.phase is ServerPhase.READY:
            self.phase = ServerPhase.GONE

    def check_timeout(self, now: float) -> bool:
        """Note silence; True when the backend server now counts as gone."""
        if self.phase in {ServerPhase.UNKNOWN, ServerPhase.GONE}:
            return False
        if now - self._seen_at < self._silence:
            return False
        self.phase = ServerPhase.GONE
        return True

    def _is_outdated(self, report: Heartbeat) -> bool:
        if report.instance in self._ended:
            ended_at = self._ended.get(report.instance)
            return not _is_later(report.started_at, ended_at)
        current = self.current
        if current is None:
            return False
        if current.instance == report.instance:
            if _is_later(report.started_at, current.started_at):
                return False
            if _is_later(current.started_at, report.started_at):
                return True
            return report.sequence <= current.sequence
        return _is_later(current.started_at, report.started_at)

    def _remember_end(self, report: Heartbeat) -> None:
        self._ended[report.instance] = report.started_at
        if len(self._ended) > REMEMBERED_RUNS:
            self._ended.popitem(last=False)


def _is_same_run(one: Heartbeat, other: Heartbeat) -> bool:
    return one.instance == other.instance and one.started_at == other.started_at


def _is_later(one: int | None, other: int | None) -> bool:
    if one is None or other is None:
        return False
    return one > other
