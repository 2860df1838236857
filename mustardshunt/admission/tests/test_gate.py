"""Tests of single decisions of the gate."""

import itertools

import pytest

from mustardshunt.admission import (
    BackendServerState,
    CallCancelled,
    CallFailureKind,
    GateSettings,
    RefuseCall,
    StartCall,
    Tick,
    make_gate,
)
from mustardshunt.admission.tests.processor_sharing import (
    answer,
    fail,
    make_call,
    send_heartbeat,
    warm_up,
)
from mustardshunt.base import Effect, Importance, ParameterError, Reason


def list_refusals(actions):
    return [
        (action.call_id.number, action.refusal.reason)
        for action in actions
        if isinstance(action, RefuseCall)
    ]


def list_starts(actions):
    return [
        action.call_id.number
        for action in actions
        if isinstance(action, StartCall)
    ]


def make_full_gate(limit=4):
    gate = make_gate(GateSettings(max_limit=limit, initial_limit=limit))
    now = warm_up(gate)
    for number in range(1, limit + 1):
        assert gate.try_start(make_call(number), now)
    return gate, now


def test_call_before_first_heartbeat_is_refused():
    """Guards against calls to a backend server that has not started yet."""
    gate = make_gate(GateSettings())
    actions = gate.handle(make_call(1), 0.0)
    assert list_refusals(actions) == [(1, Reason.NOT_READY)]
    assert actions[0].refusal.effect is Effect.NOT_RUN


def test_cold_start_is_capped_at_two():
    """Guards against full load on a backend server that has just started."""
    gate = make_gate(GateSettings())
    send_heartbeat(gate)
    started = [gate.try_start(make_call(n), 0.0) for n in range(3)]
    assert started == [True, True, False]


def test_cap_at_most_doubles_each_second():
    """Guards against a cold-start ramp that ends after many quick answers."""
    gate = make_gate(GateSettings(max_limit=500, initial_limit=500))
    send_heartbeat(gate)
    for number in range(100):
        gate.handle(make_call(number), 0.1)
        answer(gate, number, 0.1)
    assert gate.snapshot().limit == 4


@pytest.mark.parametrize(
    'state', [BackendServerState.DRAINING, BackendServerState.GONE]
)
def test_queued_call_is_refused_when_backend_server_stops(state):
    """Guards against calls to a backend server that drains or is gone."""
    gate, now = make_full_gate()
    gate.handle(make_call(9), now)
    refused = list_refusals(send_heartbeat(gate, now, state))
    assert [number for number, _ in refused] == [9]
    assert not list_starts(answer(gate, 1, now))


def test_new_start_id_restarts_the_ramp():
    """Guards against full load on a backend server that has restarted.

    After a restart between two heartbeats, only the start identifier differs.
    """
    gate, now = make_full_gate()
    send_heartbeat(gate, now, start_id='s2')
    assert gate.snapshot().limit == 2


def test_repeated_heartbeat_does_not_restart_the_ramp():
    """Guards against a cold-start ramp that never ends.

    The ramp must not start again with each heartbeat that reports a cold start.
    """
    gate = make_gate(GateSettings())
    for second in range(6):
        send_heartbeat(gate, second, BackendServerState.COLD)
        for number in range(20):
            gate.handle(make_call(number), second)
            answer(gate, number, second)
    assert not gate.snapshot().is_ramping


def test_connections_lost_together_restart_the_ramp():
    """Guards against full load after a crash that no heartbeat reported."""
    gate, now = make_full_gate()
    for number in (1, 2):
        fail(gate, number, now, CallFailureKind.CONNECTION_LOST)
    assert gate.snapshot().is_ramping


def test_critical_call_displaces_newest_call_of_largest_backlog():
    """Guards against displacing calls of an organisation with few calls."""
    gate, now = make_full_gate()
    for number, name in enumerate('bcbcbcbb', start=10):
        gate.handle(make_call(number, name), now)
    critical = make_call(99, importance=Importance.CRITICAL)
    assert list_refusals(gate.handle(critical, now)) == [
        (17, Reason.OVERLOADED)
    ]
    assert list_starts(answer(gate, 1, now)) == [99]


def test_critical_call_waits_while_less_important_calls_run():
    """Guards against refusing a critical call while other calls run."""
    gate, now = make_full_gate()
    for number in range(10, 40):
        call = make_call(number, importance=Importance.CRITICAL)
        assert not list_refusals(gate.handle(call, now))
    for number in range(1, 5):
        assert list_starts(answer(gate, number, now))
    call = make_call(50, importance=Importance.CRITICAL)
    assert not list_refusals(gate.handle(call, now))
    call = make_call(51, importance=Importance.CRITICAL, deadline=now + 0.2)
    assert list_refusals(gate.handle(call, now)) == [(51, Reason.OVERLOADED)]
    call = make_call(52, importance=Importance.HIGH)
    assert list_refusals(gate.handle(call, now)) == [(52, Reason.OVERLOADED)]


def test_full_queue_displaces_call_of_largest_backlog():
    """Guards against one organisation that fills the queue for all others."""
    gate, now = make_full_gate()
    for number in range(10, 18):
        gate.handle(make_call(number, 'b'), now)
    assert list_refusals(gate.handle(make_call(20, 'c'), now))[0][0] == 17
    assert list_refusals(gate.handle(make_call(21, 'b'), now))[0][0] == 21


def test_call_that_would_miss_its_deadline_is_refused_at_once():
    """Guards against queueing a call that cannot be answered in time."""
    gate, now = make_full_gate()
    call = make_call(10, deadline=now + 0.05)
    assert list_refusals(gate.handle(call, now)) == [(10, Reason.OVERLOADED)]


def test_queued_call_is_refused_after_its_deadline():
    """Guards against starting a call whose caller no longer waits."""
    gate, now = make_full_gate()
    gate.handle(make_call(10, deadline=now + 1), now)
    actions = gate.handle(Tick(), now + 2)
    assert list_refusals(actions) == [(10, Reason.DEADLINE_EXCEEDED)]


def test_cancelled_call_is_never_started():
    """Guards against running a queued call whose sender cancelled it."""
    gate, now = make_full_gate()
    call = make_call(10)
    gate.handle(call, now)
    actions = gate.handle(CallCancelled(call.call_id), now)
    assert list_refusals(actions) == [(10, Reason.CANCELLED)]
    assert not list_starts(answer(gate, 1, now))


def test_limit_is_halved_once_per_self_time_and_not_by_cancellation():
    """Guards against a concurrency limit that falls too far.

    A cancelled call must not lower the limit. Failures that follow each other
    within the usual time of a call have the same cause, so together they must
    halve the limit only once.
    """
    gate, now = make_full_gate()
    fail(gate, 1, now, CallFailureKind.CANCELLED)
    assert gate.snapshot().learned_limit == 4
    fail(gate, 2, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2
    fail(gate, 3, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2


def test_threshold_rises_above_refused_importance_and_holds():
    """Guards against a shedding threshold that oscillates with each call."""
    gate, now = make_full_gate()
    thresholds = []
    number = 100
    running = [1, 2, 3, 4]
    for step in range(400):
        now += 0.025
        for importance in (Importance.LOW, Importance.HIGH, Importance.HIGH):
            number += 1
            call = make_call(number, importance=importance, deadline=now + 0.4)
            running += list_starts(gate.handle(call, now))
        running += list_starts(answer(gate, running.pop(0), now))
        thresholds.append(gate.snapshot().shedding_threshold)
        assert step < 40 or thresholds[-1] is Importance.NORMAL
    for _ in range(40):
        now += 0.1
        while running:
            running += list_starts(answer(gate, running.pop(0), now))
        gate.handle(Tick(), now)
    assert gate.snapshot().shedding_threshold is Importance.LOW


def test_threshold_changes_rarely_under_bursts():
    """Guards against a shedding threshold that changes with each burst."""
    gate, now = make_full_gate()
    thresholds = [Importance.LOW]
    running = [1, 2, 3, 4]
    for number in range(100, 4100):
        now += 0.005
        importance = Importance(number % 2)
        # Bursts of 1 s alternate with pauses of 1 s. Callers do not send calls
        # whose importance is below the shedding threshold.
        if importance >= thresholds[-1] and int(now) % 2:
            call = make_call(number, importance=importance, deadline=now + 0.4)
            running += list_starts(gate.handle(call, now))
        if running and number % 5 == 0:
            running += list_starts(answer(gate, running.pop(0), now))
        gate.handle(Tick(), now)
        thresholds.append(gate.snapshot().shedding_threshold)
    changes = sum(a != b for a, b in itertools.pairwise(thresholds))
    assert 1 <= changes <= 6


def test_parameter_error_names_the_parameter():
    """Guards against a setting that makes the gate refuse all calls."""
    with pytest.raises(ParameterError, match='max_limit is 0'):
        make_gate(GateSettings(max_limit=0))


def test_wait_estimate_counts_fair_share_of_other_organisations():
    """Guards against an estimate of the wait that is too long.

    Only part of another organisation's queued calls is served before a new
    call, since the queue serves organisations in turn.
    """
    gate, now = make_full_gate()
    for number in range(10, 16):
        gate.handle(make_call(number, 'b'), now)
    short_deadline = {'deadline': now + 0.2}
    assert list_refusals(gate.handle(make_call(20, 'b', **short_deadline), now))
    assert not list_refusals(
        gate.handle(make_call(21, 'c', **short_deadline), now)
    )
