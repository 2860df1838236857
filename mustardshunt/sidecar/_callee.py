"""The node beside the backend server: runs the calls of all nodes."""

from dataclasses import replace
from typing import Final

from mustardshunt.base import Clock, Reason
from mustardshunt.observability import EventLog
from mustardshunt.placement import Member
from mustardshunt.policy import PolicyRegistry
from mustardshunt.relay import (
    HOP_HEADERS,
    Answered,
    BackendAnswer,
    BackendFailure,
    BackendOutcome,
    BackendPool,
    Call,
    FailureKind,
    Lost,
    NotRun,
    render_headers,
)
from mustardshunt.sidecar._dependencies import (
    NO_DEPENDENCY,
    DependencyCutoff,
)
from mustardshunt.sidecar._dependent_routes import DependentRoutes
from mustardshunt.sidecar._ports import HeaderDialect
from mustardshunt.sidecar._served_call import MS_PER_SECOND, ServedCall
from mustardshunt.sidecar._state_board import ReplySink, StateBoard
from mustardshunt.upstream import (
    Admission,
    BackendGate,
    GateChange,
    GateView,
    ServerPhase,
    ServerReport,
    Ticket,
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
    pool : BackendPool
        Connections to the backend server.
    dialect : HeaderDialect
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
        pool: BackendPool,
        dialect: HeaderDialect,
        registry: PolicyRegistry,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self.service = own.service
        self.dialect = dialect
        self.gate = gate
        self.board = StateBoard(own.name, own.incarnation)
        self._pool = pool
        self._registry = registry
        self._log = log
        self.clock = clock
        self._served_by_ticket: dict[Ticket, ServedCall] = {}
        self.dependency = NO_DEPENDENCY
        self._dependent_routes = DependentRoutes()
        self.is_leaving = False

    def in_flight(self) -> int:
        """Return how many calls wait or run."""
        return len(self._served_by_ticket)

    def accept(self, call: Call, sink: ReplySink) -> Ticket | None:
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
        ticket = Ticket(
            (id(sink), call.number),
            call.position,
            call.is_continuation,
            call.organisation,
            now + call.patience_ms / MS_PER_SECOND,
        )
        deadline = now + call.remaining_ms / MS_PER_SECOND
        served = ServedCall(self, call, sink, ticket, deadline)
        verdict = self.gate.arrive(ticket, now)
        if isinstance(verdict, Reason):
            self._refuse(call, sink, verdict)
            return None
        self._served_by_ticket[ticket] = served
        if verdict is Admission.STARTED:
            served.connection = self._pool.submit(served)
        return ticket

    def cancel(self, ticket: Ticket, reason: str) -> None:
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
        is_overloaded = self.dependency.cutoff < self.gate.cutoff.top
        if is_overloaded and not isinstance(result, NotRun):
            route = served.call.route
            self._dependent_routes.note_end(route, _has_failed(result))
        served.sink.deliver(served.call.number, result)
        self._apply(change)

    def report(self, report: ServerReport) -> bool:
        """Take a heartbeat of the backend server."""
        now = self.clock.now()
        before = (self.gate.instance, self.gate.presence.phase)
        if not self.gate.report(report, now):
            return False
        after = (self.gate.instance, self.gate.presence.phase)
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
        if self.gate.presence.leave(instance):
            self._log.record(
                'backend-server',
                now,
                instance=instance,
                phase='gone',
                reason='it has left',
            )
        self._after_change(now)

    def lose_server(self) -> None:
        """Note that nobody listens at the backend server's address."""
        now = self.clock.now()
        self.gate.presence.lose()
        self._log.record(
            'backend-server',
            now,
            instance=self.gate.instance,
            phase=self.gate.presence.phase.value,
            reason='connection refused',
        )
        self._after_change(now)

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Take the backend server out of service, or back."""
        now = self.clock.now()
        self._apply(self.gate.set_evacuated(is_evacuated, now))
        self.board.show_if_changed(self.view(), now)

    def show(self) -> None:
        """Show the state to all nodes, whether it has changed or not."""
        self.board.show(self.view(), self.clock.now())

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
        self.board.show_if_changed(self.view(), now)

    def review(self, now: float) -> None:
        """Adapt the cutoff to the overload; called every 0.1 s."""
        step = self.gate.review(now)
        if step is None:
            return
        self._log.record(
            'cutoff-lowered',
            now,
            level=round(step.level, 2),
            arrived=step.arrived,
            refused=step.refused,
            pressure=round(step.pressure, 2),
            running=self.gate.running,
            waiting=self.gate.waiting,
            limit=self.gate.limit(),
            dependency=round(self.dependency.cutoff, 2),
        )

    def view(self) -> GateView:
        """Return the state that other nodes see."""
        view = self.gate.view(self.clock.now())
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
    ) -> Answered | NotRun | Lost:
        number = served.call.number
        if isinstance(outcome, BackendFailure):
            if not outcome.has_begun:
                return self._not_run(number, Reason.NOT_READY)
            self._log_loss(served, outcome.kind.value)
            return Lost(number, outcome.kind.value)
        return self._judge_answer(served, outcome)

    def _judge_answer(
        self,
        served: ServedCall,
        answer: BackendAnswer,
    ) -> Answered | NotRun | Lost:
        number = served.call.number
        facts = self.dialect.read_answer(answer.status, answer.raw_headers)
        if facts.is_other_server:
            self.gate.presence.lose()
            return self._not_run(number, Reason.NOT_READY)
        if facts.says_not_run:
            return self._not_run(number, Reason.REJECTED)
        is_success = answer.status in _SUCCESS
        if facts.is_encoded or (is_success and not facts.is_stamped):
            self._log_loss(served, 'not the answer of the backend server')
            return Lost(number, FailureKind.INVALID.value)
        return Answered(
            number,
            answer.status,
            render_headers(answer.raw_headers, HOP_HEADERS),
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

    def _refuse(self, call: Call, sink: ReplySink, reason: Reason) -> None:
        sink.deliver(call.number, self._not_run(call.number, reason))
        self._log.record(
            'call-turned-away',
            self.clock.now(),
            request=call.request_id,
            reason=reason.value,
            running=self.gate.running,
            limit=self.gate.limit(),
        )

    def _release(self, served: ServedCall) -> GateChange:
        served.is_done = True
        self._served_by_ticket.pop(served.ticket, None)
        return self.gate.finish(served.ticket.key, self.clock.now())

    def _apply(self, change: GateChange) -> None:
        for turned in change.turned:
            served = self._served_by_ticket.pop(turned.ticket, None)
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
        self.board.show_if_changed(self.view(), now)


def _cutoff_percent(gate: BackendGate, dependency: DependencyCutoff) -> int:
    return int(min(gate.cutoff.level, dependency.cutoff) * _PERCENT)


def _has_failed(result: Answered | Lost) -> bool:
    return isinstance(result, Lost) or result.status >= _SERVER_ERROR
