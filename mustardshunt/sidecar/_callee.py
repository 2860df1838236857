"""The node beside the backend server: runs the calls of all nodes."""

from dataclasses import replace
from typing import Final

from mustardshunt.base import Clock, Reason
from mustardshunt.load_balancing import Member
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
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
    NotRun,
    render_headers,
)
from mustardshunt.sidecar._dependencies import (
    NO_DEPENDENCY,
    DependencyCutoff,
)
from mustardshunt.sidecar._dependent_routes import DependentRoutes
from mustardshunt.sidecar._ports import HeaderCodec
from mustardshunt.sidecar._served_call import MS_PER_SECOND, ServedCall
from mustardshunt.sidecar._status_publisher import ResultSink, StatusPublisher
from mustardshunt.upstream import (
    AdmissionDecision,
    AdmissionRequest,
    BackendGate,
    BackendServerStatus,
    DequeuedCalls,
    Heartbeat,
    ServerPhase,
)

# The entry node gives up first; this only ends what it can no longer cancel.
DEADLINE_GRACE: Final = 0.3
_PERCENT: Final = 100
_SUCCESS: Final = range(200, 300)
_SERVER_ERROR: Final = 500


class Callee:
    """Admits calls and passes them to the backend server.

    Parameters
    ----------
    own : Member
        This node.
    gate : BackendGate
        Decides which calls pass.
    pool : BackendConnectionPool
        Connections to the backend server.
    header_codec : HeaderCodec
        Headers of the platform.
    registry : PolicyRegistry
        Policy in force.
    log : EventLog
        Takes decisions worth explaining.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        gate: BackendGate,
        pool: BackendConnectionPool,
        header_codec: HeaderCodec,
        registry: PolicyRegistry,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self.service = own.service
        self.header_codec = header_codec
        self.gate = gate
        self.status_publisher = StatusPublisher(own.name, own.incarnation)
        self._pool = pool
        self._registry = registry
        self._log = log
        self.clock = clock
        self._served_by_ticket: dict[AdmissionRequest, ServedCall] = {}
        self.dependency = NO_DEPENDENCY
        self._dependent_routes = DependentRoutes()
        self.is_leaving = False

    def in_flight(self) -> int:
        """Return how many calls wait or run."""
        return len(self._served_by_ticket)

    def accept(self, call: Call, sink: ResultSink) -> AdmissionRequest | None:
        """Admit, queue or refuse a call.

        Returns
        -------
        Ticket or None
            Handle to cancel the call, None when it was refused.
        """
        now = self.clock.now()
        if call.service != self.service or call.remaining_ms <= 0:
            self._refuse(call, sink, Reason.NOT_READY)
            return None
        ticket = AdmissionRequest(
            (id(sink), call.number),
            call.priority_rank,
            call.is_child_call,
            call.organisation,
            now + call.max_queue_wait_ms / MS_PER_SECOND,
        )
        deadline = now + call.remaining_ms / MS_PER_SECOND
        served = ServedCall(self, call, sink, ticket, deadline)
        verdict = self.gate.admit(ticket, now)
        if isinstance(verdict, Reason):
            self._refuse(call, sink, verdict)
            return None
        self._served_by_ticket[ticket] = served
        if verdict is AdmissionDecision.STARTED:
            served.connection = self._pool.submit(served)
        return ticket

    def cancel(self, ticket: AdmissionRequest, reason: str) -> None:
        """Give a call up, because nobody waits for it any more."""
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
        """Pass on what became of a call at the backend server."""
        if served.is_done:
            return
        change = self._release(served)
        result = self._judge(served, outcome)
        is_overloaded = self.dependency.cutoff < self.gate.cutoff.maximum
        if is_overloaded and not isinstance(result, NotRun):
            route = served.call.route
            self._dependent_routes.record_end(route, _has_failed(result))
        served.sink.deliver(served.call.number, result)
        self._apply(change)

    def handle_heartbeat(self, report: Heartbeat) -> bool:
        """Take a heartbeat of the backend server."""
        now = self.clock.now()
        before = (self.gate.instance, self.gate.liveness.phase)
        if not self.gate.record_heartbeat(report, now):
            return False
        after = (self.gate.instance, self.gate.liveness.phase)
        if before != after:
            self._log.record(
                'backend-server',
                now,
                instance=report.instance,
                phase=report.phase.value,
                before=before[1].value,
                sequence=report.sequence,
                slots=report.slots,
                cold_for=report.cold_for,
            )
        self._after_change(now)
        return True

    def leave(self, instance: str) -> None:
        """Note that the backend server says it leaves."""
        now = self.clock.now()
        if self.gate.liveness.deregister(instance):
            self._log.record(
                'backend-server',
                now,
                instance=instance,
                phase='gone',
                reason='it has left',
            )
        self._after_change(now)

    def mark_server_lost(self) -> None:
        """Note that nobody listens at the backend server's address."""
        now = self.clock.now()
        self.gate.liveness.mark_unreachable()
        self._log.record(
            'backend-server',
            now,
            instance=self.gate.instance,
            phase=self.gate.liveness.phase.value,
            reason='connection refused',
        )
        self._after_change(now)

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Take the backend server out of service, or back."""
        now = self.clock.now()
        self._apply(self.gate.set_evacuated(is_evacuated, now))
        self.status_publisher.publish_if_changed(self.status(), now)

    def publish_status(self) -> None:
        """Show the state to all nodes, whether it has changed or not."""
        self.status_publisher.publish(self.status(), self.clock.now())

    def tick(self) -> None:
        """Turn late calls away, and show changes of state."""
        now = self.clock.now()
        self._apply(self.gate.tick(now))
        late = [
            (ticket, served)
            for ticket, served in self._served_by_ticket.items()
            if served.deadline + DEADLINE_GRACE < now
        ]
        for ticket, _ in late:
            self.cancel(ticket, 'deadline')
        self._pool.sweep(now)
        self.status_publisher.publish_if_changed(self.status(), now)

    def adjust_cutoff(self, now: float) -> None:
        """Adapt the cutoff to the overload; called every 0.1 s."""
        step = self.gate.adjust_cutoff(now)
        if step is None:
            return
        self._log.record(
            'cutoff-lowered',
            now,
            level=round(step.cutoff, 2),
            arrived=step.arrived,
            refused=step.refused,
            pressure=round(step.wait_ratio, 2),
            running=self.gate.running_calls,
            waiting=self.gate.queued_calls,
            limit=self.gate.limit(),
            dependency=round(self.dependency.cutoff, 2),
        )

    def status(self) -> BackendServerStatus:
        """Return the state that other nodes see."""
        view = self.gate.status(self.clock.now())
        if self.dependency.cutoff < view.cutoff:
            view = replace(
                view,
                cutoff=self.dependency.cutoff,
                hops=self.dependency.hops,
            )
        if self.is_leaving and self.gate.is_open():
            view = replace(view, phase=ServerPhase.DRAINING)
        return view

    def _judge(
        self,
        served: ServedCall,
        outcome: BackendOutcome,
    ) -> Answered | NotRun | AnswerLost:
        number = served.call.number
        if isinstance(outcome, BackendFailure):
            if not outcome.has_begun:
                return self._not_run(number, Reason.NOT_READY)
            self._log_loss(served, outcome.kind.value)
            return AnswerLost(number, outcome.kind.value)
        return self._judge_answer(served, outcome)

    def _judge_answer(
        self,
        served: ServedCall,
        answer: BackendAnswer,
    ) -> Answered | NotRun | AnswerLost:
        number = served.call.number
        facts = self.header_codec.read_answer(answer.status, answer.raw_headers)
        if facts.is_wrong_instance:
            self.gate.liveness.mark_unreachable()
            return self._not_run(number, Reason.NOT_READY)
        if facts.says_not_run:
            return self._not_run(number, Reason.REJECTED)
        is_success = answer.status in _SUCCESS
        if facts.is_encoded or (is_success and not facts.is_stamped):
            self._log_loss(served, 'not the answer of the backend server')
            return AnswerLost(number, FailureKind.INVALID.value)
        return Answered(
            number,
            answer.status,
            render_headers(answer.raw_headers, HOP_BY_HOP_HEADERS),
            answer.body,
            self.in_flight(),
            _cutoff_percent(self.gate, self.dependency),
            self._dependent_routes.is_dependent(served.call.route),
        )

    def _log_loss(self, served: ServedCall, how: str) -> None:
        self._log.record(
            'answer-lost',
            self.clock.now(),
            request=served.call.request_id,
            how=how,
            instance=self.gate.instance,
        )

    def _not_run(self, number: int, reason: Reason) -> NotRun:
        return NotRun(
            number,
            reason.value,
            self.in_flight(),
            _cutoff_percent(self.gate, self.dependency),
        )

    def _refuse(self, call: Call, sink: ResultSink, reason: Reason) -> None:
        sink.deliver(call.number, self._not_run(call.number, reason))
        self._log.record(
            'call-turned-away',
            self.clock.now(),
            request=call.request_id,
            reason=reason.value,
            running=self.gate.running_calls,
            limit=self.gate.limit(),
        )

    def _release(self, served: ServedCall) -> DequeuedCalls:
        served.is_done = True
        self._served_by_ticket.pop(served.ticket, None)
        return self.gate.release(served.ticket.key, self.clock.now())

    def _apply(self, change: DequeuedCalls) -> None:
        for turned in change.refused:
            served = self._served_by_ticket.pop(turned.request, None)
            if served is None:
                continue
            served.is_done = True
            self._refuse(served.call, served.sink, turned.reason)
        for ticket in change.started:
            served = self._served_by_ticket.get(ticket)
            if served is not None:
                served.connection = self._pool.submit(served)

    def _after_change(self, now: float) -> None:
        self._apply(self.gate.tick(now))
        self.status_publisher.publish_if_changed(self.status(), now)


def _cutoff_percent(gate: BackendGate, dependency: DependencyCutoff) -> int:
    return int(min(gate.cutoff.value, dependency.cutoff) * _PERCENT)


def _has_failed(result: Answered | AnswerLost) -> bool:
    return isinstance(result, AnswerLost) or result.status >= _SERVER_ERROR
