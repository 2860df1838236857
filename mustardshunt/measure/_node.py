"""A gate with its backend server, and the choice between several."""

from collections.abc import Collection, Sequence
from typing import Final, Protocol

from mustardshunt.admission import (
    BackendServerState,
    CallAnswered,
    CallArrived,
    CallFailed,
    CallFailureKind,
    Gate,
    GateEvent,
    HeartbeatReceived,
    StartCall,
    Tick,
)
from mustardshunt.base import CallId, Importance, Reason
from mustardshunt.measure._server import Job, SimulatedServer
from mustardshunt.measure._timeline import Timeline

_TICK: Final = 0.05
_HEARTBEAT: Final = 1.0


class GatedJob(Job, Protocol):
    """A call as its node sees it."""

    importance: Importance

    def on_refused(self, reason: Reason) -> None:
        """Take a refusal."""
        ...


class SimulatedNode:
    """One backend server behind its gate.

    Parameters
    ----------
    gate : Gate
        Decides on each call.
    server : SimulatedServer
        Runs the calls.
    data_centre : int
        Where it stands.
    timeline : Timeline
        Virtual time.
    """

    def __init__(
        self,
        gate: Gate,
        server: SimulatedServer,
        data_centre: int,
        timeline: Timeline,
    ) -> None:
        self.server = server
        self.data_centre = data_centre
        self.is_in_service = True
        self.calls_in_flight = 0
        self.level = Importance.LOW
        self.limit = 1
        self.critical_inversions = 0
        self._gate = gate
        self._timeline = timeline
        self._job_by_id: dict[CallId, GatedJob] = {}

    def start(self) -> None:
        """Announce the backend server and begin the periodic duties."""
        self._beat()
        self._tick()

    def leave(self) -> None:
        """Take the backend server out."""
        self.is_in_service = False
        self._handle(HeartbeatReceived(BackendServerState.GONE, ''))

    def rejoin(self) -> None:
        """Return with a backend server that starts cold."""
        self.is_in_service = True
        self.server.restart()
        self._handle(HeartbeatReceived(*self.server.health()))

    def submit(self, job: GatedJob, call: CallArrived) -> None:
        """Ask the gate for a place."""
        self.calls_in_flight += 1
        self._job_by_id[call.call_id] = job
        if self._gate.try_start(call, self._timeline.now):
            self.server.accept(job)
        else:
            self._handle(call)

    def end(
        self,
        job: GatedJob,
        call_id: CallId,
        kind: CallFailureKind | None,
        total_time: float,
        self_time: float,
    ) -> None:
        """Report the end of a started call to the gate."""
        self.calls_in_flight -= 1
        del self._job_by_id[call_id]
        self.server.release(job)
        if kind is None:
            self._handle(CallAnswered(call_id, total_time, self_time))
        else:
            self._handle(CallFailed(call_id, kind, total_time, self_time))

    def _handle(self, event: GateEvent) -> None:
        for action in self._gate.handle(event, self._timeline.now):
            if isinstance(action, StartCall):
                self.server.accept(self._job_by_id[action.call_id])
                continue
            self.calls_in_flight -= 1
            job = self._job_by_id.pop(action.call_id)
            self._count_inversion(job, action.refusal.reason)
            job.on_refused(action.refusal.reason)

    def _count_inversion(self, refused: GatedJob, reason: Reason) -> None:
        if refused.importance is not Importance.CRITICAL:
            return
        if reason not in {Reason.OVERLOADED, Reason.DEADLINE_EXCEEDED}:
            return
        self.critical_inversions += any(
            job.importance < Importance.CRITICAL
            for job in self._job_by_id.values()
        )

    def _tick(self) -> None:
        self._handle(Tick())
        snapshot = self._gate.snapshot()
        self.level = snapshot.shedding_threshold
        self.limit = snapshot.limit
        later = self._timeline.now + _TICK
        self._timeline.call_at(later, self._tick)

    def _beat(self) -> None:
        if self.is_in_service:
            self._handle(HeartbeatReceived(*self.server.health()))
        later = self._timeline.now + _HEARTBEAT
        self._timeline.call_at(later, self._beat)


class NodeSelector(Protocol):
    """Chooses among the nodes of a service; a router can take its place."""

    def choose(
        self,
        nodes: Sequence[SimulatedNode],
        importance: Importance,
        tried: Collection[SimulatedNode],
    ) -> SimulatedNode | None:
        """Return the node to send to, None to refuse at the first hop."""
        ...


class LeastInFlight:
    """Sends to the node with the fewest calls, if it accepts them.

    Parameters
    ----------
    uses_level : bool
        Whether nodes whose acceptance level is higher are left out.
    """

    def __init__(self, uses_level: bool) -> None:
        self._uses_level = uses_level

    def choose(
        self,
        nodes: Sequence[SimulatedNode],
        importance: Importance,
        tried: Collection[SimulatedNode],
    ) -> SimulatedNode | None:
        """Return the accepting node with the fewest calls."""
        candidates = [
            node
            for node in nodes
            if node.is_in_service
            and node not in tried
            and (not self._uses_level or node.level <= importance)
        ]
        return min(candidates, key=_get_relative_load, default=None)


def _get_relative_load(node: SimulatedNode) -> float:
    return (node.calls_in_flight + 1) / node.limit
