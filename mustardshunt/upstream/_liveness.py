"""Tracks the current process of a backend server and its phase."""

from collections import OrderedDict
from typing import Final

from mustardshunt.upstream._events import Heartbeat, ServerPhase

# Most consecutive heartbeats that may be missing while the backend server still
# counts as present. If one more is missing, the backend server counts as gone.
MAX_MISSED_HEARTBEATS: Final = 3
# Most ended processes of a backend server whose identifiers are stored. Late
# heartbeats of these processes are ignored.
MAX_ENDED_RUNS: Final = 64


class LivenessTracker:
    """Tracks the current process of one backend server by its heartbeats.

    Heartbeats can arrive late and out of order. A heartbeat may even arrive
    after its process has crashed and another process has started. Outdated
    heartbeats are ignored.

    Parameters
    ----------
    heartbeat_interval : float
        Seconds between two heartbeats.
    """

    def __init__(self, heartbeat_interval: float) -> None:
        self.phase = ServerPhase.UNKNOWN
        self.current: Heartbeat | None = None
        self._timeout = heartbeat_interval * (MAX_MISSED_HEARTBEATS + 1)
        self._last_heartbeat_at = 0.0
        self._started_at_by_ended_run: OrderedDict[str, int | None] = (
            OrderedDict()
        )

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat and the phase that the heartbeat reports.

        If another process sent the heartbeat, this process becomes the current
        process.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat that has arrived.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if the heartbeat was recorded. False if the heartbeat is
            ignored: the process that sent the heartbeat has ended, or a newer
            heartbeat has arrived before.
        """
        if self._is_outdated(heartbeat):
            return False
        current = self.current
        if current is not None and not _is_same_run(current, heartbeat):
            self._record_end(current)
        self._started_at_by_ended_run.pop(heartbeat.instance, None)
        self.current = heartbeat
        self.phase = heartbeat.phase
        self._last_heartbeat_at = now
        return True

    def deregister(self, instance: str) -> bool:
        """Mark the backend server as gone after its process has deregistered.

        Parameters
        ----------
        instance : str
            Identifier of the process.

        Returns
        -------
        bool
            True if the backend server was marked as gone. False if the process
            is not the current process of the backend server; the
            deregistration is then ignored.
        """
        current = self.current
        if current is None or current.instance != instance:
            return False
        self._record_end(current)
        self.phase = ServerPhase.GONE
        return True

    def mark_unreachable(self) -> None:
        """Mark a ready backend server as gone: it refuses connections.

        A backend server in another phase keeps its phase.
        """
        if self.phase is ServerPhase.READY:
            self.phase = ServerPhase.GONE

    def check_timeout(self, now: float) -> bool:
        """Mark the backend server as gone if its heartbeats are missing.

        Returns
        -------
        bool
            Whether the backend server was marked as gone in this call.
        """
        if self.phase in {ServerPhase.UNKNOWN, ServerPhase.GONE}:
            return False
        if now - self._last_heartbeat_at < self._timeout:
            return False
        self.phase = ServerPhase.GONE
        return True

    def _is_outdated(self, heartbeat: Heartbeat) -> bool:
        if heartbeat.instance in self._started_at_by_ended_run:
            ended_run_started_at = self._started_at_by_ended_run.get(
                heartbeat.instance
            )
            return not _is_later(heartbeat.started_at, ended_run_started_at)
        current = self.current
        if current is None:
            return False
        if current.instance == heartbeat.instance:
            if _is_later(heartbeat.started_at, current.started_at):
                return False
            if _is_later(current.started_at, heartbeat.started_at):
                return True
            return heartbeat.sequence <= current.sequence
        return _is_later(current.started_at, heartbeat.started_at)

    def _record_end(self, heartbeat: Heartbeat) -> None:
        self._started_at_by_ended_run[heartbeat.instance] = heartbeat.started_at
        if len(self._started_at_by_ended_run) > MAX_ENDED_RUNS:
            self._started_at_by_ended_run.popitem(last=False)


def _is_same_run(one: Heartbeat, other: Heartbeat) -> bool:
    return one.instance == other.instance and one.started_at == other.started_at


def _is_later(one: int | None, other: int | None) -> bool:
    if one is None or other is None:
        return False
    return one > other
