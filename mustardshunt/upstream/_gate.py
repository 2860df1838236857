"""Gate of a node: all calls to the node's backend server pass through it."""

from collections.abc import Hashable, Iterable
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.policy import ServicePolicy
from mustardshunt.upstream._cold_start import ColdStart
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
from mustardshunt.upstream._named_limit import NamedLimit
from mustardshunt.upstream._ordering import QueueOrdering
from mustardshunt.upstream._queue import AdmissionQueue
from mustardshunt.upstream._recent_starts import RecentStarts
from mustardshunt.upstream._room_forecast import RoomForecast
from mustardshunt.upstream._start_rules import StartRule

# Part of the slots of a backend server that its node uses. Backend servers
# slow down when nearly all slots are in use. The remaining slots are also
# needed for calls that still run in the backend server after their connection
# was closed.
USED_SLOT_RATIO: Final = 0.95
# Largest length of the admission queue, divided by the concurrency limit. In a
# longer queue, calls would miss their start deadlines. At least MIN_QUEUE_LIMIT
# calls may be queued. The limit does not apply to child calls.
QUEUE_LIMIT_RATIO: Final = 1.0
MIN_QUEUE_LIMIT: Final = 8


class BackendGate:
    """Admits calls to the backend server beside this node.

    Other nodes may have an outdated status of the backend server and send calls
    that the backend server cannot run. The gate therefore starts no call while
    the backend server drains or is gone. The gate also starts no call while the
    data centre is evacuated, that is, while operators have taken the data
    centre out of service. During a cold start, the gate starts no more calls
    than the rate limit allows, and at no time more than the limit that the
    backend server itself names.

    Parameters
    ----------
    liveness : LivenessTracker
        Tracks the phase of the backend server by its heartbeats.
    connections : int or None
        Most calls that run at once: each one needs a connection. None for no
        limit.
    ordering : QueueOrdering
        Order of the organisations in the queue.
    start_rule : StartRule
        Tells which calls can no longer end in time.

    Attributes
    ----------
    is_withheld : bool
        Whether the gate is closed because of the backend server's version.
    """

    def __init__(
        self,
        liveness: LivenessTracker,
        connections: int | None,
        ordering: QueueOrdering,
        start_rule: StartRule,
    ) -> None:
        self.liveness = liveness
        self._connections = connections
        self.cutoff = Cutoff()
        self.started_calls = 0
        self._recent_starts = RecentStarts()
        self.named_limit = NamedLimit(self._recent_starts)
        self._ordering = ordering
        self.start_rule = start_rule
        self._queue = AdmissionQueue(ordering, start_rule)
        self.forecast = RoomForecast(self._queue)
        self._running: set[Hashable] = set()
        self._service: ServicePolicy | None = None
        self._cold_start = ColdStart()
        self._is_evacuated = False
        self.is_withheld = False

    @property
    def instance(self) -> str:
        """Identifier of the backend server's process, empty if unknown."""
        current = self.liveness.current
        return current.instance if current is not None else ''

    @property
    def running_calls(self) -> int:
        """Number of calls that run at the backend server."""
        return len(self._running)

    @property
    def queued_calls(self) -> int:
        """Number of calls in the admission queue."""
        return self._queue.unanswered

    def set_service(self, service: ServicePolicy | None) -> None:
        """Set the limits of the backend server's service.

        Parameters
        ----------
        service : ServicePolicy or None
            Policy that contains the limits, None if no policy is known.
        """
        self._service = service

    def set_evacuated(self, is_evacuated: bool, now: float) -> DequeuedCalls:
        """Begin or end the evacuation of this node's data centre.

        When the evacuation begins, all queued calls are refused. During the
        evacuation the backend server has no load. After the evacuation, the
        backend server therefore counts as cold for the duration of a cold
        start, whatever its heartbeats report.

        Returns
        -------
        DequeuedCalls
            The refused calls, empty if no evacuation begins.
        """
        if is_evacuated == self._is_evacuated:
            return DequeuedCalls()
        self._is_evacuated = is_evacuated
        if is_evacuated:
            return DequeuedCalls(
                refused=_refuse(self._queue.remove_all(), Reason.DRAINING)
            )
        self._cold_start.record_return(now)
        return DequeuedCalls()

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat and the remaining cold start that it reports.

        Returns
        -------
        bool
            False if the heartbeat is outdated and was ignored.
        """
        if not self.liveness.record_heartbeat(heartbeat, now):
            return False
        self._cold_start.record_report(heartbeat.cold_for, now)
        self.named_limit.set_run(heartbeat.run)
        return True

    def admit(
        self, request: AdmissionRequest, now: float
    ) -> AdmissionDecision | Reason:
        """Admit, queue or refuse a call.

        Parameters
        ----------
        request : AdmissionRequest
            The call. No running or queued call may have the same key.
        now : float
            Time in seconds.

        Returns
        -------
        AdmissionDecision or Reason
            ``STARTED`` or ``QUEUED`` if the call is admitted. If the call is
            refused, the reason; a refused call has not run.
        """
        if not self.is_open():
            return self.refusal_reason()
        if self.start_rule.is_too_late(request, now):
            # No sign of an overload here: the call may have waited elsewhere.
            self.start_rule.record_refusal()
            return Reason.OVERLOADED
        self.cutoff.record_arrival()
        if not len(self._queue) and self._has_capacity(now):
            self._start(request, now)
            return AdmissionDecision.STARTED
        if not self._may_queue(request, now):
            self._record_refusals((request,), now)
            return Reason.OVERLOADED
        self._queue.push(request, now)
        return AdmissionDecision.QUEUED

    def release(self, key: Hashable, now: float) -> DequeuedCalls:
        """Release the slot of a running call, or remove a queued call.

        Queued calls are started if the released slot allows this.

        Parameters
        ----------
        key : hashable
            Key of a call that has ended or was cancelled by its caller.
        now : float
            Time in seconds.

        Returns
        -------
        DequeuedCalls
            Queued calls that start now, none if the call was queued itself.
        """
        if key not in self._running:
            self._queue.remove(key)
            return DequeuedCalls()
        self._running.discard(key)
        return DequeuedCalls(started=self._start_queued(now))

    def tick(self, now: float) -> DequeuedCalls:
        """Refuse expired calls in the queue, and start other calls.

        Calls are started as far as slots are free. If the gate is closed, all
        queued calls are refused. The heartbeat time-out is checked first.
        """
        self.liveness.check_timeout(now)
        if not self.is_open():
            return DequeuedCalls(
                refused=_refuse(self._queue.remove_all(), self.refusal_reason())
            )
        expired = self._queue.remove_expired(now)
        self._record_refusals(expired, now)
        started = self._start_queued(now)
        return DequeuedCalls(started, _refuse(expired, Reason.OVERLOADED))

    def adjust_cutoff(self, now: float) -> CutoffDecrease | None:
        """Adjust the cutoff to the current load; must be called every 0.1 s.

        Returns
        -------
        CutoffDecrease or None
            The decrease and its measurements, None if there is no decrease.
        """
        utilisation = len(self._running) / max(1, self.limit())
        wait_ratio = self._queue.longest_wait_ratio(now)
        return self.cutoff.adjust(now, utilisation, wait_ratio)

    def is_open(self) -> bool:
        """Return whether the gate may accept calls.

        The gate is open if the backend server is ready, its data centre is not
        evacuated, and calls are not withheld from it.
        """
        if self._is_evacuated or self.is_withheld:
            return False
        return self.liveness.phase is ServerPhase.READY

    def refusal_reason(self) -> Reason:
        """Return the reason for which a closed gate refuses calls.

        The reason is ``DRAINING`` if the data centre is evacuated, calls are
        withheld or the backend server drains. Otherwise the reason is
        ``NOT_READY``.
        """
        if self._is_evacuated or self.is_withheld:
            return Reason.DRAINING
        if self.liveness.phase is ServerPhase.DRAINING:
            return Reason.DRAINING
        return Reason.NOT_READY

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is in its cold start."""
        warmup = 0.0 if self._service is None else self._service.warmup
        return self._cold_start.is_cold(now, warmup)

    def limit(self) -> int:
        """Return how many calls may run at the backend server at once.

        The limit is 0 before the first heartbeat.
        """
        current = self.liveness.current
        if current is None:
            return 0
        limit = max(1, int(current.slots * USED_SLOT_RATIO))
        if self._connections is not None:
            limit = min(limit, self._connections)
        if self._service is not None:
            limit = min(limit, self._service.max_connections)
        return limit

    def status(self, now: float) -> BackendServerStatus:
        """Return the backend server's status, to be sent to other nodes.

        During an evacuation and while calls are withheld, the phase of a ready
        backend server is ``DRAINING``.
        """
        phase = self.liveness.phase
        is_open = self.is_open()
        if not is_open and phase is ServerPhase.READY:
            phase = ServerPhase.DRAINING
        return BackendServerStatus(
            phase=phase,
            is_cold=self.is_cold(now),
            in_flight=len(self._running) + len(self._queue),
            limit=self.limit(),
            cutoff=self.cutoff.value,
            own_cutoff=self.cutoff.value,
            run=self.liveness.run,
            is_leaving=self.liveness.is_leaving,
            request_limit=self.named_limit.rate,
            limit_utilisation=self.named_limit.utilisation(now),
            version=self.liveness.version,
        )

    def _has_capacity(self, now: float) -> bool:
        if len(self._running) >= self.limit():
            return False
        if not self.named_limit.may_start(now):
            return False
        if not self.is_cold(now):
            return True
        service = self._service
        if service is None:
            # The node was started while the platform was unavailable, so the
            # rate limit of the cold start is not known yet.
            return False
        if not service.cold_rate:
            return True
        return self._recent_starts.remaining(service.cold_rate, now) > 0

    def _may_queue(self, request: AdmissionRequest, now: float) -> bool:
        if request.start_deadline <= now:
            return False
        least_wait = self.forecast.least_wait(request, now)
        if self.start_rule.is_too_late(request, now + least_wait):
            return False
        limit = self.named_limit
        if limit.rate is not None:
            calls_before = self._queue.count_before(request)
            wait = limit.seconds_until_start(calls_before, now)
            if now + wait > request.start_deadline:
                return False
        queue_limit = max(MIN_QUEUE_LIMIT, self.limit() * QUEUE_LIMIT_RATIO)
        return self._queue.make_room(request, queue_limit)

    def _start(self, request: AdmissionRequest, now: float) -> None:
        self._running.add(request.key)
        self.started_calls += 1
        self._recent_starts.record(now)
        self.named_limit.record_start(now)
        if not request.is_child_call:
            self._ordering.record_start(request.organisation, now)
            self.forecast.record_start(request.priority_rank, now)

    def _start_queued(self, now: float) -> tuple[AdmissionRequest, ...]:
        started: list[AdmissionRequest] = []
        if not self.is_open():
            return ()
        while len(self._queue) and self._has_capacity(now):
            request = self._queue.pop(now)
            if request is None:
                break
            self._start(request, now)
            started.append(request)
        return tuple(started)

    def _record_refusals(
        self, requests: Iterable[AdmissionRequest], now: float
    ) -> None:
        for refused in requests:
            if not refused.is_child_call:
                self.forecast.record_refusal(refused.priority_rank, now)
        if self.named_limit.rate is not None:
            # Other backend servers may take what a named limit refuses, and a
            # lower cutoff would make entry nodes refuse requests instead.
            return
        for request in requests:
            self.cutoff.record_refusal(
                request.priority_rank, request.is_child_call
            )


def _refuse(
    requests: Iterable[AdmissionRequest], reason: Reason
) -> tuple[RefusedCall, ...]:
    return tuple(RefusedCall(request, reason) for request in requests)
