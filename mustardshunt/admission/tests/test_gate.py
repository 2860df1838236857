"""Decisions of the gate, one by one."""

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
    announce,
    answer,
    fail,
    make_call,
    warm_up,
)
from mustardshunt.base import Effect, Importance, ParameterError, Reason


def reasons(actions):
    return [
        (action.call_id.number, action.refusal.reason)
        for action in actions
        if isinstance(action, RefuseCall)
    ]


def starts(actions):
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


def test_unannounced_backend_server_gets_nothing():
    """Guards against calls to a backend server that is not up yet."""
    gate = make_gate(GateSettings())
    actions = gate.handle(make_call(1), 0.0)
    assert reasons(actions) == [(1, Reason.NOT_READY)]
    assert actions[0].refusal.effect is Effect.NOT_RUN


def test_cold_start_is_capped_at_two():
    """Guards against full load on a backend server that just announced."""
    gate = make_gate(GateSettings())
    announce(gate)
    started = [gate.try_start(make_call(n), 0.0) for n in range(3)]
    assert started == [True, True, False]


def test_cap_at_most_doubles_each_second():
    """Guards against a ramp that quick answers lift at once."""
    gate = make_gate(GateSettings(max_limit=500, initial_limit=500))
    announce(gate)
    for number in range(100):
        gate.handle(make_call(number), 0.1)
        answer(gate, number, 0.1)
    assert gate.snapshot().limit == 4


@pytest.mark.parametrize(
    'state', [BackendServerState.DRAINING, BackendServerState.GONE]
)
def test_departing_backend_server_gets_no_queued_call(state):
    """Guards against work for a backend server that departs."""
    gate, now = make_full_gate()
    gate.handle(make_call(9), now)
    refused = reasons(announce(gate, now, state))
    assert [number for number, _ in refused] == [9]
    assert not starts(answer(gate, 1, now))


def test_new_start_id_caps_again():
    """Guards against a restart that is taken for a warm server."""
    gate, now = make_full_gate()
    announce(gate, now, start_id='s2')
    assert gate.snapshot().limit == 2


def test_repeated_heartbeat_does_not_restart_the_ramp():
    """Guards against a server that says cold for long and never ramps."""
    gate = make_gate(GateSettings())
    for second in range(6):
        announce(gate, second, BackendServerState.COLD)
        for number in range(20):
            gate.handle(make_call(number), second)
            answer(gate, number, second)
    assert not gate.snapshot().is_ramping


def test_connections_reset_together_cap_again():
    """Guards against full load on a server that crashed unannounced."""
    gate, now = make_full_gate()
    for number in (1, 2):
        fail(gate, number, now, CallFailureKind.CONNECTION_LOST)
    assert gate.snapshot().is_ramping


def test_critical_call_displaces_newest_of_longest():
    """Guards against displacing the organisation that sends little."""
    gate, now = make_full_gate()
    for number, name in enumerate('bcbcbcbb', start=10):
        gate.handle(make_call(number, name), now)
    critical = make_call(99, importance=Importance.CRITICAL)
    assert reasons(gate.handle(critical, now)) == [(17, Reason.OVERLOADED)]
    assert starts(answer(gate, 1, now)) == [99]


def test_critical_call_waits_while_lower_ones_run():
    """Guards against refusing an order while a read is being served."""
    gate, now = make_full_gate()
    for number in range(10, 40):
        call = make_call(number, importance=Importance.CRITICAL)
        assert not reasons(gate.handle(call, now))
    for number in range(1, 5):
        assert starts(answer(gate, number, now))
    call = make_call(50, importance=Importance.CRITICAL)
    assert not reasons(gate.handle(call, now))
    call = make_call(51, importance=Importance.CRITICAL, end=now + 0.2)
    assert reasons(gate.handle(call, now)) == [(51, Reason.OVERLOADED)]
    call = make_call(52, importance=Importance.HIGH)
    assert reasons(gate.handle(call, now)) == [(52, Reason.OVERLOADED)]


def test_full_queue_makes_room_for_who_sends_little():
    """Guards against an organisation that fills the queue for all."""
    gate, now = make_full_gate()
    for number in range(10, 18):
        gate.handle(make_call(number, 'b'), now)
    assert reasons(gate.handle(make_call(20, 'c'), now))[0][0] == 17
    assert reasons(gate.handle(make_call(21, 'b'), now))[0][0] == 21


def test_hopeless_wait_is_refused_at_once():
    """Guards against queueing a call that cannot be answered in time."""
    gate, now = make_full_gate()
    call = make_call(10, end=now + 0.05)
    assert reasons(gate.handle(call, now)) == [(10, Reason.OVERLOADED)]


def test_expired_call_is_dropped():
    """Guards against starting a call that nobody waits for."""
    gate, now = make_full_gate()
    gate.handle(make_call(10, end=now + 1), now)
    actions = gate.handle(Tick(), now + 2)
    assert reasons(actions) == [(10, Reason.DEADLINE_EXCEEDED)]


def test_cancelled_call_is_never_started():
    """Guards against running a queued call whose sender has left."""
    gate, now = make_full_gate()
    call = make_call(10)
    gate.handle(call, now)
    actions = gate.handle(CallCancelled(call.call_id), now)
    assert reasons(actions) == [(10, Reason.CANCELLED)]
    assert not starts(answer(gate, 1, now))


def test_timeout_of_child_call_does_not_cut_the_limit():
    """Guards against shrinking a service because a deeper one is slow."""
    gate, now = make_full_gate()
    fail(gate, 1, now, CallFailureKind.CANCELLED)
    assert gate.snapshot().learned_limit == 4
    fail(gate, 2, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2
    fail(gate, 3, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2


def test_level_rises_past_what_is_never_started_and_holds():
    """Guards against a level that swings with each queued call."""
    gate, now = make_full_gate()
    levels = []
    number = 100
    running = [1, 2, 3, 4]
    for step in range(400):
        now += 0.025
        for importance in (Importance.LOW, Importance.HIGH, Importance.HIGH):
            number += 1
            call = make_call(number, importance=importance, end=now + 0.4)
            running += starts(gate.handle(call, now))
        running += starts(answer(gate, running.pop(0), now))
        levels.append(gate.snapshot().shedding_threshold)
        assert step < 40 or levels[-1] is Importance.NORMAL
    for _ in range(40):
        now += 0.1
        while running:
            running += starts(answer(gate, running.pop(0), now))
        gate.handle(Tick(), now)
    assert gate.snapshot().shedding_threshold is Importance.LOW


def test_level_changes_seldom_under_bursts():
    """Guards against routers that open and close with each burst."""
    gate, now = make_full_gate()
    levels = [Importance.LOW]
    running = [1, 2, 3, 4]
    for number in range(100, 4100):
        now += 0.005
        importance = Importance(number % 2)
        # calls below the level do not come; bursts of 1 s, pauses of 1 s
        if importance >= levels[-1] and int(now) % 2:
            call = make_call(number, importance=importance, end=now + 0.4)
            running += starts(gate.handle(call, now))
        if running and number % 5 == 0:
            running += starts(answer(gate, running.pop(0), now))
        gate.handle(Tick(), now)
        levels.append(gate.snapshot().shedding_threshold)
    changes = sum(a != b for a, b in itertools.pairwise(levels))
    assert 1 <= changes <= 6


def test_parameter_error_names_the_parameter():
    """Guards against settings that silently admit nothing."""
    with pytest.raises(ParameterError, match='max_limit is 0'):
        make_gate(GateSettings(max_limit=0))


def test_wait_estimate_follows_the_fair_order():
    """Guards against refusing who sends little for the others' queue."""
    gate, now = make_full_gate()
    for number in range(10, 16):
        gate.handle(make_call(number, 'b'), now)
    late = {'end': now + 0.2}
    assert reasons(gate.handle(make_call(20, 'b', **late), now))
    assert not reasons(gate.handle(make_call(21, 'c', **late), now))
