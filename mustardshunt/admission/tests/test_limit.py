"""Tests of the gradient concurrency limit with a backend server model."""

from mustardshunt.admission import GateSettings, make_gate
from mustardshunt.admission.tests.processor_sharing import (
    ProcessorSharingServer,
    send_heartbeat,
)

KNEE = 20
SECONDS = 0.1
CAPACITY = KNEE / SECONDS


def make_server():
    gate = make_gate(GateSettings(max_limit=240, initial_limit=20))
    send_heartbeat(gate)
    server = ProcessorSharingServer(gate, KNEE, SECONDS)
    server.run(10, CAPACITY * 0.8)
    return server


def measure_goodput(server, seconds, rate, seconds_to_deadline=1.0):
    before = server.answered
    server.run(seconds, rate, seconds_to_deadline)
    return (server.answered - before) / seconds


def test_limit_finds_the_knee():
    """The concurrency limit must settle between the knee and 3 times the knee.

    The knee is the number of calls in flight at which the throughput stops
    growing. A lower limit wastes capacity. With a much higher limit, calls wait
    inside the backend server.
    """
    server = make_server()
    goodput = measure_goodput(server, 20, CAPACITY * 3)
    assert goodput > 0.95 * CAPACITY
    assert KNEE <= server.gate.snapshot().limit < 3 * KNEE


def test_limit_does_not_grow_on_an_idle_server():
    """The concurrency limit must not grow while it is not used up.

    A limit that has grown without use would let a burst overload the server.
    """
    server = make_server()
    before = server.gate.snapshot().limit
    server.run(60, 10)
    assert server.gate.snapshot().limit <= before


def test_limit_follows_a_slow_server_and_its_recovery():
    """The limit must not collapse when all calls take longer.

    A collapsed limit would leave the slow backend server partly idle.
    """
    server = make_server()
    server.seconds = 4 * SECONDS
    server.run(5, CAPACITY, seconds_to_deadline=4.0)
    slow_goodput = measure_goodput(
        server, 10, CAPACITY, seconds_to_deadline=4.0
    )
    assert slow_goodput > 0.9 * CAPACITY / 4
    server.seconds = SECONDS
    server.run(2, CAPACITY)
    assert measure_goodput(server, 10, CAPACITY) > 0.9 * CAPACITY


def test_limit_does_not_fall_when_self_time_rises_slowly():
    """The limit must not fall when the backend server slowly becomes slower.

    The estimated self time without load must rise with the self times.
    Otherwise the gradient would lower the limit although load is not the cause.
    """
    server = make_server()
    for step in range(10):
        server.seconds = SECONDS * (1 + step / 5)
        capacity = KNEE / server.seconds
        goodput = measure_goodput(server, 20, capacity * 1.5)
        assert goodput > 0.9 * capacity
