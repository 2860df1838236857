"""Admits calls to this node's backend server and returns their outcomes."""

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

# A backend server that sends no heartbeat for this time counts as gone.
HEARTBEAT_TIMEOUT_SECONDS: Final = 3.0
# Link number of the calls that the node sends to its own backend server.
OWN_LINK: Final = 0


class Callee:
    """Passes admitted calls to the backend server and returns their outcomes.

    No method waits, so that the task of a peer link can handle the next frame
    at once. Only the tasks of the backend connections wait for answers.

    Parameters
    ----------
    own : Incarnation
        This node.
    gate : Gate
        Admission control.
    call_table : CallTable
        Calls that run at the backend server.
    outcome_log : OutcomeLog
        Outcomes of non-idempotent calls, so that each runs at most once.
    crash_monitor : CrashMonitor
        Detects requests that crash backend servers.
    thresholds : RouteSheddingThresholds
        Shedding thresholds of the services that each route depends on.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    max_body_bytes : int
        Largest accepted body of an answer, in bytes.
    """

    def __init__(
        self,
        own: Incarnation,
        gate: Gate,
        call_table: CallTable,
        outcome_log: OutcomeLog,
        crash_monitor: CrashMonitor,
        thresholds: RouteSheddingThresholds,
        metrics: NodeMetrics,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._gate = gate
        self._call_table = call_table
        self._outcome_log = outcome_log
        self._crash_monitor = crash_monitor
        self._thresholds = thresholds
        self._metrics = metrics
        self._clock = clock
        self._heartbeat: Heartbeat | None = None
        self._heartbeat_at = 0.0
        self._queued_by_id: dict[CallId, ServedCall] = {}
        # The node's own calls come over no link. They get a link number that
        # is registered once and never replaced.
        outcome_log.register_link(own, OWN_LINK, clock.now())
        self._backend_calls = BackendCalls(
            call_table,
            crash_monitor,
            clock,
            max_body_bytes,
        )
        self.is_draining = False

    @property
    def service(self) -> str:
        """Service of the backend server, empty without a backend server."""
        return self._heartbeat.service if self._heartbeat else ''

    @property
    def state(self) -> BackendServerState:
        """State of the backend server.

        The state is ``COLD`` also during the ramp that follows a cold start.
        """
        snapshot = self._gate.snapshot()
        if snapshot.state is BackendServerState.READY and snapshot.is_ramping:
            return BackendServerState.COLD
        return snapshot.state

    @property
    def is_full(self) -> bool:
        """Whether a new call would have to wait in the admission queue."""
        snapshot = self._gate.snapshot()
        return snapshot.queued > 0 or snapshot.in_flight >= snapshot.limit

    def find_shedding_threshold(self, route: str) -> int:
        """Return the lowest importance that is accepted now for a route.

        This node's admission and the services that the route depends on each
        have a shedding threshold; the highest threshold counts.
        """
        own = self._gate.snapshot().shedding_threshold
        return max(own, self._thresholds.find_shedding_threshold(route))

    @property
    def in_flight(self) -> int:
        """Number of calls that have arrived and have no outcome yet."""
        return len(self._queued_by_id) + len(self._backend_calls)

    def accept(
        self,
        context: CallContext,
        request: CallRequest,
        link: int,
        reply: ReplyCallback,
    ) -> None:
        """Send a call to the backend server, queue the call or refuse it.

        Parameters
        ----------
        context : CallContext
            Context of the call.
        request : CallRequest
            Request for the backend server.
        link : int
            Number of the link on which the call came, ``OWN_LINK`` for the
            node's own calls.
        reply : callable
            Is called with the outcome, at once or later. Not called for a
            repeated frame or a frame that came on a replaced link.
        """
        if self.is_draining:
            reply(Outcome(Refusal(Reason.DRAINING, Effect.NOT_RUN)))
            return
        now = self._clock.now()
        if not context.idempotent:
            begin_result = self._outcome_log.begin(context.call_id, link, now)
            if begin_result is not BeginResult.BEGUN:
                if begin_result.refusal is not None:
                    reply(Outcome(begin_result.refusal))
                return
        fingerprint = self._crash_monitor.make_fingerprint(
            context.organisation,
            request,
        )
        call = ServedCall(self, context, request, reply, fingerprint)
        reason = self._find_refusal_reason(call)
        if reason is not None:
            refusal = Refusal(reason, Effect.NOT_RUN)
            self._deliver(call, Outcome(refusal, context.retries_left), now)
            return
        arrival = CallArrived(
            context.call_id,
            context.organisation,
            context.importance,
            context.deadline,
        )
        if self._gate.try_start(arrival, now):
            self._backend_calls.start(call, now)
            return
        self._queued_by_id[context.call_id] = call
        self._apply(self._gate.handle(arrival, now), now)

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call whose sender no longer waits.

        A non-idempotent call that has started runs to its end, so that a
        repeat of the call can be answered with the same outcome.
        """
        now = self._clock.now()
        if call_id in self._queued_by_id:
            self._apply(self._gate.handle(CallCancelled(call_id), now), now)
            return
        self._backend_calls.cancel(call_id)

    def resolve(self, call_id: CallId) -> CallStatus:
        """Return the status of a non-idempotent call from the outcome log."""
        return self._outcome_log.resolve(call_id, self._clock.now())

    def redirect(self, call_id: CallId, reply: ReplyCallback) -> None:
        """Pass the outcome of a queued or started call to another callback."""
        call = self._queued_by_id.get(call_id)
        if call is None:
            call = self._backend_calls.find(call_id)
        if call is not None:
            call.reply = reply

    def open_link(self, sender: Incarnation, link: int) -> None:
        """Register a link, which replaces older links of the same sender."""
        self._outcome_log.register_link(sender, link, self._clock.now())

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Store a heartbeat, and update the state of the backend server.

        Returns
        -------
        bool
            Whether this heartbeat differs from the previous heartbeat.
        """
        now = self._clock.now()
        former = self._heartbeat
        self._heartbeat = heartbeat
        self._heartbeat_at = now
        if former is None or former.address != heartbeat.address:
            self._backend_calls.replace_connections(heartbeat.address)
        self._crash_monitor.handle_heartbeat(
            heartbeat.service,
            heartbeat.address,
            heartbeat.start_id,
        )
        state = BackendServerState(heartbeat.state)
        event = HeartbeatReceived(state, heartbeat.start_id)
        self._apply(self._gate.handle(event, now), now)
        if former != heartbeat:
            logger.info(
                'backend server {} of service {} is {}',
                heartbeat.address,
                heartbeat.service,
                heartbeat.state,
            )
        return former != heartbeat

    def tick(self) -> bool:
        """Refuse expired calls, and check for missing heartbeats.

        Returns
        -------
        bool
            Whether this tick found that the backend server is gone.
        """
        now = self._clock.now()
        self._apply(self._gate.handle(GateTick(), now), now)
        self._backend_calls.release_held(now)
        former = self._heartbeat
        if (
            former is None
            or now - self._heartbeat_at < HEARTBEAT_TIMEOUT_SECONDS
        ):
            return False
        logger.warning(
            'backend server {} of service {} sent no heartbeat for {} s; '
            'it counts as gone',
            former.address,
            former.service,
            HEARTBEAT_TIMEOUT_SECONDS,
        )
        self._heartbeat = None
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
        """Record the end of a started call and send its outcome.

        Calls that waited for this end are started.
        """
        now = self._clock.now()
        call_id = call.context.call_id
        self._backend_calls.remove(call_id)
        summary = self._call_table.close(call.reference, now)
        if summary is None:
            return
        if call.is_cancelled:
            result = BackendFailure(has_begun=True, kind='cancelled')
        if isinstance(result, BackendFailure) and result.kind == 'lost':
            self._crash_monitor.record_lost(call.fingerprint)
        elif isinstance(result, Answer):
            self._crash_monitor.record_finished(call.fingerprint)
            self._thresholds.record_call(call.context.route)
        event = make_gate_event(call_id, result, summary)
        actions = self._gate.handle(event, now)
        self._deliver(call, make_outcome(call, result, summary), now)
        self._apply(actions, now)
        self._backend_calls.release_held(now)

    def refresh_metrics(self) -> None:
        """Set the gauges of the admission to their present values."""
        snapshot = self._gate.snapshot()
        self._metrics.limit.set(snapshot.limit)
        self._metrics.in_flight.set(snapshot.in_flight)
        self._metrics.queued.set(snapshot.queued)

    def close(self) -> None:
        """Close the connections to the backend server."""
        self._backend_calls.close()

    def _find_refusal_reason(self, call: ServedCall) -> Reason | None:
        decision = self._crash_monitor.check(call.fingerprint, ())
        if decision is QuarantineDecision.QUARANTINED:
            return Reason.QUARANTINED
        context = call.context
        if context.importance < self._thresholds.find_shedding_threshold(
            context.route
        ):
            # A service that the route depends on would refuse the child call.
            # The work done until the child call would be wasted.
            return Reason.OVERLOADED
        return None

    def _apply(self, actions: Iterable[GateAction], now: float) -> None:
        for action in actions:
            call = self._queued_by_id.pop(action.call_id)
            if isinstance(action, StartCall):
                self._backend_calls.start(call, now)
                continue
            outcome = Outcome(action.refusal, call.context.retries_left)
            self._deliver(call, outcome, now)

    def _deliver(
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
