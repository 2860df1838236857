"""Tests of skipped polls and batches of events in ``BatchingSelector``."""

import socket

import pytest

from mustardshunt.relay._loop import (
    BATCH_SECONDS,
    BUSY_EVENTS_PER_SECOND,
    MAX_SKIPPED_POLLS,
    RATE_WINDOW_SECONDS,
    BatchingSelector,
)


class FakeTime:
    """Clock that the test sets; it records the pauses that were requested."""

    def __init__(self) -> None:
        self.now = 0.0
        self.pauses: list[float] = []

    def clock(self) -> float:
        return self.now

    def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)


def poll_at_rate(
    selector: BatchingSelector, fake_time: FakeTime, events_per_second: float
) -> None:
    """Poll a readable socket for two windows of the rate measurement.

    Each poll returns one event.
    """
    polls = int(2 * RATE_WINDOW_SECONDS * events_per_second) + 2
    for _ in range(polls):
        fake_time.now += 1 / events_per_second
        selector.select(1.0)


@pytest.fixture
def readable_socket():
    receiver, sender = socket.socketpair()
    sender.send(b'x')
    yield receiver
    receiver.close()
    sender.close()


def test_events_are_not_delayed_below_busy_rate(
    readable_socket: socket.socket,
):
    # At a node that is not busy, events must be returned without a pause. A
    # pause would add latency.
    fake_time = FakeTime()
    selector = BatchingSelector(fake_time.clock, fake_time.pause)
    selector.register(readable_socket, 1)
    poll_at_rate(selector, fake_time, BUSY_EVENTS_PER_SECOND * 0.9)
    assert not fake_time.pauses


def test_events_are_batched_only_while_rate_is_high(
    readable_socket: socket.socket,
):
    # At a busy node, one wake-up must handle several events. After the load has
    # fallen, the selector must stop delaying events.
    fake_time = FakeTime()
    selector = BatchingSelector(fake_time.clock, fake_time.pause)
    selector.register(readable_socket, 1)
    poll_at_rate(selector, fake_time, BUSY_EVENTS_PER_SECOND * 1.2)
    assert set(fake_time.pauses) == {BATCH_SECONDS}
    poll_at_rate(selector, fake_time, BUSY_EVENTS_PER_SECOND * 0.5)
    fake_time.pauses.clear()
    selector.select(1.0)
    assert not fake_time.pauses


def test_batching_does_not_delay_a_timer(
    readable_socket: socket.socket,
):
    # A timer may be due before the time for a batch of events is over. The
    # timer must still fire on time.
    fake_time = FakeTime()
    selector = BatchingSelector(fake_time.clock, fake_time.pause)
    selector.register(readable_socket, 1)
    poll_at_rate(selector, fake_time, BUSY_EVENTS_PER_SECOND * 1.2)
    fake_time.pauses.clear()
    selector.select(BATCH_SECONDS / 4)
    assert fake_time.pauses == [BATCH_SECONDS / 4]


def test_ready_callbacks_delay_events_for_bounded_polls(
    readable_socket: socket.socket,
):
    # I/O events must be polled even if each iteration of the event loop leaves
    # ready callbacks behind. Otherwise they would wait for ever.
    fake_time = FakeTime()
    selector = BatchingSelector(fake_time.clock, fake_time.pause)
    selector.register(readable_socket, 1)
    found = [bool(selector.select(0)) for _ in range(MAX_SKIPPED_POLLS + 1)]
    assert found == [False] * MAX_SKIPPED_POLLS + [True]
