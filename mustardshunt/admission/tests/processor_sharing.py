"""Model of a backend server, and factories of events for gate tests."""

import heapq
import itertools

from mustardshunt.admission import (
    BackendServerState,
    CallAnswered,
    CallArrived,
    CallFailed,
    CallFailureKind,
    Gate,
    HeartbeatReceived,
    StartCall,
    Tick,
)
from mustardshunt.base import CallId, Importance, Incarnation

READY = BackendServerState.READY


def make_call(
    number, organisation='a', importance=Importance.NORMAL, deadline=9e9
):
    return CallArrived(
        CallId(Incarnation('n'), number), organisation, importance, deadline
    )


def send_heartbeat(gate, now=0.0, state=READY, start_id='s1'):
    return gate.handle(HeartbeatReceived(state, start_id), now)


def answer(gate, number, now, seconds=0.1):
    call_id = CallId(Incarnation('n'), number)
    return gate.handle(CallAnswered(call_id, seconds, seconds), now)


def fail(gate, number, now, kind=CallFailureKind.SHED, seconds=0.1):
    call_id = CallId(Incarnation('n'), number)
    return gate.handle(CallFailed(call_id, kind, seconds, seconds), now)


def warm_up(gate, calls=200, seconds=0.1):
    """Answer calls one by one until the cold-start ramp has ended."""
    send_heartbeat(gate)
    now = 0.0
    for number in range(-calls, 0):
        now += seconds
        gate.handle(make_call(number), now)
        answer(gate, number, now, seconds)
    return now


class ProcessorSharingServer:
    """Model of a backend server whose calls share ``knee`` processors.

    A call takes ``seconds`` while at most ``knee`` calls run. While more calls
    run, a call takes longer, in proportion to their number.
    """

    def __init__(self, gate: Gate, knee: int, seconds: float) -> None:
        self.gate = gate
        self.knee = knee
        self.seconds = seconds
        self.now = 0.0
        self.answered = 0
        self._running = 0
        self._ends: list[tuple[float, int, CallId, float]] = []
        self._numbers = itertools.count(1)

    def run(
        self, seconds: float, rate: float, seconds_to_deadline: float = 1.0
    ) -> None:
        """Send ``rate`` calls per second for a number of seconds."""
        end = self.now + seconds
        arrival = self.now
        next_tick = self.now
        while self.now < end:
            next_end = self._ends[0][0] if self._ends else end
            self.now = min(next_end, arrival, next_tick, end)
            if self.now == next_end and self._ends:
                self._finish()
            elif self.now == arrival:
                arrival += 1 / rate
                call = make_call(
                    next(self._numbers), deadline=self.now + seconds_to_deadline
                )
                self._apply(self.gate.handle(call, self.now))
            elif self.now == next_tick:
                next_tick += 0.05
                self._apply(self.gate.handle(Tick(), self.now))

    def _finish(self) -> None:
        _, _, call_id, total_time = heapq.heappop(self._ends)
        self._running -= 1
        self.answered += 1
        event = CallAnswered(call_id, total_time, total_time)
        self._apply(self.gate.handle(event, self.now))

    def _apply(self, actions) -> None:
        for action in actions:
            if isinstance(action, StartCall):
                self._running += 1
                total_time = self.seconds * max(1, self._running / self.knee)
                number = next(self._numbers)
                entry = (
                    self.now + total_time,
                    number,
                    action.call_id,
                    total_time,
                )
                heapq.heappush(self._ends, entry)
