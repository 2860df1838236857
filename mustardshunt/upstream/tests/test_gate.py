"""Tests of the admission of calls to one backend server."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Reason
from mustardshunt.policy import ServicePolicy
from mustardshunt.upstream import (
    AdmissionDecision,
    AdmissionRequest,
    BackendGate,
    Heartbeat,
    ServerPhase,
    make_backend_gate,
)
from mustardshunt.upstream._cutoff import MIN_CUTOFF

COLD_RATE = 10.0
# Most calls that a cold backend server may receive in any second. The formula
# is cold_per_s x cold_overage + cold_slack.
MAX_COLD_CALLS = 10 * 1.5 + 5


def make_heartbeat(**changes: object) -> Heartbeat:
    heartbeat = Heartbeat('i-1', 100, 1, ServerPhase.READY, 4, 0.0)
    return dataclasses.replace(heartbeat, **changes)


def make_request(key: object, **changes: object) -> AdmissionRequest:
    request = AdmissionRequest(key, 0, False, 'o', 100.0)
    return dataclasses.replace(request, **changes)


def make_open_gate(**changes: object) -> BackendGate:
    gate = make_backend_gate(1.0)
    gate.set_service(ServicePolicy('s', '/', 100, 3.0, COLD_RATE))
    gate.record_heartbeat(make_heartbeat(**changes), 0.0)
    return gate


def test_draining_server_gets_no_call():
    """A draining backend server must get no call.

    The backend server is about to stop and may not finish the call.
    """
    gate = make_open_gate()
    gate.record_heartbeat(
        make_heartbeat(sequence=2, phase=ServerPhase.DRAINING), 1.0
    )
    assert gate.admit(make_request('a'), 1.0) is Reason.DRAINING


def test_server_that_left_gets_no_call_after_a_late_heartbeat():
    """A process that has deregistered must get no calls.

    A late heartbeat of this process must not open the gate again.
    """
    gate = make_open_gate()
    gate.liveness.deregister('i-1', 0.5)
    assert not gate.record_heartbeat(make_heartbeat(sequence=9), 1.0)
    assert gate.admit(make_request('a'), 1.0) is Reason.NOT_READY


def test_late_heartbeat_of_a_former_run_is_ignored():
    """A late heartbeat of an earlier process must be ignored.

    Otherwise the earlier process would replace the current process, and the
    current process would count as ended.
    """
    gate = make_open_gate(instance='i-2', started_at=200)
    assert not gate.record_heartbeat(make_heartbeat(sequence=50), 1.0)
    assert gate.instance == 'i-2'


def test_restarted_run_with_the_same_identifier_is_accepted():
    """The heartbeats of a restarted backend server must be accepted.

    Their sequence numbers start at 1 again. If only the sequence numbers were
    compared, these heartbeats would look outdated.
    """
    gate = make_open_gate(sequence=50)
    assert gate.record_heartbeat(
        make_heartbeat(started_at=300, sequence=1), 1.0
    )
    assert not gate.record_heartbeat(make_heartbeat(sequence=51), 1.1)


def test_server_without_heartbeats_is_gone():
    """A backend server whose heartbeats are missing must count as gone.

    The backend server may have stopped without deregistering. Calls to a
    stopped backend server would fail.
    """
    gate = make_open_gate()
    gate.tick(3.9)
    assert gate.liveness.phase is ServerPhase.READY
    gate.tick(4.1)
    assert gate.liveness.phase is ServerPhase.GONE


def test_evacuation_refuses_queued_calls():
    """When an evacuation begins, queued calls must be refused at once.

    Otherwise the calls would wait in a data centre that runs no calls.
    """
    gate = make_open_gate(slots=1)
    assert gate.admit(make_request('a'), 0.0) is AdmissionDecision.STARTED
    assert gate.admit(make_request('b'), 0.0) is AdmissionDecision.QUEUED
    dequeued = gate.set_evacuated(True, 0.1)
    assert [refusal.reason for refusal in dequeued.refused] == [Reason.DRAINING]
    assert gate.admit(make_request('c'), 0.2) is Reason.DRAINING


@pytest.mark.parametrize('arrivals', [(), (5.4,), (5.1, 5.9), (5.0, 6.5, 7.9)])
def test_late_heartbeats_do_not_end_the_cold_start_after_an_evacuation(
    arrivals: tuple[float, ...],
):
    """A heartbeat from before the return ended the cold start (review/5).

    The backend server was idle during the evacuation, and full load at once
    crashed it. Heartbeats may arrive seconds late, and tell nothing of when
    they were sent.
    """
    gate = make_open_gate()
    gate.set_evacuated(True, 1.0)
    gate.set_evacuated(False, 5.0)
    for number, now in enumerate(arrivals):
        gate.record_heartbeat(make_heartbeat(sequence=number + 2), now)
        assert gate.is_cold(now)
    assert gate.is_cold(7.95)
    assert not gate.is_cold(8.05)


def test_server_stays_cold_for_as_long_as_it_reports_after_an_evacuation():
    """The cold start may be longer than the one that the gate assumes."""
    gate = make_open_gate()
    gate.set_evacuated(True, 1.0)
    gate.set_evacuated(False, 5.0)
    gate.record_heartbeat(make_heartbeat(sequence=2, cold_for=3.0), 6.0)
    assert gate.is_cold(8.9)
    assert not gate.is_cold(9.1)


def test_server_that_returns_before_its_policy_is_known_is_cold():
    """A node may learn of the return before it knows its service's limits."""
    gate = make_backend_gate(1.0)
    gate.record_heartbeat(make_heartbeat(), 0.0)
    gate.set_evacuated(True, 1.0)
    gate.set_evacuated(False, 5.0)
    gate.set_service(ServicePolicy('s', '/', 100, 3.0, COLD_RATE))
    assert gate.is_cold(7.9)
    assert not gate.is_cold(8.1)


def test_cold_server_gets_no_call_without_a_known_rate_limit():
    """A cold backend server must get no call if its rate limit is unknown.

    A node that starts while the platform is unavailable knows no rate limit.
    Full load could overload the cold backend server.
    """
    gate = make_backend_gate(1.0)
    gate.record_heartbeat(make_heartbeat(cold_for=3.0), 0.0)
    request = make_request('a', start_deadline=0.0)
    assert gate.admit(request, 0.1) is Reason.OVERLOADED
    assert gate.admit(request, 3.1) is AdmissionDecision.STARTED


def test_child_calls_and_important_calls_start_first():
    """Child calls must start first, then the other calls by importance.

    If calls started in order of arrival, important calls would wait for less
    important calls.
    """
    gate = make_open_gate(slots=1)
    gate.admit(make_request('running'), 0.0)
    gate.admit(make_request('read', priority_rank=2), 0.0)
    gate.admit(make_request('order', priority_rank=0), 0.0)
    gate.admit(make_request('child', priority_rank=2, is_child_call=True), 0.0)
    start_order = []
    running: object = 'running'
    while running is not None:
        started = gate.release(running, 0.1).started
        running = started[0].key if started else None
        start_order.append(running)
    assert start_order == ['child', 'order', 'read', None]


def test_other_calls_take_turns_with_child_calls():
    """Child calls must not hold back all other calls of a service.

    In an overload, child calls always wait. A service that gets mostly child
    calls served its direct callers last, also the most important ones.
    """
    gate = make_open_gate(slots=1)
    gate.admit(make_request('running'), 0.0)
    for number in range(4):
        child = make_request(
            f'child{number}', priority_rank=2, is_child_call=True
        )
        gate.admit(child, 0.0)
    gate.admit(make_request('read', priority_rank=2), 0.0)
    gate.admit(make_request('order', priority_rank=0), 0.0)
    start_order = []
    running: object = 'running'
    for _ in range(4):
        running = gate.release(running, 0.1).started[0].key
        start_order.append(running)
    assert start_order == ['child0', 'order', 'child1', 'read']


def test_organisations_are_served_round_robin():
    """The organisations with queued calls must take turns.

    Otherwise an organisation with many calls would delay all other
    organisations.
    """
    gate = make_open_gate(slots=1)
    gate.admit(make_request('running'), 0.0)
    for number in range(3):
        gate.admit(make_request(number, organisation='large'), 0.0)
    gate.admit(make_request('small', organisation='small'), 0.0)
    gate.release('running', 0.1)
    assert gate.release(0, 0.1).started[0].key == 'small'


def test_queued_call_is_refused_after_its_start_deadline():
    """A queued call must be refused when its start deadline has passed.

    The response would arrive when the caller no longer waits for it.
    """
    gate = make_open_gate(slots=1)
    gate.admit(make_request('a'), 0.0)
    gate.admit(make_request('b', start_deadline=0.5), 0.0)
    assert not gate.tick(0.4).refused
    assert [refusal.request.key for refusal in gate.tick(0.6).refused] == ['b']
    assert not gate.release('a', 0.7).started


def test_cancelled_queued_call_does_not_start():
    """A queued call that its caller has cancelled must not start.

    No caller waits for the response, so the work would be lost.
    """
    gate = make_open_gate(slots=1)
    gate.admit(make_request('a'), 0.0)
    gate.admit(make_request('b'), 0.0)
    gate.release('b', 0.1)
    assert not gate.release('a', 0.2).started


def test_refused_call_cuts_off_only_less_important_ranks():
    """A refused call must cut off less important ranks only.

    The admission queue sheds excess calls of the refused call's rank by
    itself. Cutting off this rank as well would leave slots idle.
    """
    gate = make_open_gate(slots=1)
    gate.cutoff.set_rank_count(3)
    now = 0.0
    for tick in range(200):
        now += 0.1
        gate.admit(make_request(tick, priority_rank=1, start_deadline=0.0), now)
        gate.adjust_cutoff(now)
    assert gate.status(now).cutoff == pytest.approx(2.0)
    gate.release(0, now)
    for _ in range(40):
        now += 0.1
        gate.adjust_cutoff(now)
    assert gate.status(now).cutoff == pytest.approx(3.0)


def test_long_wait_of_a_child_call_lowers_the_cutoff_to_its_minimum():
    """When a child call waits too long, the cutoff must fall to its minimum.

    The request that made the child call would miss its deadline. This request
    can have any rank, so all ranks must be cut off.
    """
    gate = make_open_gate(slots=1)
    gate.cutoff.set_rank_count(3)
    gate.admit(make_request('running'), 0.0)
    child_call = make_request('child', is_child_call=True, start_deadline=1.0)
    gate.admit(child_call, 0.0)
    gate.adjust_cutoff(0.3)
    assert gate.status(0.3).cutoff == pytest.approx(3.0)
    now = 0.95
    for _ in range(100):
        now += 0.1
        gate.adjust_cutoff(now)
    assert gate.status(now).cutoff == pytest.approx(MIN_CUTOFF)


@settings(max_examples=60, deadline=None)
@given(
    gaps=st.lists(st.floats(0.0, 0.3), min_size=30, max_size=150),
    turns_cold_at=st.integers(0, 40),
)
def test_cold_server_gets_calls_within_its_rate_limit(
    gaps: list[float], turns_cold_at: int
):
    """A cold backend server must not get more than MAX_COLD_CALLS per second.

    The bound must hold for any sequence of arrivals, from the first heartbeat
    that reports a cold start. A burst would overload the backend server.
    """
    gate = make_open_gate(slots=1000)
    now = 0.0
    starts = []
    for number, gap in enumerate(gaps):
        now += gap
        if number >= turns_cold_at:
            gate.record_heartbeat(
                make_heartbeat(sequence=number + 2, cold_for=9.0), now
            )
        decision = gate.admit(
            make_request(number, start_deadline=now + 0.4), now
        )
        started = [request.key for request in gate.tick(now).started]
        if decision is AdmissionDecision.STARTED:
            started.append(number)
        if number > turns_cold_at:
            starts.extend([now] * len(started))
    for start in starts:
        window = [other for other in starts if start <= other < start + 1.0]
        assert len(window) <= MAX_COLD_CALLS
