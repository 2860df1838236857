"""Admission of calls to the node's own backend server."""

from collections.abc import Iterable
from typing import Final

from loguru import logger

from mustardshunt.admission import (
    BackendServerState,
    CallArrived,
    CallCancelled,
    Gate,
    GateAction,
    HeartbeatReceived,
    StartCall,
)
from mustardshunt.admission import Tick as GateTick
from mustardshunt.base import (
    Answer,
    CallContext,
    CallId,
    CallRequest,
    Clock,
    Effect,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.calls import CallTable
from mustardshunt.node._backend_calls import BackendCalls
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._outcome_rules import make_gate_event, make_outcome
from mustardshunt.node._route_thresholds import RouteSheddingThresholds
from mustardshunt.node._served_call import ReplyCallback, ServedCall
from mustardshunt.observability import NodeMetrics
from mustardshunt.outcomes import BeginResult, CallStatus, Outcome, OutcomeLog
from mustardshunt.quarantine import QuarantineDecision
from mustardshunt.transport import (
    BackendFailure,
    Heartbeat,
)

# A backend server is taken as gone after this time without a heartbeat.
HEARTBEAT_TIMEOUT_SECONDS: Final = 3.0
# Number that stands for the link of the node's own calls.
OWN_LINK: Final = 0


class Callee:
    """Brings admitted calls to the backend server and their outcome back.

    Every method returns without waiting, so that the task of a peer link can
    take the next frame at once; the tasks of the backend connections do the
    waiting.

    Parameters
    ----------
    own : Incarnation
        This node.
    gate : Gate
        Admission control.
    call_table : CallTable
        Calls in flight.
    outcome_log : OutcomeLog
        At-most-once record of non-idempotent calls.
    suspects : CrashMonitor
        Requests that have crashed backend servers.
    levels : RouteSheddingThresholds
        What the services behind each route accept.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    max_body_bytes : int
        Largest answer that is accepted.
    """

    def __init__(
        self,
        own: Incarnation,
        gate: Gate,
        call_table: CallTable,
        outcome_log: OutcomeLog,
        suspects: CrashMonitor,
        levels: RouteSheddingThresholds,
        metrics: NodeMetrics,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._gate = gate
        self._call_table = call_table
        self._outcome_log = outcome_log
        self._suspects = suspects
        self._levels = levels
        self._metrics = metrics
        self._clock = clock
        self._announcement: Heartbeat | None = None
        self._heard = 0.0
        self._queued_by_id: dict[CallId, ServedCall] = {}
        # The own calls come over no link that could be superseded.
        outcome_log.register_link(own, OWN_LINK, clock.now())
        self._backend = BackendCalls(
            call_table,
            suspects,
            clock,
            max_body_bytes,
        )
        self.is_draining = False

    @property
    def service(self) -> str:
        """Service of the backend server, empty when there is none."""
        return self._announcement.service if self._announcement else ''

    @property
    def state(self) -> BackendServerState:
        """State of the backend server as its node sees it."""
        snapshot = self._gate.snapshot()
        if snapshot.state is BackendServerState.READY and snapshot.is_ramping:
            return BackendServerState.COLD
        return snapshot.state

    @property
    def is_full(self) -> bool:
        """Whether a call would have to wait now."""
        snapshot = self._gate.snapshot()
        return snapshot.queued > 0 or snapshot.in_flight >= snapshot.limit

    def find_shedding_threshold(self, route: str) -> int:
        """Return the lowest importance that is accepted for a route now."""
        own = self._gate.snapshot().shedding_threshold
        return max(own, self._levels.find_shedding_threshold(route))

    @property
    def in_flight(self) -> int:
        """Calls that have arrived and have no outcome yet."""
        return len(self._queued_by_id) + len(self._backend)

    def accept(
        self,
        context: CallContext,
        request: CallRequest,
        link: int,
        reply: ReplyCallback,
    ) -> None:
        """Take a call; its outcome goes to ``reply`` at once or later.

        Parameters
        ----------
        context : CallContext
            Context of the call.
        request : CallRequest
            What is sent to the backend server.
        link : int
            Number of the link on which it came, 0 for the node's own calls.
        reply : callable
            Takes the outcome; not called for a frame that repeats another.
        """
        if self.is_draining:
            reply(Outcome(Refusal(Reason.DRAINING, Effect.NOT_RUN)))
            return
        now = self._clock.now()
        if not context.idempotent:
            beginning = self._outcome_log.begin(context.call_id, link, now)
            if beginning is not BeginResult.BEGUN:
                if beginning.refusal is not None:
                    reply(Outcome(beginning.refusal))
                return
        fingerprint = self._suspects.make_fingerprint(
            context.organisation,
            request,
        )
        call = ServedCall(self, context, request, reply, fingerprint)
        reason = self._find_objection(call)
        if reason is not None:
            refusal = Refusal(reason, Effect.NOT_RUN)
            self._conclude(call, Outcome(refusal, context.retries_left), now)
            return
        arrived = CallArrived(
            context.call_id,
            context.organisation,
            context.importance,
            context.deadline,
        )
        if self._gate.try_start(arrived, now):
            self._backend.start(call, now)
            return
        self._queued_by_id[context.call_id] = call
        self._apply(self._gate.handle(arrived, now), now)

    def cancel(self, call_id: CallId) -> None:
        """Give up a call for which nobody waits any more.

        A non-idempotent call that has started runs to its end, so that its
        outcome is known to a repeat.
        """
        now = self._clock.now()
        if call_id in self._queued_by_id:
            self._apply(self._gate.handle(CallCancelled(call_id), now), now)
            return
        self._backend.cancel(call_id)

    def resolve(self, call_id: CallId) -> CallStatus:
        """Tell the fate of a non-idempotent call."""
        return self._outcome_log.resolve(call_id, self._clock.now())

    def redirect(self, call_id: CallId, reply: ReplyCallback) -> None:
        """Send the outcome of a running call over another link."""
        call = self._queued_by_id.get(call_id)
        if call is None:
            call = self._backend.find(call_id)
        if call is not None:
            call.reply = reply

    def open_link(self, sender: Incarnation, link: int) -> None:
        """Note a link, which supersedes the older ones of its sender."""
        self._outcome_log.register_link(sender, link, self._clock.now())

    def handle_heartbeat(self, announcement: Heartbeat) -> bool:
        """Take a heartbeat of the backend server.

        Returns
        -------
        bool
            Whether the service, the address or the state changed.
        """
        now = self._clock.now()
        former = self._announcement
        self._announcement = announcement
        self._heard = now
        if former is None or former.address != announcement.address:
            self._backend.replace_connections(announcement.address)
        self._suspects.handle_heartbeat(
            announcement.service,
            announcement.address,
            announcement.start_id,
        )
        state = BackendServerState(announcement.state)
        event = HeartbeatReceived(state, announcement.start_id)
        self._apply(self._gate.handle(event, now), now)
        if former != announcement:
            logger.info(
                'backend server {} of service {} is {}',
                announcement.address,
                announcement.service,
                announcement.state,
            )
        return former != announcement

    def tick(self) -> bool:
        """Drop expired calls, and notice a backend server that is gone.

        Returns
        -------
        bool
            Whether the backend server is gone since the last tick.
        """
        now = self._clock.now()
        self._apply(self._gate.handle(GateTick(), now), now)
        self._backend.release_held(now)
        former = self._announcement
        if former is None or now - self._heard < HEARTBEAT_TIMEOUT_SECONDS:
            return False
        logger.warning('backend server {} sends no heartbeat', former.address)
        self._announcement = None
        event = HeartbeatReceived(
            BackendServerState.GONE,
            former.start_id,
        )
        self._apply(self._gate.handle(event, now), now)
        return True

    def finish(
        self,
        call: ServedCall,
        result: Answer | BackendFailure,
    ) -> None:
        """Take what came from the backend server for a started call."""
        now = self._clock.now()
        call_id = call.context.call_id
        self._backend.remove(call_id)
        summary = self._call_table.close(call.reference, now)
        if summary is None:
            return
        if call.is_cancelled:
            result = BackendFailure(has_begun=True, kind='cancelled')
        if isinstance(result, BackendFailure) and result.kind == 'lost':
            self._suspects.record_lost(call.fingerprint)
        elif isinstance(result, Answer):
            self._suspects.record_finished(call.fingerprint)
            self._levels.record_call(call.context.route)
        event = make_gate_event(call_id, result, summary)
        actions = self._gate.handle(event, now)
        self._conclude(call, make_outcome(call, result, summary), now)
        self._apply(actions, now)
        self._backend.release_held(now)

    def refresh_metrics(self) -> None:
        """Bring the gauges up to date."""
        snapshot = self._gate.snapshot()
        self._metrics.limit.set(snapshot.limit)
        self._metrics.in_flight.set(snapshot.in_flight)
        self._metrics.queued.set(snapshot.queued)

    def close(self) -> None:
        """Close the connections to the backend server."""
        self._backend.close()

    def _find_objection(self, call: ServedCall) -> Reason | None:
        verdict = self._suspects.check(call.fingerprint, ())
        if verdict is QuarantineDecision.QUARANTINED:
            return Reason.QUARANTINED
        context = call.context
        if context.importance < self._levels.find_shedding_threshold(
            context.route
        ):
            # A service that the call needs would refuse it half-way.
            return Reason.OVERLOADED
        return None

    def _apply(self, actions: Iterable[GateAction], now: float) -> None:
        for action in actions:
            call = self._queued_by_id.pop(action.call_id)
            if isinstance(action, StartCall):
                self._backend.start(call, now)
                continue
            outcome = Outcome(action.refusal, call.context.retries_left)
            self._conclude(call, outcome, now)

    def _conclude(
        self,
        call: ServedCall,
        outcome: Outcome,
        now: float,
    ) -> None:
        if not call.context.idempotent:
            self._outcome_log.finish(call.context.call_id, outcome, now)
        if isinstance(outcome.reply, Refusal):
            self._metrics.count_served(outcome.reply.reason.value)
        else:
            self._metrics.count_served('answered')
        call.reply(outcome)
