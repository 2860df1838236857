"""Admits calls from all nodes to the backend server beside this node."""

from dataclasses import replace
from typing import Final

from mustardshunt.base import Clock, Reason
from mustardshunt.load_balancing import Member
from mustardshunt.memory import HeldPart, Holding, MemoryAccount
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.quarantine import Fingerprint
from mustardshunt.relay import (
    HOP_BY_HOP_HEADERS,
    Answered,
    AnswerLost,
    BackendAnswer,
    BackendConnectionPool,
    BackendFailure,
    BackendOutcome,
    Call,
    FailureKind,
    LargeBody,
    NotRun,
    render_headers,
)
from mustardshunt.sidecar._backend_server_reports import BackendServerReports
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._dependencies import (
    NO_DEPENDENCY,
)
from mustardshunt.sidecar._dependent_routes import (
    DependentRoutes,
    has_failed,
    lacks_retries,
)
from mustardshunt.sidecar._ports import (
    AnswerMetadata,
    HeaderCodec,
    RunAdmission,
)
from mustardshunt.sidecar._rollout_ports import RunObserver
from mustardshunt.sidecar._room_reports import RoomReports
from mustardshunt.sidecar._run_pace import RunPace
from mustardshunt.sidecar._served_call import MS_PER_SECOND, ServedCall
from mustardshunt.sidecar._status_publisher import ResultSink, StatusPublisher
from mustardshunt.upstream import (
    AdmissionDecision,
    AdmissionRequest,
    BackendGate,
    BackendServerStatus,
    DequeuedCalls,
    ServerPhase,
)

# This node cancels a call that has not ended this many seconds after the
# deadline of the call. The entry node already cancels the call at the deadline,
# but the cancel message may be lost.
DEADLINE_GRACE_SECONDS: Final = 0.3
# Highest used part of a named limit that is reported; a limit far below the
# load of the last second would be a large number.
MAX_LIMIT_UTILISATION: Final = 100.0
_PERCENT: Final = 100
_SUCCESS: Final = range(200, 300)


class Callee:
    """Runs calls at the backend server beside this node.

    Parameters
    ----------
    own : Member
        Directory entry of this node.
    gate : BackendGate
        Admission control of the backend server.
    pool : BackendConnectionPool
        Connections to the backend server.
    crashes : CrashMonitor
        Knows the requests that crash backend servers.
    header_codec : HeaderCodec
        Reads and writes the HTTP headers of the platform.
    registry : PolicyRegistry
        Registry of the active policy.
    log : EventLog
        Log of refused, cancelled and lost calls and of status changes.
    clock : Clock
        Source of the time.
    memory : MemoryAccount
        Account to which the bodies of admitted calls are charged.
    """

    def __init__(
        self,
        own: Member,
        gate: BackendGate,
        pool: BackendConnectionPool,
        crashes: CrashMonitor,
        header_codec: HeaderCodec,
        registry: PolicyRegistry,
        log: EventLog,
        clock: Clock,
        memory: MemoryAccount,
    ) -> None:
        self._memory = memory
        self._run_admission: RunAdmission | None = None
        self.service = own.service
        self.header_codec = header_codec
        self.gate = gate
        self.status_publisher = StatusPublisher(own.name, own.incarnation)
        self._pool = pool
        self._crashes = crashes
        self._registry = registry
        self._log = log
        self.clock = clock
        self._served_by_ticket: dict[AdmissionRequest, ServedCall] = {}
        self.dependency = NO_DEPENDENCY
        self.room = RoomReports(gate, log)
        self._dependent_routes = DependentRoutes()
        self.is_leaving = False
        # None if the durations of runs are not measured.
        self.pace: RunPace | None = None
        self.rollout: RunObserver | None = None
        self.reports = BackendServerReports(
            gate, log, clock, self._handle_status_change
        )

    def in_flight(self) -> int:
        """Return the number of calls that are queued or running."""
        return len(self._served_by_ticket)

    def use_run_admission(self, run_admission: RunAdmission) -> None:
        """Refuse runs for whose calls no retries are left."""
        self._run_admission = run_admission
        self._dependent_routes = DependentRoutes(keeps_routes=True)

    def accept(
        self,
        call: Call,
        sink: ResultSink,
        large_body: LargeBody | None = None,
    ) -> AdmissionRequest | None:
        """Admit, queue or refuse a call.

        The sink closes a large body when the call has ended.

        Returns
        -------
        AdmissionRequest or None
            Handle with which the call can be cancelled, None if refused.
        """
        now = self.clock.now()
        if call.service != self.service or call.remaining_ms <= 0:
            self._refuse(call, sink, Reason.NOT_READY)
            return None
        if self._crashes.seconds_left(Fingerprint(call.fingerprint)) > 0:
            self._refuse(call, sink, Reason.QUARANTINED)
            return None
        if lacks_retries(
            call,
            self._run_admission,
            self._dependent_routes,
            self.gate.running_calls,
            now,
        ):
            self._refuse(call, sink, Reason.OVERLOADED)
            return None
        deadline = now + call.remaining_ms / MS_PER_SECOND
        ticket = AdmissionRequest(
            (id(sink), call.number),
            call.priority_rank,
            call.is_child_call,
            call.organisation,
            now + call.max_queue_wait_ms / MS_PER_SECOND,
            call.route,
            deadline,
        )
        body: Holding | None = None
        if call.body:
            body = self._memory.open(HeldPart.CALLS)
            if not body.reserve(len(call.body)):
                self._memory.record_refusal(HeldPart.CALLS, len(call.body))
                self._refuse(call, sink, Reason.OVERLOADED)
                return None
        served = ServedCall(
            self, call, sink, ticket, deadline, body, large_body
        )
        decision = self.gate.admit(ticket, now)
        if isinstance(decision, Reason):
            served.end()
            self._refuse(call, sink, decision)
            return None
        self._served_by_ticket[ticket] = served
        if self._run_admission is not None:
            self._run_admission.record_run(call.is_repeat, now)
        if decision is AdmissionDecision.STARTED:
            served.connection = self._pool.submit(served)
        return ticket

    def cancel(self, ticket: AdmissionRequest, reason: str) -> None:
        """Cancel a call whose result is no longer needed.

        Parameters
        ----------
        ticket : AdmissionRequest
            Handle of the call.
        reason : str
            Why the call is cancelled, for the log.
        """
        served = self._served_by_ticket.get(ticket)
        if served is None:
            return
        if served.connection is not None:
            served.connection.cancel(served)
            return
        self._release(served)
        self._log.record(
            'call-cancelled-in-queue',
            self.clock.now(),
            request=served.call.request_id,
            reason=reason,
        )

    def complete(self, served: ServedCall, outcome: BackendOutcome) -> None:
        """Deliver the result of an ended call and start queued calls."""
        if served.is_done:
            return
        if isinstance(outcome, BackendAnswer):
            metadata = self.header_codec.read_answer(
                outcome.status, outcome.raw_headers
            )
            # What the answer says about the backend server holds for the queued
            # calls that its end starts.
            self.reports.handle_answer(served.run, served.sent_at, metadata)
            self._crashes.record_answer(served.call, served.run, metadata)
            dequeued = self._release(served)
            result = self._make_answer_result(served, outcome, metadata)
            if isinstance(result, Answered) and not has_failed(result):
                now = self.clock.now()
                self.gate.start_rule.record_run(
                    served.call.route, now - served.sent_at, now
                )
        else:
            self._crashes.record_failure(served.call, served.run, outcome)
            dequeued = self._release(served)
            result = self._make_failure_result(served, outcome)
        if self.dependency.cutoff >= self.gate.cutoff.maximum:
            self._dependent_routes.end_overload()
        elif not isinstance(result, NotRun):
            route = served.call.route
            self._dependent_routes.record_end(route, has_failed(result))
        if self.rollout is not None:
            self.rollout.record_run(served, result)
        if self.pace is not None:
            result = self.pace.record(served, outcome, result)
        served.sink.deliver(served.call.number, result)
        self._apply(dequeued)

    def refuse_quarantined(self, fingerprint: Fingerprint) -> None:
        """Refuse the calls of a request that have not reached the server.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the request, whose quarantine has just started.
        """
        for served in list(self._served_by_ticket.values()):
            if served.call.fingerprint != fingerprint or served.sent_at:
                continue
            if served.connection is not None:
                served.connection.cancel(served)
                continue
            dequeued = self._release(served)
            self._refuse(served.call, served.sink, Reason.QUARANTINED)
            self._apply(dequeued)

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Evacuate the backend server, or return it to service."""
        now = self.clock.now()
        self._apply(self.gate.set_evacuated(is_evacuated, now))
        self.status_publisher.publish_if_changed(self.status(), now)

    def set_withheld(self, is_withheld: bool) -> None:
        """Withhold calls from the backend server, or end this."""
        self.gate.is_withheld = is_withheld
        self._handle_status_change(self.clock.now())

    def publish_status(self) -> None:
        """Publish the status to all nodes, even if the status is unchanged."""
        self.status_publisher.publish(self.status(), self.clock.now())

    def tick(self) -> None:
        """Cancel calls past their deadline and publish status changes.

        Also refuses queued calls that have waited too long, and starts queued
        calls that can run now.
        """
        now = self.clock.now()
        self._apply(self.gate.tick(now))
        expired = [
            (ticket, served)
            for ticket, served in self._served_by_ticket.items()
            if served.deadline + DEADLINE_GRACE_SECONDS < now
        ]
        for ticket, _ in expired:
            self.cancel(ticket, 'deadline')
        self._pool.sweep(now)
        self.status_publisher.publish_if_changed(self.status(), now)

    def adjust_cutoff(self, now: float) -> None:
        """Adapt the priority cutoff to the load; called every 0.1 s.

        Logs the new cutoff if it was lowered.
        """
        self.room.check(now)
        decrease = self.gate.adjust_cutoff(now)
        if decrease is None:
            return
        self._log.record(
            'cutoff-lowered',
            now,
            level=round(decrease.cutoff, 2),
            arrived=decrease.arrived,
            refused=decrease.refused,
            pressure=round(decrease.wait_ratio, 2),
            running=self.gate.running_calls,
            waiting=self.gate.queued_calls,
            limit=self.gate.limit(),
            dependency=round(self.dependency.cutoff, 2),
        )

    def status(self) -> BackendServerStatus:
        """Return the status of the backend server for other nodes."""
        status = self.gate.status(self.clock.now())
        if self.dependency.cutoff < status.cutoff:
            status = replace(
                status,
                cutoff=self.dependency.cutoff,
                hops=self.dependency.hops,
            )
        if self.is_leaving and self.gate.is_open():
            status = replace(status, phase=ServerPhase.DRAINING)
        if self.pace is not None:
            status = self.pace.add_to(status)
        return status

    def _make_failure_result(
        self,
        served: ServedCall,
        failure: BackendFailure,
    ) -> NotRun | AnswerLost:
        number = served.call.number
        if not failure.has_begun:
            return self._not_run(served.call, Reason.NOT_READY)
        self._log_loss(served, failure.kind.value)
        return AnswerLost(number, failure.kind.value)

    def _make_answer_result(
        self,
        served: ServedCall,
        answer: BackendAnswer,
        metadata: AnswerMetadata,
    ) -> Answered | NotRun | AnswerLost:
        number = served.call.number
        if metadata.is_wrong_instance:
            self.gate.liveness.mark_unreachable()
            return self._not_run(served.call, Reason.NOT_READY)
        if metadata.says_not_run:
            return self._not_run(served.call, Reason.REJECTED)
        is_success = answer.status in _SUCCESS
        if metadata.is_encoded or (is_success and not metadata.is_stamped):
            self._log_loss(served, 'answer is not from the backend server')
            return AnswerLost(number, FailureKind.INVALID.value)
        return Answered(
            number,
            answer.status,
            render_headers(answer.raw_headers, HOP_BY_HOP_HEADERS),
            answer.body,
            self.in_flight(),
            self.dependency.percent(self.gate.cutoff.value),
            self._dependent_routes.is_dependent(served.call.route),
            _limit_percent(self.gate, self.status_publisher, self.clock.now()),
        )

    def _log_loss(self, served: ServedCall, reason: str) -> None:
        self._log.record(
            'answer-lost',
            self.clock.now(),
            request=served.call.request_id,
            how=reason,
            instance=self.gate.instance,
        )

    def _not_run(self, call: Call, reason: Reason) -> NotRun:
        return NotRun(
            call.number,
            reason.value,
            self.in_flight(),
            self.dependency.percent(self.gate.cutoff.value),
            _limit_percent(self.gate, self.status_publisher, self.clock.now()),
            self.room.retry_after_ms(
                reason, call.priority_rank, self.clock.now()
            ),
        )

    def _refuse(self, call: Call, sink: ResultSink, reason: Reason) -> None:
        sink.deliver(call.number, self._not_run(call, reason))
        self._log.record(
            'call-turned-away',
            self.clock.now(),
            request=call.request_id,
            reason=reason.value,
            running=self.gate.running_calls,
            limit=self.gate.limit(),
            request_limit=self.gate.named_limit.rate,
        )

    def _release(self, served: ServedCall) -> DequeuedCalls:
        served.end()
        self._served_by_ticket.pop(served.ticket, None)
        return self.gate.release(served.ticket.key, self.clock.now())

    def _apply(self, dequeued: DequeuedCalls) -> None:
        for refused_call in dequeued.refused:
            served = self._served_by_ticket.pop(refused_call.request, None)
            if served is None:
                continue
            served.end()
            self._refuse(served.call, served.sink, refused_call.reason)
        for ticket in dequeued.started:
            served = self._served_by_ticket.get(ticket)
            if served is not None:
                served.connection = self._pool.submit(served)

    def _handle_status_change(self, now: float) -> None:
        self._apply(self.gate.tick(now))
        self.status_publisher.publish_if_changed(self.status(), now)


def _limit_percent(
    gate: BackendGate, publisher: StatusPublisher, now: float
) -> int:
    utilisation = gate.named_limit.utilisation(now)
    if utilisation:
        publisher.record_reported_use()
    return int(min(utilisation, MAX_LIMIT_UTILISATION) * _PERCENT)
