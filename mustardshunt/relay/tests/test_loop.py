"""Events that are gathered on a busy node."""

import socket

import pytest

from mustardshunt.relay._loop import (
    BUSY_EVENTS_PER_SECOND,
    GATHER_SECONDS,
    MAX_SKIPPED,
    MEASURE_SECONDS,
    BatchingSelector,
)


class FakeTime:
    """A clock that only pauses move, and the list of pauses."""

    def __init__(self) -> None:
        self.now = 0.0
        self.pauses: list[float] = []

    def clock(self) -> float:
        return self.now

    def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)


def run_turns(
    selector: BatchingSelector, fake: FakeTime, per_second: float
) -> None:
    """Let a readable socket be found so many times in each second."""
    turns = int(2 * MEASURE_SECONDS * per_second) + 2
    for _ in range(turns):
        fake.now += 1 / per_second
        selector.select(1.0)


@pytest.fixture
def sockets():
    one, other = socket.socketpair()
    other.send(b'x')
    yield one
    one.close()
    other.close()


def test_quiet_node_handles_each_event_at_once(sockets: socket.socket):
    """Guards the added latency of an ordinary node."""
    fake = FakeTime()
    selector = BatchingSelector(fake.clock, fake.pause)
    selector.register(sockets, 1)
    run_turns(selector, fake, BUSY_EVENTS_PER_SECOND * 0.9)
    assert not fake.pauses


def test_busy_node_gathers_events_and_stops_when_they_are_fewer(
    sockets: socket.socket,
):
    fake = FakeTime()
    selector = BatchingSelector(fake.clock, fake.pause)
    selector.register(sockets, 1)
    run_turns(selector, fake, BUSY_EVENTS_PER_SECOND * 1.2)
    assert set(fake.pauses) == {GATHER_SECONDS}
    run_turns(selector, fake, BUSY_EVENTS_PER_SECOND * 0.5)
    fake.pauses.clear()
    selector.select(1.0)
    assert not fake.pauses


def test_timer_that_is_due_sooner_is_not_kept_waiting(
    sockets: socket.socket,
):
    fake = FakeTime()
    selector = BatchingSelector(fake.clock, fake.pause)
    selector.register(sockets, 1)
    run_turns(selector, fake, BUSY_EVENTS_PER_SECOND * 1.2)
    fake.pauses.clear()
    selector.select(GATHER_SECONDS / 4)
    assert fake.pauses == [GATHER_SECONDS / 4]


def test_ready_callbacks_run_before_events_but_do_not_hold_them_up(
    sockets: socket.socket,
):
    fake = FakeTime()
    selector = BatchingSelector(fake.clock, fake.pause)
    selector.register(sockets, 1)
    found = [bool(selector.select(0)) for _ in range(MAX_SKIPPED + 1)]
    assert found == [False] * MAX_SKIPPED + [True]
