"""The gate: the only way to one backend server."""

from collections.abc import Hashable
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.policy import ServicePolicy
from mustardshunt.upstream._cold_rate import ColdRate
from mustardshunt.upstream._cutoff import Cutoff, CutoffStep
from mustardshunt.upstream._events import (
    Admission,
    GateChange,
    GateView,
    ServerPhase,
    ServerReport,
    Ticket,
    Turned,
)
from mustardshunt.upstream._presence import Presence
from mustardshunt.upstream._waiting import WaitingCalls

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
    presence : Presence
        What the backend server says of itself.
    """

    def __init__(self, presence: Presence) -> None:
        self.presence = presence
        self.cutoff = Cutoff()
        self.started = 0
        self._cold = ColdRate()
        self._waiting = WaitingCalls()
        self._running: set[Hashable] = set()
        self._service: ServicePolicy | None = None
        self._cold_until = 0.0
        self._is_evacuated = False

    @property
    def instance(self) -> str:
        """Run of the backend server that calls are meant for."""
        current = self.presence.current
        return current.instance if current is not None else ''

    @property
    def running(self) -> int:
        """Number of calls at the backend server."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def set_service(self, service: ServicePolicy | None) -> None:
        """Take the limits of the backend server's service."""
        self._service = service

    def set_evacuated(self, is_evacuated: bool, now: float) -> GateChange:
        """Take the data centre out of service, or back.

        The backend server counts as cold when it comes back, until its next
        heartbeat says otherwise: it had no work meanwhile.
        """
        if is_evacuated == self._is_evacuated:
            return GateChange()
        self._is_evacuated = is_evacuated
        if is_evacuated:
            return self._turn_all_away(Reason.DRAINING)
        if self._service is not None:
            self._cold_until = now + self._service.warmup
        return GateChange()

    def report(self, report: ServerReport, now: float) -> bool:
        """Take a heartbeat in; False when it is outdated."""
        if not self.presence.accept(report, now):
            return False
        self._cold_until = now + report.cold_for
        return True

    def arrive(self, ticket: Ticket, now: float) -> Admission | Reason:
        """Admit, queue or refuse a call.

        Parameters
        ----------
        ticket : Ticket
            The call; its key is not in the gate yet.
        now : float
            Time in seconds.

        Returns
        -------
        Admission or Reason
            Reason of the refusal; the call has then not run.
        """
        if not self.is_open():
            return self.closed_reason()
        self.cutoff.note_arrival()
        if not len(self._waiting) and self._has_room(now):
            self._start(ticket, now)
            return Admission.STARTED
        if not self._may_wait(ticket, now):
            self.cutoff.note_refusal(ticket.position, ticket.is_continuation)
            return Reason.OVERLOADED
        self._waiting.push(ticket, now)
        return Admission.QUEUED

    def finish(self, key: Hashable, now: float) -> GateChange:
        """Note that a call has ended, or is no longer waited for."""
        if key not in self._running:
            self._waiting.discard(key)
            return GateChange()
        self._running.discard(key)
        return GateChange(started=self._start_waiting(now))

    def tick(self, now: float) -> GateChange:
        """Turn late calls away and start what the cold rate allows."""
        self.presence.lapse(now)
        if not self.is_open():
            return self._turn_all_away(self.closed_reason())
        expired = self._waiting.expired(now)
        for ticket in expired:
            self.cutoff.note_refusal(ticket.position, ticket.is_continuation)
        turned = tuple(Turned(ticket, Reason.OVERLOADED) for ticket in expired)
        started = self._start_waiting(now)
        return GateChange(started, turned)

    def review(self, now: float) -> CutoffStep | None:
        """Adapt the cutoff; called each 0.1 s."""
        used = len(self._running) / max(1, self.limit())
        pressure = self._waiting.pressure(now)
        return self.cutoff.review(now, used, pressure)

    def is_open(self) -> bool:
        """Tell whether calls are taken at all."""
        return (
            self.presence.phase is ServerPhase.READY and not self._is_evacuated
        )

    def closed_reason(self) -> Reason:
        """Return why no call is taken."""
        if self._is_evacuated or self.presence.phase is ServerPhase.DRAINING:
            return Reason.DRAINING
        return Reason.NOT_READY

    def is_cold(self, now: float) -> bool:
        """Tell whether the backend server is in its cold start."""
        return now < self._cold_until

    def limit(self) -> int:
        """Return how many calls may run at the same time."""
        current = self.presence.current
        if current is None:
            return 0
        limit = max(1, int(current.slots * USED_SLOTS))
        if self._service is not None:
            limit = min(limit, self._service.max_connections)
        return limit

    def view(self, now: float) -> GateView:
        """Return what other nodes need to know."""
        phase = self.presence.phase
        if self._is_evacuated and phase is ServerPhase.READY:
            phase = ServerPhase.DRAINING
        return GateView(
            phase=phase,
            is_cold=self.is_cold(now),
            in_flight=len(self._running) + len(self._waiting),
            limit=self.limit(),
            cutoff=self.cutoff.level,
            own_cutoff=self.cutoff.level,
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
        return self._cold.room(service.cold_rate, now) > 0

    def _may_wait(self, ticket: Ticket, now: float) -> bool:
        if ticket.latest_start <= now:
            return False
        if ticket.is_continuation:
            return True
        longest = max(MIN_QUEUE, self.limit() * QUEUE_PER_LIMIT)
        return len(self._waiting) < longest

    def _start(self, ticket: Ticket, now: float) -> None:
        self._running.add(ticket.key)
        self.started += 1
        self._cold.record(now)

    def _start_waiting(self, now: float) -> tuple[Ticket, ...]:
        started = []
        while len(self._waiting) and self._has_room(now):
            ticket = self._waiting.pop()
            if ticket is None:
                break
            self._start(ticket, now)
            started.append(ticket)
        return tuple(started)

    def _turn_all_away(self, reason: Reason) -> GateChange:
        return GateChange(
            turned=tuple(
                Turned(ticket, reason) for ticket in self._waiting.clear()
            ),
        )


def make_backend_gate(heartbeat: float) -> BackendGate:
    """Make a gate that admits nothing until the first heartbeat.

    Parameters
    ----------
    heartbeat : float
        Seconds between two heartbeats of the backend server.

    Examples
    --------
    >>> gate = make_backend_gate(1.5)
    >>> ticket = Ticket('k', 0, False, 'o', 9.0)
    >>> gate.arrive(ticket, now=0.0).value
    'not-ready'
    >>> ready = ServerReport('i', 1, 1, ServerPhase.READY, 2, 0.0)
    >>> gate.report(ready, now=0.0), gate.arrive(ticket, now=0.0).value
    (True, 'started')
    """
    return BackendGate(Presence(heartbeat))
