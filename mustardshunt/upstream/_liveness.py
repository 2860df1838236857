"""Tracks the current process of a backend server and its phase."""

from collections import OrderedDict
from typing import Final

from mustardshunt.upstream._events import Heartbeat, ServerPhase, ServerRun
from mustardshunt.upstream._leaving_runs import LeavingRuns

# Most consecutive heartbeats that may be missing while the backend server still
# counts as present. If one more is missing, the backend server counts as gone.
MAX_MISSED_HEARTBEATS: Final = 3
# Most ended processes of a backend server whose identifiers are stored. Late
# heartbeats of these processes are ignored.
MAX_ENDED_RUNS: Final = 64
# Time for which no process is used under an identifier that was deregistered
# before the node knew its process. Reports of that process may still arrive
# within some seconds, and cannot be told from those of a restarted process.
UNKNOWN_DEREGISTRATION_SECONDS: Final = 10.0


class LivenessTracker:
    """Tracks the current process of one backend server by its heartbeats.

    Heartbeats can arrive late and out of order. A heartbeat may even arrive
    after its process has crashed and another process has started. Outdated
    heartbeats are ignored. Only an announcement that the process leaves counts
    whenever it arrives, and no later heartbeat of the process takes it back.

    Parameters
    ----------
    heartbeat_interval : float
        Seconds between two heartbeats.
    """

    def __init__(self, heartbeat_interval: float) -> None:
        self.phase = ServerPhase.UNKNOWN
        self.current: Heartbeat | None = None
        self._timeout = _timeout(heartbeat_interval)
        self._last_heartbeat_at = 0.0
        self._present_until = 0.0
        self._started_at_by_ended_run: OrderedDict[str, int | None] = (
            OrderedDict()
        )
        self._leaving_runs = LeavingRuns(MAX_ENDED_RUNS)
        self._barred_until_by_instance: OrderedDict[str, float] = OrderedDict()

    @property
    def run(self) -> ServerRun | None:
        """The current process, None if no heartbeat has arrived yet."""
        return None if self.current is None else self.current.run

    @property
    def version(self) -> str:
        """Version of the current process's software, empty if unknown."""
        return '' if self.current is None else self.current.version

    @property
    def is_leaving(self) -> bool:
        """Whether the current process has announced that it leaves."""
        return self.run in self._leaving_runs

    def has_announced_leaving(self, run: object) -> bool:
        """Tell whether a process has announced that it leaves."""
        return run in self._leaving_runs

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
        if heartbeat.phase is ServerPhase.DRAINING:
            self.mark_leaving(heartbeat.run)
        if self._is_outdated(heartbeat):
            return False
        if self._barred_until_by_instance.get(heartbeat.instance, now) > now:
            return False
        current = self.current
        if current is not None and current.run != heartbeat.run:
            self._record_end(current)
        self._started_at_by_ended_run.pop(heartbeat.instance, None)
        self.current = heartbeat
        self.phase = heartbeat.phase
        if self.is_leaving:
            self.phase = ServerPhase.DRAINING
        self._last_heartbeat_at = now
        return True

    def set_heartbeat_interval(self, interval: float, now: float) -> None:
        """Use another interval between heartbeats.

        Parameters
        ----------
        interval : float
            Seconds between two heartbeats.
        now : float
            Time in seconds.
        """
        timeout = _timeout(interval)
        if timeout < self._timeout:
            # The backend server has kept the longer interval until now.
            self._present_until = min(
                now + timeout, self._last_heartbeat_at + self._timeout
            )
        self._timeout = timeout

    def mark_leaving(self, run: ServerRun) -> None:
        """Record that a process leaves; it gets no calls from now on.

        Parameters
        ----------
        run : ServerRun
            The process, which need not be the current one.
        """
        self._leaving_runs.add(run)
        if self.is_leaving and self.phase is ServerPhase.READY:
            self.phase = ServerPhase.DRAINING

    def deregister(self, instance: str, now: float) -> bool:
        """Mark the backend server as gone after its process has deregistered.

        Parameters
        ----------
        instance : str
            Identifier of the process.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if the backend server was marked as gone. False if the process
            is not the current process of the backend server. If the node has
            never known the process, its late heartbeats are then ignored.
        """
        current = self.current
        if current is not None and current.instance == instance:
            self._leaving_runs.add(current.run)
            self._record_end(current)
            self.phase = ServerPhase.GONE
            return True
        if instance not in self._started_at_by_ended_run:
            self._barred_until_by_instance[instance] = (
                now + UNKNOWN_DEREGISTRATION_SECONDS
            )
            if len(self._barred_until_by_instance) > MAX_ENDED_RUNS:
                self._barred_until_by_instance.popitem(last=False)
        return False

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
        if now < self._present_until:
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


def _timeout(heartbeat_interval: float) -> float:
    return heartbeat_interval * (MAX_MISSED_HEARTBEATS + 1)


def _is_later(one: int | None, other: int | None) -> bool:
    if one is None or other is None:
        return False
    return one > other
