"""The gate: the only way to one backend server."""

from collections.abc import Hashable
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.policy import ServicePolicy
from mustardshunt.upstream._cold_start_rate import ColdStartRateLimit
from mustardshunt.upstream._cutoff import Cutoff, CutoffDecrease
from mustardshunt.upstream._events import (
    AdmissionDecision,
    AdmissionRequest,
    BackendServerStatus,
    DequeuedCalls,
    Heartbeat,
    RefusedCall,
    ServerPhase,
)
from mustardshunt.upstream._liveness import LivenessTracker
from mustardshunt.upstream._queue import AdmissionQueue

# Backend servers slow down when nearly full, so a part of the slots is kept
# free; it also takes up runs that outlast their cancelled connection.
USED_SLOTS: Final = 0.95
# A longer queue than this part of the limit only adds calls that are late.
QUEUE_PER_LIMIT: Final = 1.0
MIN_QUEUE: Final = 8


class BackendGate:
    """Admits calls to the backend server beside this node.

    Whatever other nodes believe, no call passes when the backend server
    leaves, its data centre is evacuated, or a cold one has had its share.

    Parameters
    ----------
    liveness : LivenessTracker
        What the backend server says of itself.
    """

    def __init__(self, presence: LivenessTracker) -> None:
        self.liveness = presence
        self.cutoff = Cutoff()
        self.started_calls = 0
        self._cold = ColdStartRateLimit()
        self._waiting = AdmissionQueue()
        self._running: set[Hashable] = set()
        self._service: ServicePolicy | None = None
        self._cold_until = 0.0
        self._is_evacuated = False

    @property
    def instance(self) -> str:
        """Run of the backend server that calls are meant for."""
        current = self.liveness.current
        return current.instance if current is not None else ''

    @property
    def running_calls(self) -> int:
        """Number of calls at the backend server."""
        return len(self._running)

    @property
    def queued_calls(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def set_service(self, service: ServicePolicy | None) -> None:
        """Take the limits of the backend server's service."""
        self._service = service

    def set_evacuated(self, is_evacuated: bool, now: float) -> DequeuedCalls:
        """Take the data centre out of service, or back.

        The backend server counts as cold when it comes back, until its next
        heartbeat says otherwise: it had no work meanwhile.
        """
        if is_evacuated == self._is_evacuated:
            return DequeuedCalls()
        self._is_evacuated = is_evacuated
        if is_evacuated:
            return self._turn_all_away(Reason.DRAINING)
        if self._service is not None:
            self._cold_until = now + self._service.warmup
        return DequeuedCalls()

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat in; False when it is outdated."""
        if not self.liveness.record_heartbeat(heartbeat, now):
            return False
        self._cold_until = now + heartbeat.cold_for
        return True

    def admit(
        self, ticket: AdmissionRequest, now: float
    ) -> AdmissionDecision | Reason:
        """Admit, queue or refuse a call.

        Parameters
        ----------
        ticket : AdmissionRequest
            The call; its key is not in the gate yet.
        now : float
            Time in seconds.

        Returns
        -------
        Admission or Reason
            Reason of the refusal; the call has then not run.
        """
        if not self.is_open():
            return self.refusal_reason()
        self.cutoff.record_arrival()
        if not len(self._waiting) and self._has_room(now):
            self._start(ticket, now)
            return AdmissionDecision.STARTED
        if not self._may_wait(ticket, now):
            self.cutoff.record_refusal(
                ticket.priority_rank, ticket.is_child_call
            )
            return Reason.OVERLOADED
        self._waiting.push(ticket, now)
        return AdmissionDecision.QUEUED

    def release(self, key: Hashable, now: float) -> DequeuedCalls:
        """Note that a call has ended, or is no longer waited for."""
        if key not in self._running:
            self._waiting.remove(key)
            return DequeuedCalls()
        self._running.discard(key)
        return DequeuedCalls(started=self._start_waiting(now))

    def tick(self, now: float) -> DequeuedCalls:
        """Turn late calls away and start what the cold rate allows."""
        self.liveness.check_timeout(now)
        if not self.is_open():
            return self._turn_all_away(self.refusal_reason())
        expired = self._waiting.remove_expired(now)
        for ticket in expired:
            self.cutoff.record_refusal(
                ticket.priority_rank, ticket.is_child_call
            )
        turned = tuple(
            RefusedCall(ticket, Reason.OVERLOADED) for ticket in expired
        )
        started = self._start_waiting(now)
        return DequeuedCalls(started, turned)

    def adjust_cutoff(self, now: float) -> CutoffDecrease | None:
        """Adapt the cutoff; called each 0.1 s."""
        used = len(self._running) / max(1, self.limit())
        pressure = self._waiting.longest_wait_ratio(now)
        return self.cutoff.adjust(now, used, pressure)

    def is_open(self) -> bool:
        """Tell whether calls are taken at all."""
        return (
            self.liveness.phase is ServerPhase.READY and not self._is_evacuated
        )

    def refusal_reason(self) -> Reason:
        """Return why no call is taken."""
        if self._is_evacuated or self.liveness.phase is ServerPhase.DRAINING:
            return Reason.DRAINING
        return Reason.NOT_READY

    def is_cold(self, now: float) -> bool:
        """Tell whether the backend server is in its cold start."""
        return now < self._cold_until

    def limit(self) -> int:
        """Return how many calls may run at the same time."""
        current = self.liveness.current
        if current is None:
            return 0
        limit = max(1, int(current.slots * USED_SLOTS))
        if self._service is not None:
            limit = min(limit, self._service.max_connections)
        return limit

    def status(self, now: float) -> BackendServerStatus:
        """Return what other nodes need to know."""
        phase = self.liveness.phase
        if self._is_evacuated and phase is ServerPhase.READY:
            phase = ServerPhase.DRAINING
        return BackendServerStatus(
            phase=phase,
            is_cold=self.is_cold(now),
            in_flight=len(self._running) + len(self._waiting),
            limit=self.limit(),
            cutoff=self.cutoff.value,
            own_cutoff=self.cutoff.value,
        )

    def _has_room(self, now: float) -> bool:
        if len(self._running) >= self.limit():
            return False
        if not self.is_cold(now):
            return True
        service = self._service
        if service is None:
            # A node that has started without the platform does not know what
            # a cold backend server bears.
            return False
        if not service.cold_rate:
            return True
        return self._cold.remaining(service.cold_rate, now) > 0

    def _may_wait(self, ticket: AdmissionRequest, now: float) -> bool:
        if ticket.start_deadline <= now:
            return False
        if ticket.is_child_call:
            return True
        longest = max(MIN_QUEUE, self.limit() * QUEUE_PER_LIMIT)
        return len(self._waiting) < longest

    def _start(self, ticket: AdmissionRequest, now: float) -> None:
        self._running.add(ticket.key)
        self.started_calls += 1
        self._cold.record(now)

    def _start_waiting(self, now: float) -> tuple[AdmissionRequest, ...]:
        started = []
        while len(self._waiting) and self._has_room(now):
            ticket = self._waiting.pop()
            if ticket is None:
                break
            self._start(ticket, now)
            started.append(ticket)
        return tuple(started)

    def _turn_all_away(self, reason: Reason) -> DequeuedCalls:
        return DequeuedCalls(
            refused=tuple(
                RefusedCall(ticket, reason)
                for ticket in self._waiting.remove_all()
            ),
        )


def make_backend_gate(heartbeat_interval: float) -> BackendGate:
    """Make a gate that admits nothing until the first heartbeat.

    Parameters
    ----------
    heartbeat_interval : float
        Seconds between two heartbeats of the backend server.

    Examples
    --------
    >>> gate = make_backend_gate(1.5)
    >>> ticket = AdmissionRequest('k', 0, False, 'o', 9.0)
    >>> gate.admit(ticket, now=0.0).value
    'not-ready'
    >>> ready = Heartbeat('i', 1, 1, ServerPhase.READY, 2, 0.0)
    >>> gate.record_heartbeat(ready, now=0.0), gate.admit(ticket, now=0.0).value
    (True, 'started')
    """
    return BackendGate(LivenessTracker(heartbeat_interval))
