"""The gate: the only way to one backend server."""

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

_SMOOTHING: Final = 0.1
_ACCEPTING: Final = frozenset((
    BackendServerState.COLD,
    BackendServerState.READY,
))


class Gate:
    """Admission control in front of one backend server.

    Parameters
    ----------
    concurrency_limit : ConcurrencyLimit
        Learns the concurrency limit.
    queue : QueueDiscipline
        Holds the calls that wait.
    ramp : RampRule
        Caps the load of a cold backend server.
    """

    def __init__(
        self,
        concurrency_limit: ConcurrencyLimit,
        queue: QueueDiscipline,
        ramp: RampRule,
    ) -> None:
        self._limit_rule = concurrency_limit
        self._queue = queue
        self._ramp = ramp
        self._level = SheddingThreshold()
        self._detector = ColdStartDetector()
        self._flight = CallsInFlight()
        self._state = BackendServerState.GONE
        self._start_id = ''
        self._total_time = 0.0
        self._actions: list[GateAction] = []
        self._handler_by_type: dict[type, Callable[[Any, float], None]] = {
            CallArrived: self._on_arrived,
            CallAnswered: self._on_answered,
            CallFailed: self._on_failed,
            CallCancelled: self._on_cancelled,
            HeartbeatReceived: self._on_announced,
            Tick: self._on_tick,
        }

    def try_start(self, call: CallArrived, now: float) -> bool:
        """Start a call if that is possible at once.

        The cheap path for most calls: after True, the call is in flight as
        after ``StartCall``; after False, nothing has changed and the event
        goes to ``handle``.
        """
        if len(self._queue) or self._state not in _ACCEPTING:
            return False
        if len(self._flight) + 1 > self._limit():
            return False
        self._start(call)
        return True

    def handle(self, event: GateEvent, now: float) -> tuple[GateAction, ...]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : GateEvent
            What happened.
        now : float
            Time in seconds.

        Returns
        -------
        tuple of GateAction
            In the order in which they are to be carried out.
        """
        self._handler_by_type[type(event)](event, now)
        self._start_waiting(now)
        self._level.review(now, self._room())
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def snapshot(self) -> GateSnapshot:
        """Return a view of the gate."""
        return GateSnapshot(
            state=self._state,
            limit=_floor(self._limit()),
            learned_limit=_floor(self._limit_rule.limit()),
            in_flight=len(self._flight),
            queued=len(self._queue),
            shedding_threshold=self._level.current(),
            is_ramping=self._ramp.cap() < math.inf,
        )

    def _limit(self) -> float:
        return min(self._limit_rule.limit(), self._ramp.cap())

    def _room(self) -> float:
        in_flight = len(self._flight)
        limit = self._limit()
        if len(self._queue) or in_flight + 1 > limit:
            return 0.0
        return 1.0 - in_flight / limit

    def _start(self, call: CallArrived) -> None:
        self._flight.add(call.call_id, call.importance, call.deadline)
        self._level.record_start(call.importance)

    def _refuse(self, call: CallArrived, reason: Reason) -> None:
        if reason in {Reason.OVERLOADED, Reason.DEADLINE_EXCEEDED}:
            self._level.record_refusal(call.importance)
        refusal = Refusal(reason, Effect.NOT_RUN)
        self._actions.append(RefuseCall(call.call_id, refusal))

    def _start_waiting(self, now: float) -> None:
        while len(self._queue) and len(self._flight) + 1 <= self._limit():
            call = self._queue.pop()
            if call.deadline <= now:
                self._refuse(call, Reason.DEADLINE_EXCEEDED)
                continue
            self._start(call)
            self._actions.append(StartCall(call.call_id))

    def _on_arrived(self, call: CallArrived, now: float) -> None:
        if self._state not in _ACCEPTING:
            self._refuse(call, self._closed_reason())
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
        has_below = self._queue.has_lower_importance(call.importance)
        is_critical = call.importance is Importance.CRITICAL
        # A critical call waits, whatever the wait, as long as lower ones run
        # or wait here: none of them is served in its place.
        if is_critical and (
            has_below or self._flight.has_lower_importance(call.importance)
        ):
            if is_full and has_below:
                self._displace(call)
            return True
        if not self._queue.meets_deadline(call, self._total_time, limit, now):
            return False
        # Only the deadline bounds the queue of critical calls: a limit that
        # is low for a moment must not turn away what it can serve in time.
        return is_critical or not is_full or self._displace(call)

    def _displace(self, arrival: CallArrived) -> bool:
        displaced = self._queue.displace(arrival)
        for entry in displaced:
            self._refuse(entry, Reason.OVERLOADED)
        return bool(displaced)

    def _on_answered(self, event: CallAnswered, now: float) -> None:
        in_flight = len(self._flight)
        deadline = self._flight.remove(event.call_id)
        if deadline is None:
            return
        self._total_time += _SMOOTHING * (event.total_time - self._total_time)
        rule = self._limit_rule
        if self._ramp.cap() < math.inf:
            # self times of a cold backend server say nothing of its limit
            if now <= deadline:
                self._ramp.record_answer(rule.limit(), now)
            return
        rule.record_answer(event.self_time, in_flight, now)
        if self._detector.record_self_time(
            rule.smoothed_self_time(), rule.base_self_time(), now
        ):
            self._turn_cold(now)

    def _on_failed(self, event: CallFailed, now: float) -> None:
        in_flight = len(self._flight)
        deadline = self._flight.remove(event.call_id)
        if deadline is None or event.kind is CallFailureKind.CANCELLED:
            return
        # time lost in child calls says nothing of this backend server
        is_own = event.self_time * 2 >= event.total_time
        if event.kind is CallFailureKind.TIMED_OUT and not is_own:
            return
        is_ramping = self._ramp.cap() < math.inf
        if is_ramping:
            self._ramp.record_failure()
        if event.kind is CallFailureKind.TIMED_OUT:
            # The call may have started late, and a slow backend server need
            # not be cold; how long the call ran still counts.
            if not is_ramping:
                self._record_at_least(event.self_time, in_flight, now)
            return
        if not is_ramping:
            self._limit_rule.record_overload(now)
        is_cold = self._detector.record_failure(now)
        if event.kind is CallFailureKind.CONNECTION_LOST:
            is_cold |= self._detector.record_reset(in_flight, now)
        if is_cold:
            self._turn_cold(now)

    def _record_at_least(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        if self_time > self._limit_rule.smoothed_self_time():
            self._limit_rule.record_answer(self_time, in_flight, now)

    def _on_cancelled(self, event: CallCancelled, now: float) -> None:
        call = self._queue.remove(event.call_id)
        if call is not None:
            self._refuse(call, Reason.CANCELLED)

    def _on_announced(self, event: HeartbeatReceived, now: float) -> None:
        was_accepting = self._state in _ACCEPTING
        is_new = event.start_id != self._start_id
        was_cold = self._state is BackendServerState.COLD
        self._state = event.state
        self._start_id = event.start_id
        if event.state not in _ACCEPTING:
            for call in self._queue.remove_all():
                self._refuse(call, self._closed_reason())
            return
        says_cold = event.state is BackendServerState.COLD and not was_cold
        if is_new or says_cold or not was_accepting:
            self._turn_cold(now)

    def _on_tick(self, event: Tick, now: float) -> None:
        for call in self._queue.remove_expired(now):
            self._refuse(call, Reason.DEADLINE_EXCEEDED)

    def _turn_cold(self, now: float) -> None:
        self._detector.clear()
        self._ramp.restart(now)

    def _closed_reason(self) -> Reason:
        if self._state is BackendServerState.DRAINING:
            return Reason.DRAINING
        return Reason.NOT_READY


def make_gate(settings: GateSettings) -> Gate:
    """Make a gate from checked settings.

    Parameters
    ----------
    settings : GateSettings
        Parameters of the gate.

    Returns
    -------
    Gate
        A gate that admits nothing until the backend server announces itself.

    Raises
    ------
    ParameterError
        A parameter is outside what is allowed.

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
    limit_rule = make_gradient_limit(
        settings.initial_limit,
        settings.max_limit,
        settings.tolerance,
    )
    queue = FairQueue(settings.queue_per_limit)
    return Gate(limit_rule, queue, ColdRamp())


def _floor(number: float) -> int:
    return int(min(number, 2**31))
