"""Gate in front of a backend server: admits, queues or refuses calls."""

import math
from collections.abc import Callable
from typing import Any, Final

from mustardshunt.admission._cold_detector import ColdStartDetector
from mustardshunt.admission._events import (
    BackendServerState,
    CallAnswered,
    CallArrived,
    CallCancelled,
    CallFailed,
    CallFailureKind,
    GateAction,
    GateEvent,
    GateSnapshot,
    HeartbeatReceived,
    RefuseCall,
    StartCall,
    Tick,
)
from mustardshunt.admission._in_flight import CallsInFlight
from mustardshunt.admission._limit import ConcurrencyLimit, make_gradient_limit
from mustardshunt.admission._queue import FairQueue, QueueDiscipline
from mustardshunt.admission._ramp import ColdRamp, RampRule
from mustardshunt.admission._settings import GateSettings
from mustardshunt.admission._threshold import SheddingThreshold
from mustardshunt.base import (
    Effect,
    Importance,
    Reason,
    Refusal,
    check_range,
)

# Weight, from 0 to 1, of the latest call in the exponentially smoothed total
# time of calls.
_TOTAL_TIME_SMOOTHING: Final = 0.1
_ACCEPTING_STATES: Final = frozenset((
    BackendServerState.COLD,
    BackendServerState.READY,
))


class Gate:
    """Decides when each call to a backend server starts or is refused.

    Parameters
    ----------
    concurrency_limit : ConcurrencyLimit
        Sets how many calls may be in flight.
    queue : QueueDiscipline
        Holds the calls that wait to be started.
    ramp : RampRule
        Caps the calls in flight after a cold start.
    """

    def __init__(
        self,
        concurrency_limit: ConcurrencyLimit,
        queue: QueueDiscipline,
        ramp: RampRule,
    ) -> None:
        self._concurrency_limit = concurrency_limit
        self._queue = queue
        self._ramp = ramp
        self._shedding_threshold = SheddingThreshold()
        self._cold_detector = ColdStartDetector()
        self._calls_in_flight = CallsInFlight()
        self._state = BackendServerState.GONE
        self._start_id = ''
        self._smoothed_total_time = 0.0
        self._actions: list[GateAction] = []
        self._handler_by_type: dict[type, Callable[[Any, float], None]] = {
            CallArrived: self._on_arrived,
            CallAnswered: self._on_answered,
            CallFailed: self._on_failed,
            CallCancelled: self._on_cancelled,
            HeartbeatReceived: self._on_heartbeat,
            Tick: self._on_tick,
        }

    def try_start(self, call: CallArrived, now: float) -> bool:
        """Start a call at once if no call is queued and the limit allows it.

        This is the fast path for most calls.

        Parameters
        ----------
        call : CallArrived
            The call.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            True when the call has started: the node must now send it to the
            backend server, as for the action ``StartCall``. False when the call
            has not started and the gate is unchanged: the node must pass the
            call to ``handle``.
        """
        if len(self._queue) or self._state not in _ACCEPTING_STATES:
            return False
        if len(self._calls_in_flight) + 1 > self._limit():
            return False
        self._record_start(call)
        return True

    def handle(self, event: GateEvent, now: float) -> tuple[GateAction, ...]:
        """Handle one event and return the resulting actions.

        Parameters
        ----------
        event : GateEvent
            The event.
        now : float
            Time, in seconds.

        Returns
        -------
        tuple of GateAction
            Actions for the node to carry out, in this order.
        """
        self._handler_by_type[type(event)](event, now)
        self._start_queued(now)
        self._shedding_threshold.review(now, self._free_fraction())
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def snapshot(self) -> GateSnapshot:
        """Return the present state and figures of the gate."""
        return GateSnapshot(
            state=self._state,
            limit=_floor(self._limit()),
            learned_limit=_floor(self._concurrency_limit.limit()),
            in_flight=len(self._calls_in_flight),
            queued=len(self._queue),
            shedding_threshold=self._shedding_threshold.current(),
            is_ramping=self._ramp.cap() < math.inf,
        )

    def _limit(self) -> float:
        return min(self._concurrency_limit.limit(), self._ramp.cap())

    def _free_fraction(self) -> float:
        in_flight = len(self._calls_in_flight)
        limit = self._limit()
        if len(self._queue) or in_flight + 1 > limit:
            return 0.0
        return 1.0 - in_flight / limit

    def _record_start(self, call: CallArrived) -> None:
        self._calls_in_flight.add(call.call_id, call.importance, call.deadline)
        self._shedding_threshold.record_start(call.importance)

    def _refuse(self, call: CallArrived, reason: Reason) -> None:
        if reason in {Reason.OVERLOADED, Reason.DEADLINE_EXCEEDED}:
            self._shedding_threshold.record_refusal(call.importance)
        refusal = Refusal(reason, Effect.NOT_RUN)
        self._actions.append(RefuseCall(call.call_id, refusal))

    def _start_queued(self, now: float) -> None:
        while (
            len(self._queue) and len(self._calls_in_flight) + 1 <= self._limit()
        ):
            call = self._queue.pop()
            if call.deadline <= now:
                self._refuse(call, Reason.DEADLINE_EXCEEDED)
                continue
            self._record_start(call)
            self._actions.append(StartCall(call.call_id))

    def _on_arrived(self, call: CallArrived, now: float) -> None:
        if self._state not in _ACCEPTING_STATES:
            self._refuse(call, self._unavailable_reason())
            return
        if call.deadline <= now:
            self._refuse(call, Reason.DEADLINE_EXCEEDED)
            return
        if self.try_start(call, now):
            self._actions.append(StartCall(call.call_id))
            return
        if self._may_queue(call, now):
            self._queue.push(call)
        else:
            self._refuse(call, Reason.OVERLOADED)

    def _may_queue(self, call: CallArrived, now: float) -> bool:
        limit = self._limit()
        is_full = len(self._queue) >= self._queue.max_length(limit)
        has_lower_queued = self._queue.has_lower_importance(call.importance)
        is_critical = call.importance is Importance.CRITICAL
        # A critical call must not be refused while the backend server serves
        # less important calls. While less important calls run or wait, a
        # critical call is therefore queued even if it may miss its deadline.
        if is_critical and (
            has_lower_queued
            or self._calls_in_flight.has_lower_importance(call.importance)
        ):
            if is_full and has_lower_queued:
                self._displace(call)
            return True
        if not self._queue.meets_deadline(
            call, self._smoothed_total_time, limit, now
        ):
            return False
        # A critical call that can meet its deadline is queued even if the queue
        # is full. Otherwise, a short drop of the concurrency limit would cause
        # the refusal of critical calls.
        return is_critical or not is_full or self._displace(call)

    def _displace(self, arrival: CallArrived) -> bool:
        displaced = self._queue.displace(arrival)
        for entry in displaced:
            self._refuse(entry, Reason.OVERLOADED)
        return bool(displaced)

    def _on_answered(self, event: CallAnswered, now: float) -> None:
        in_flight = len(self._calls_in_flight)
        deadline = self._calls_in_flight.remove(event.call_id)
        if deadline is None:
            return
        self._smoothed_total_time += _TOTAL_TIME_SMOOTHING * (
            event.total_time - self._smoothed_total_time
        )
        concurrency_limit = self._concurrency_limit
        if self._ramp.cap() < math.inf:
            # Self times of a cold backend server are not used to adjust the
            # concurrency limit, because they do not show the capacity of the
            # backend server after it has warmed up.
            if now <= deadline:
                self._ramp.record_answer(concurrency_limit.limit(), now)
            return
        concurrency_limit.record_answer(event.self_time, in_flight, now)
        if self._cold_detector.record_self_time(
            concurrency_limit.smoothed_self_time(),
            concurrency_limit.base_self_time(),
            now,
        ):
            self._restart_ramp(now)

    def _on_failed(self, event: CallFailed, now: float) -> None:
        in_flight = len(self._calls_in_flight)
        deadline = self._calls_in_flight.remove(event.call_id)
        if deadline is None or event.kind is CallFailureKind.CANCELLED:
            return
        # When a call spent most of its time waiting for child calls, its
        # time-out does not show that this backend server is slow.
        is_mostly_self_time = event.self_time * 2 >= event.total_time
        if event.kind is CallFailureKind.TIMED_OUT and not is_mostly_self_time:
            return
        is_ramping = self._ramp.cap() < math.inf
        if is_ramping:
            self._ramp.record_failure()
        if event.kind is CallFailureKind.TIMED_OUT:
            # A time-out counts neither as overload nor as a sign of a cold
            # start: the call may have started shortly before its deadline, and
            # a slow backend server need not be cold. The self time until the
            # time-out is still used, as a lower bound of the self time that the
            # call needs.
            if not is_ramping:
                self._record_lower_bound(event.self_time, in_flight, now)
            return
        if not is_ramping:
            self._concurrency_limit.record_overload(now)
        is_cold = self._cold_detector.record_failure(now)
        if event.kind is CallFailureKind.CONNECTION_LOST:
            is_cold |= self._cold_detector.record_reset(in_flight, now)
        if is_cold:
            self._restart_ramp(now)

    def _record_lower_bound(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        if self_time > self._concurrency_limit.smoothed_self_time():
            self._concurrency_limit.record_answer(self_time, in_flight, now)

    def _on_cancelled(self, event: CallCancelled, now: float) -> None:
        call = self._queue.remove(event.call_id)
        if call is not None:
            self._refuse(call, Reason.CANCELLED)

    def _on_heartbeat(self, event: HeartbeatReceived, now: float) -> None:
        was_accepting = self._state in _ACCEPTING_STATES
        is_new_start = event.start_id != self._start_id
        was_cold = self._state is BackendServerState.COLD
        self._state = event.state
        self._start_id = event.start_id
        if event.state not in _ACCEPTING_STATES:
            for call in self._queue.remove_all():
                self._refuse(call, self._unavailable_reason())
            return
        has_become_cold = (
            event.state is BackendServerState.COLD and not was_cold
        )
        if is_new_start or has_become_cold or not was_accepting:
            self._restart_ramp(now)

    def _on_tick(self, event: Tick, now: float) -> None:
        for call in self._queue.remove_expired(now):
            self._refuse(call, Reason.DEADLINE_EXCEEDED)

    def _restart_ramp(self, now: float) -> None:
        self._cold_detector.clear()
        self._ramp.restart(now)

    def _unavailable_reason(self) -> Reason:
        if self._state is BackendServerState.DRAINING:
            return Reason.DRAINING
        return Reason.NOT_READY


def make_gate(settings: GateSettings) -> Gate:
    """Check the settings and make a gate with the default rules.

    The gate has a gradient limit, a fair queue and a cold-start ramp.

    Parameters
    ----------
    settings : GateSettings
        Parameters of the gate.

    Returns
    -------
    Gate
        Gate that refuses all calls until the first heartbeat of the backend
        server arrives.

    Raises
    ------
    ParameterError
        A setting is outside its allowed range.

    Examples
    --------
    >>> from mustardshunt.base import CallId, Incarnation
    >>> gate = make_gate(GateSettings())
    >>> ready = HeartbeatReceived(BackendServerState.READY, 's1')
    >>> gate.handle(ready, now=0.0)
    ()
    >>> call_id = CallId(Incarnation('a'), 1)
    >>> call = CallArrived(call_id, 'glassworks', Importance.HIGH, 1.0)
    >>> gate.try_start(call, now=0.0)
    True
    """
    check_range('max_limit', settings.max_limit, 1)
    check_range('initial_limit', settings.initial_limit, 1)
    check_range('queue_per_limit', settings.queue_per_limit, 0, 100)
    concurrency_limit = make_gradient_limit(
        settings.initial_limit,
        settings.max_limit,
        settings.tolerance,
    )
    queue = FairQueue(settings.queue_per_limit)
    return Gate(concurrency_limit, queue, ColdRamp())


def _floor(number: float) -> int:
    return int(min(number, 2**31))
