"""Small backend server and call factory for the tests of the gate."""

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


def make_call(number, organisation='a', importance=Importance.NORMAL, end=9e9):
    return CallArrived(
        CallId(Incarnation('n'), number), organisation, importance, end
    )


def announce(gate, now=0.0, state=READY, start_id='s1'):
    return gate.handle(HeartbeatReceived(state, start_id), now)


def answer(gate, number, now, seconds=0.1):
    call_id = CallId(Incarnation('n'), number)
    return gate.handle(CallAnswered(call_id, seconds, seconds), now)


def fail(gate, number, now, kind=CallFailureKind.SHED, seconds=0.1):
    call_id = CallId(Incarnation('n'), number)
    return gate.handle(CallFailed(call_id, kind, seconds, seconds), now)


def warm_up(gate, calls=200, seconds=0.1):
    """Announce the backend server and answer calls until the cap is gone."""
    announce(gate)
    now = 0.0
    for number in range(-calls, 0):
        now += seconds
        gate.handle(make_call(number), now)
        answer(gate, number, now, seconds)
    return now


class ProcessorSharingServer:
    """Backend server whose calls share ``knee`` processors."""

    def __init__(self, gate: Gate, knee: int, seconds: float) -> None:
        self.gate = gate
        self.knee = knee
        self.seconds = seconds
        self.now = 0.0
        self.answered = 0
        self._running = 0
        self._ends: list[tuple[float, int, CallId, float]] = []
        self._numbers = itertools.count(1)

    def run(self, seconds: float, rate: float, hold: float = 1.0) -> None:
        """Send calls at a steady rate for some time."""
        end = self.now + seconds
        arrival = self.now
        next_tick = self.now
        while self.now < end:
            due = self._ends[0][0] if self._ends else end
            self.now = min(due, arrival, next_tick, end)
            if self.now == due and self._ends:
                self._finish()
            elif self.now == arrival:
                arrival += 1 / rate
                call = make_call(next(self._numbers), end=self.now + hold)
                self._apply(self.gate.handle(call, self.now))
            elif self.now == next_tick:
                next_tick += 0.05
                self._apply(self.gate.handle(Tick(), self.now))

    def _finish(self) -> None:
        _, _, call_id, taken = heapq.heappop(self._ends)
        self._running -= 1
        self.answered += 1
        event = CallAnswered(call_id, taken, taken)
        self._apply(self.gate.handle(event, self.now))

    def _apply(self, actions) -> None:
        for action in actions:
            if isinstance(action, StartCall):
                self._running += 1
                taken = self.seconds * max(1, self._running / self.knee)
                number = next(self._numbers)
                item = (self.now + taken, number, action.call_id, taken)
                heapq.heappush(self._ends, item)
