"""Nodes in virtual time, and the selection among the nodes of a service."""

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

_TICK_INTERVAL_SECONDS: Final = 0.05
_HEARTBEAT_INTERVAL_SECONDS: Final = 1.0


class GatedJob(Job, Protocol):
    """A call that its node may refuse."""

    importance: Importance

    def on_refused(self, reason: Reason) -> None:
        """End the call as refused by the gate."""
        ...


class SimulatedNode:
    """One backend server behind its gate.

    Parameters
    ----------
    gate : Gate
        Starts, queues or refuses each call.
    server : SimulatedServer
        Runs the calls.
    data_centre : int
        Number of the data centre of the node.
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
        self.shedding_threshold = Importance.LOW
        self.limit = 1
        self.critical_inversions = 0
        self._gate = gate
        self._timeline = timeline
        self._job_by_id: dict[CallId, GatedJob] = {}

    def start(self) -> None:
        """Send the first heartbeat, and start periodic heartbeats and ticks."""
        self._send_heartbeat()
        self._tick()

    def leave(self) -> None:
        """Take the backend server of this node out of service."""
        self.is_in_service = False
        self._handle(HeartbeatReceived(BackendServerState.GONE, ''))

    def rejoin(self) -> None:
        """Put the backend server back into service, in a cold state."""
        self.is_in_service = True
        self.server.restart()
        self._handle(HeartbeatReceived(*self.server.health()))

    def submit(self, job: GatedJob, call: CallArrived) -> None:
        """Submit a call; the gate starts, queues or refuses the call."""
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
        """Release a started call and report its end to the gate."""
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
        self.shedding_threshold = snapshot.shedding_threshold
        self.limit = snapshot.limit
        due_at = self._timeline.now + _TICK_INTERVAL_SECONDS
        self._timeline.call_at(due_at, self._tick)

    def _send_heartbeat(self) -> None:
        if self.is_in_service:
            self._handle(HeartbeatReceived(*self.server.health()))
        due_at = self._timeline.now + _HEARTBEAT_INTERVAL_SECONDS
        self._timeline.call_at(due_at, self._send_heartbeat)


class NodeSelector(Protocol):
    """Selects the node of a service that a call is sent to."""

    def choose(
        self,
        nodes: Sequence[SimulatedNode],
        importance: Importance,
        tried: Collection[SimulatedNode],
    ) -> SimulatedNode | None:
        """Return the node that the call is sent to.

        Returns None if no node accepts the call.
        """
        ...


class LeastInFlight:
    """Selects the accepting node with the least load.

    The load is the number of calls relative to the concurrency limit.

    Parameters
    ----------
    uses_shedding_threshold : bool
        Whether nodes are left out whose shedding threshold is above the
        importance of the call.
    """

    def __init__(self, uses_shedding_threshold: bool) -> None:
        self._uses_shedding_threshold = uses_shedding_threshold

    def choose(
        self,
        nodes: Sequence[SimulatedNode],
        importance: Importance,
        tried: Collection[SimulatedNode],
    ) -> SimulatedNode | None:
        """Return the accepting node with the least load, None if there is none.

        Returns None if no node accepts the call.
        """
        candidates = [
            node
            for node in nodes
            if node.is_in_service
            and node not in tried
            and (
                not self._uses_shedding_threshold
                or node.shedding_threshold <= importance
            )
        ]
        return min(candidates, key=_get_relative_load, default=None)


def _get_relative_load(node: SimulatedNode) -> float:
    return (node.calls_in_flight + 1) / node.limit
