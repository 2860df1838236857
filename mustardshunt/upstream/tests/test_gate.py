"""Admission to one backend server."""

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
# The rule: cold_per_s x cold_overage + cold_slack in any second.
COLD_BOUND = 10 * 1.5 + 5


def make_report(**changes: object) -> Heartbeat:
    report = Heartbeat('i-1', 100, 1, ServerPhase.READY, 4, 0.0)
    return dataclasses.replace(report, **changes)


def make_ticket(key: object, **changes: object) -> AdmissionRequest:
    ticket = AdmissionRequest(key, 0, False, 'o', 100.0)
    return dataclasses.replace(ticket, **changes)


def make_open_gate(**changes: object) -> BackendGate:
    gate = make_backend_gate(1.0)
    gate.set_service(ServicePolicy('s', '/', 100, 3.0, COLD_RATE))
    gate.record_heartbeat(make_report(**changes), 0.0)
    return gate


def test_draining_server_gets_no_call_from_its_report_on():
    gate = make_open_gate()
    gate.record_heartbeat(
        make_report(sequence=2, phase=ServerPhase.DRAINING), 1.0
    )
    assert gate.admit(make_ticket('a'), 1.0) is Reason.DRAINING


def test_leaving_server_gets_no_call_and_late_reports_change_nothing():
    gate = make_open_gate()
    gate.liveness.deregister('i-1')
    assert not gate.record_heartbeat(make_report(sequence=9), 1.0)
    assert gate.admit(make_ticket('a'), 1.0) is Reason.NOT_READY


def test_late_report_of_a_former_run_is_ignored():
    gate = make_open_gate(instance='i-2', started_at=200)
    assert not gate.record_heartbeat(make_report(sequence=50), 1.0)
    assert gate.instance == 'i-2'


def test_run_that_starts_again_under_its_id_counts_anew():
    gate = make_open_gate(sequence=50)
    assert gate.record_heartbeat(make_report(started_at=300, sequence=1), 1.0)
    assert not gate.record_heartbeat(make_report(sequence=51), 1.1)


def test_silent_server_counts_as_gone():
    gate = make_open_gate()
    gate.tick(3.9)
    assert gate.liveness.phase is ServerPhase.READY
    gate.tick(4.1)
    assert gate.liveness.phase is ServerPhase.GONE


def test_evacuation_turns_waiting_calls_away():
    gate = make_open_gate(slots=1)
    assert gate.admit(make_ticket('a'), 0.0) is AdmissionDecision.STARTED
    assert gate.admit(make_ticket('b'), 0.0) is AdmissionDecision.QUEUED
    change = gate.set_evacuated(True, 0.1)
    assert [turned.reason for turned in change.refused] == [Reason.DRAINING]
    assert gate.admit(make_ticket('c'), 0.2) is Reason.DRAINING


def test_server_counts_as_cold_when_its_zone_comes_back():
    gate = make_open_gate()
    gate.set_evacuated(True, 1.0)
    gate.set_evacuated(False, 5.0)
    assert gate.is_cold(5.1)
    gate.record_heartbeat(make_report(sequence=2), 5.5)
    assert not gate.is_cold(5.6)


def test_cold_server_gets_nothing_while_its_bound_is_unknown():
    """Guards the cold rate at a node that starts in an outage."""
    gate = make_backend_gate(1.0)
    gate.record_heartbeat(make_report(cold_for=3.0), 0.0)
    late = make_ticket('a', start_deadline=0.0)
    assert gate.admit(late, 0.1) is Reason.OVERLOADED
    assert gate.admit(late, 3.1) is AdmissionDecision.STARTED


def test_important_and_continued_calls_go_first():
    gate = make_open_gate(slots=1)
    gate.admit(make_ticket('running'), 0.0)
    gate.admit(make_ticket('read', priority_rank=2), 0.0)
    gate.admit(make_ticket('order', priority_rank=0), 0.0)
    gate.admit(make_ticket('child', priority_rank=2, is_child_call=True), 0.0)
    order = []
    running: object = 'running'
    while running is not None:
        started = gate.release(running, 0.1).started
        running = started[0].key if started else None
        order.append(running)
    assert order == ['child', 'order', 'read', None]


def test_organisations_take_turns():
    gate = make_open_gate(slots=1)
    gate.admit(make_ticket('running'), 0.0)
    for number in range(3):
        gate.admit(make_ticket(number, organisation='large'), 0.0)
    gate.admit(make_ticket('small', organisation='small'), 0.0)
    gate.release('running', 0.1)
    assert gate.release(0, 0.1).started[0].key == 'small'


def test_call_that_waits_too_long_is_turned_away():
    gate = make_open_gate(slots=1)
    gate.admit(make_ticket('a'), 0.0)
    gate.admit(make_ticket('b', start_deadline=0.5), 0.0)
    assert not gate.tick(0.4).refused
    assert [turned.request.key for turned in gate.tick(0.6).refused] == ['b']
    assert not gate.release('a', 0.7).started


def test_cancelled_call_does_not_start():
    gate = make_open_gate(slots=1)
    gate.admit(make_ticket('a'), 0.0)
    gate.admit(make_ticket('b'), 0.0)
    gate.release('b', 0.1)
    assert not gate.release('a', 0.2).started


def test_refused_call_takes_only_lower_ranks_out():
    """Guards against idle slots: the queue sheds within a rank by itself."""
    gate = make_open_gate(slots=1)
    gate.cutoff.set_rank_count(3)
    now = 0.0
    for tick in range(200):
        now += 0.1
        gate.admit(make_ticket(tick, priority_rank=1, start_deadline=0.0), now)
        gate.adjust_cutoff(now)
    assert gate.status(now).cutoff == pytest.approx(2.0)
    gate.release(0, now)
    for _ in range(40):
        now += 0.1
        gate.adjust_cutoff(now)
    assert gate.status(now).cutoff == pytest.approx(3.0)


def test_continuations_that_wait_long_take_any_rank_out():
    gate = make_open_gate(slots=1)
    gate.cutoff.set_rank_count(3)
    gate.admit(make_ticket('running'), 0.0)
    late = make_ticket('child', is_child_call=True, start_deadline=1.0)
    gate.admit(late, 0.0)
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
def test_cold_server_gets_no_more_than_the_bound(
    gaps: list[float], turns_cold_at: int
):
    """Any order of arrivals, from the moment that it says it is cold."""
    gate = make_open_gate(slots=1000)
    now = 0.0
    starts = []
    for number, gap in enumerate(gaps):
        now += gap
        if number >= turns_cold_at:
            gate.record_heartbeat(
                make_report(sequence=number + 2, cold_for=9.0), now
            )
        verdict = gate.admit(make_ticket(number, start_deadline=now + 0.4), now)
        started = [ticket.key for ticket in gate.tick(now).started]
        if verdict is AdmissionDecision.STARTED:
            started.append(number)
        if number > turns_cold_at:
            starts.extend([now] * len(started))
    for start in starts:
        window = [other for other in starts if start <= other < start + 1.0]
        assert len(window) <= COLD_BOUND
