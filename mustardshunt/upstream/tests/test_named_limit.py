"""Tests of the limit that a backend server names in its answers."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Reason
from mustardshunt.upstream import (
    AdmissionDecision,
    AdmissionRequest,
    BackendGate,
    Heartbeat,
    ServerPhase,
    make_backend_gate,
)

HEARTBEAT = Heartbeat('i-1', 100, 1, ServerPhase.READY, 200, 0.0)
# The rule: in no 4 s more than one and a half times the limit, and 5 requests.
WINDOW_SECONDS = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5


def make_request(key: object, **changes: object) -> AdmissionRequest:
    request = AdmissionRequest(key, 0, False, 'o', 100.0)
    return dataclasses.replace(request, **changes)


def make_gate(instance: str = 'i-1') -> BackendGate:
    gate = make_backend_gate(100.0)
    gate.record_heartbeat(
        dataclasses.replace(HEARTBEAT, instance=instance), 0.0
    )
    return gate


def start_calls(gate: BackendGate, now: float, count: int) -> int:
    """Offer calls that cannot wait; return how many start."""
    started = 0
    for number in range(count):
        request = make_request((now, number), start_deadline=now)
        if gate.admit(request, now) is AdmissionDecision.STARTED:
            gate.release(request.key, now)
            started += 1
    return started


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    rate=st.sampled_from([0.0, 0.3, 1.0, 4.5, 20.0, 60.0]),
    load=st.sampled_from([1.5, 2.0, 3.0, 5.0]),
    bursts=st.lists(
        st.tuples(
            st.integers(0, 100),
            st.integers(1, 60),
            st.booleans(),
            st.booleans(),
        ),
        max_size=40,
    ),
)
def test_server_gets_no_more_than_the_limit_that_it_names(
    rate: float,
    load: float,
    bursts: list[tuple[int, int, bool, bool]],
):
    """Bursts, child calls and queued calls must keep to the named limit.

    Before the limit, the server got a multiple of it.
    """
    gate = make_gate()
    run = gate.liveness.run
    before = max(1, round(rate * load))
    for number in range(before):
        start_calls(gate, 9.0 + number / before, 1)
    starts = [9.0 + number / before for number in range(before)]
    gate.named_limit.record_named(run, rate, 10.0)
    key = 0
    for step in range(101):
        now = 10.0 + step / 10
        for start in gate.tick(now).started:
            gate.release(start.key, now)
            starts.append(now)
        for at, count, is_child_call, may_wait in bursts:
            if at != step:
                continue
            for _ in range(count):
                key += 1
                request = make_request(
                    key,
                    is_child_call=is_child_call,
                    start_deadline=now + may_wait,
                )
                if gate.admit(request, now) is AdmissionDecision.STARTED:
                    gate.release(key, now)
                    starts.append(now)
    allowed = rate * WINDOW_SECONDS * EXCESS_RATIO + EXCESS_REQUESTS
    for end in range(130, 201):
        window = [
            at for at in starts if end / 10 - WINDOW_SECONDS < at <= end / 10
        ]
        assert len(window) <= allowed


@pytest.mark.parametrize('rate', [2.0, 20.0, 60.0])
@pytest.mark.parametrize('load', [1.5, 2.0, 3.0, 5.0])
def test_calls_before_a_limit_count_in_its_first_window(
    rate: float, load: float
):
    """The first 4 s must hold, with the second before the limit in them."""
    gate = make_gate()
    before = round(rate * load)
    starts = [10.0 - number / before for number in range(before)]
    for at in reversed(starts):
        start_calls(gate, at, 1)
    gate.named_limit.record_named(gate.liveness.run, rate, 10.0)
    for step in range(1, 600):
        now = 10.0 + step / 100
        starts += [now] * start_calls(gate, now, 3)
    allowed = rate * WINDOW_SECONDS * EXCESS_RATIO + EXCESS_REQUESTS
    for end in range(130, 161):
        window = [
            at for at in starts if end / 10 - WINDOW_SECONDS < at <= end / 10
        ]
        assert len(window) <= allowed


def test_limit_is_used_up_under_constant_load():
    """A server must get what it still takes, not much less than its limit."""
    gate = make_gate()
    gate.named_limit.record_named(gate.liveness.run, 20.0, 10.0)
    started = sum(
        start_calls(gate, 11.0 + step / 100, 1) for step in range(1000)
    )
    assert started >= 0.95 * 20 * 10


@pytest.mark.parametrize('rate', [2.0, 20.0])
def test_limit_that_varies_slightly_is_used_up(rate: float):
    """A server may name a slightly different limit in each of its answers."""
    gate = make_gate()
    started = 0
    for step in range(1000):
        now = 11.0 + step / 100
        named = rate * (1.0 - step % 2 / 100)
        gate.named_limit.record_named(gate.liveness.run, named, now)
        started += start_calls(gate, now, 1)
    assert started >= 0.9 * rate * 10


def test_calls_in_the_queue_keep_to_a_limit_that_comes_later():
    """A call that was queued before the limit must not start above it."""
    gate = make_gate()
    gate.record_heartbeat(
        dataclasses.replace(HEARTBEAT, slots=1, sequence=2), 0.0
    )
    for key in range(9):
        gate.admit(make_request(key), 1.0)
    gate.named_limit.record_named(gate.liveness.run, 1.0, 1.1)
    gate.release(0, 1.2)
    assert gate.running_calls == 0
    assert not gate.tick(1.3).started


def test_call_that_cannot_start_in_time_is_refused_at_once():
    """A call must not wait for a turn that comes after its deadline.

    Another backend server may take it at once.
    """
    gate = make_gate()
    gate.named_limit.record_named(gate.liveness.run, 10.0, 1.0)
    decisions = [
        gate.admit(make_request(key, start_deadline=3.3), 3.0)
        for key in range(12)
    ]
    assert decisions.count(AdmissionDecision.STARTED) == 2
    assert decisions.count(AdmissionDecision.QUEUED) == 3
    assert decisions.count(Reason.OVERLOADED) == 7


def test_important_call_is_queued_although_others_wait():
    """Unimportant calls in the queue must not refuse an important one."""
    gate = make_gate()
    gate.named_limit.record_named(gate.liveness.run, 10.0, 1.0)
    for key in range(12):
        gate.admit(make_request(key, priority_rank=2, start_deadline=3.3), 3.0)
    important = make_request('important', start_deadline=3.15)
    assert gate.admit(important, 3.0) is AdmissionDecision.QUEUED
    assert gate.tick(3.11).started == (important,)


def test_refusals_by_the_limit_do_not_lower_the_cutoff():
    """A capped server must not make entry nodes refuse requests.

    Other backend servers of the service may have room for all of them.
    """
    gate = make_gate()
    gate.cutoff.set_rank_count(3)
    gate.named_limit.record_named(gate.liveness.run, 1.0, 1.0)
    for step in range(30):
        now = 1.0 + step / 10
        start_calls(gate, now, 10)
        gate.tick(now)
        gate.adjust_cutoff(now)
    assert gate.cutoff.value == gate.cutoff.maximum


def test_changed_limit_holds_from_the_answer_on():
    """A server must get the changed number of calls at once."""
    gate = make_gate()
    run = gate.liveness.run
    gate.named_limit.record_named(run, 10.0, 1.0)
    assert sum(start_calls(gate, 5 + n / 100, 1) for n in range(100)) <= 13
    gate.named_limit.record_named(run, 40.0, 6.0)
    assert sum(start_calls(gate, 6 + n / 100, 1) for n in range(100)) >= 38
    gate.named_limit.record_named(run, 5.0, 7.0)
    assert sum(start_calls(gate, 7 + n / 100, 1) for n in range(100)) <= 6


def test_replaced_or_restarted_server_inherits_no_limit():
    """A server in the place of a capped one must get all calls.

    It has another name, or the same name and another start.
    """
    for changes in ({'instance': 'i-2'}, {'started_at': 300}):
        gate = make_gate()
        gate.named_limit.record_named(gate.liveness.run, 1.0, 1.0)
        gate.record_heartbeat(dataclasses.replace(HEARTBEAT, **changes), 2.0)
        assert start_calls(gate, 3.0, 50) == 50


def test_late_answer_to_an_earlier_call_does_not_end_the_limit():
    """Only a call that was sent under the limit can show that it has ended."""
    gate = make_gate()
    run = gate.liveness.run
    gate.named_limit.record_named(run, 1.0, 1.0)
    assert not gate.named_limit.record_unnamed(run, sent_at=0.9)
    assert start_calls(gate, 3.0, 50) < 50
    assert gate.named_limit.record_unnamed(run, sent_at=3.0)
    assert start_calls(gate, 3.1, 50) == 50


def test_server_that_takes_nothing_is_probed():
    """The end of a limit of 0 must be found, so a call starts now and then."""
    gate = make_gate()
    gate.named_limit.record_named(gate.liveness.run, 0.0, 1.0)
    started = sum(start_calls(gate, 2.0 + second, 3) for second in range(20))
    assert 3 <= started <= 6


def test_limit_reported_by_a_caller_yields_to_the_own_answers():
    """A restarted node must use what its server says, not an older report."""
    gate = make_gate()
    run = gate.liveness.run
    assert gate.named_limit.adopt(run, 5.0, 1.0)
    assert start_calls(gate, 3.0, 50) <= 5
    gate.named_limit.record_unnamed(run, sent_at=3.0)
    assert not gate.named_limit.adopt(run, 5.0, 4.0)
    assert start_calls(gate, 5.0, 50) == 50
