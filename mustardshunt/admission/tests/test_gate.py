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
    """A backend server must get no calls before its first heartbeat.

    Before that, the backend server may not have started, and a call would fail.
    """
    gate = make_gate(GateSettings())
    actions = gate.handle(make_call(1), 0.0)
    assert list_refusals(actions) == [(1, Reason.NOT_READY)]
    assert actions[0].refusal.effect is Effect.NOT_RUN


def test_cold_start_is_capped_at_two():
    """A backend server that has just started must get at most 2 calls at once.

    Full load would overload a cold backend server.
    """
    gate = make_gate(GateSettings())
    send_heartbeat(gate)
    started = [gate.try_start(make_call(n), 0.0) for n in range(3)]
    assert started == [True, True, False]


def test_cap_at_most_doubles_each_second():
    """Many quick answers must not end the cold-start ramp at once.

    The cap may at most double each second, so that the backend server can warm
    up.
    """
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
    """A backend server that drains or is gone must get no queued calls.

    The gate must refuse the queued calls instead.
    """
    gate, now = make_full_gate()
    gate.handle(make_call(9), now)
    refused = list_refusals(send_heartbeat(gate, now, state))
    assert [number for number, _ in refused] == [9]
    assert not list_starts(answer(gate, 1, now))


def test_new_start_id_restarts_the_ramp():
    """A restart of the backend server must start a new cold-start ramp.

    When the restart happens between two heartbeats, only the start identifier
    shows it. Without a new ramp, the cold backend server would get full load.
    """
    gate, now = make_full_gate()
    send_heartbeat(gate, now, start_id='s2')
    assert gate.snapshot().limit == 2


def test_repeated_heartbeat_does_not_restart_the_ramp():
    """Repeated heartbeats that report a cold start must not restart the ramp.

    Otherwise the ramp would never end, and the cap would stay low.
    """
    gate = make_gate(GateSettings())
    for second in range(6):
        send_heartbeat(gate, second, BackendServerState.COLD)
        for number in range(20):
            gate.handle(make_call(number), second)
            answer(gate, number, second)
    assert not gate.snapshot().is_ramping


def test_connections_lost_together_restart_the_ramp():
    """Connections lost together must start a new cold-start ramp.

    They are the sign of a crash that no heartbeat has reported. Without a ramp,
    the backend server would get full load right after its restart.
    """
    gate, now = make_full_gate()
    for number in (1, 2):
        fail(gate, number, now, CallFailureKind.CONNECTION_LOST)
    assert gate.snapshot().is_ramping


def test_critical_call_displaces_newest_call_of_largest_backlog():
    """A critical call must displace a call of the largest backlog.

    Organisations with few queued calls must not lose any of them.
    """
    gate, now = make_full_gate()
    for number, name in enumerate('bcbcbcbb', start=10):
        gate.handle(make_call(number, name), now)
    critical = make_call(99, importance=Importance.CRITICAL)
    assert list_refusals(gate.handle(critical, now)) == [
        (17, Reason.OVERLOADED)
    ]
    assert list_starts(answer(gate, 1, now)) == [99]


def test_critical_call_waits_while_less_important_calls_run():
    """No critical call may be refused while less important calls run.

    Once only critical calls run, a call that would miss its deadline is
    refused.
    """
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
    """One organisation must not fill the queue for all others.

    When the queue is full of calls of one organisation, a call of another
    organisation must displace the newest of them. A further call of the first
    organisation must be refused.
    """
    gate, now = make_full_gate()
    for number in range(10, 18):
        gate.handle(make_call(number, 'b'), now)
    assert list_refusals(gate.handle(make_call(20, 'c'), now))[0][0] == 17
    assert list_refusals(gate.handle(make_call(21, 'b'), now))[0][0] == 21


def test_call_that_would_miss_its_deadline_is_refused_at_once():
    """A call that cannot be answered in time must be refused, not queued.

    The caller can then react at once, and the queue stays free for other calls.
    """
    gate, now = make_full_gate()
    call = make_call(10, deadline=now + 0.05)
    assert list_refusals(gate.handle(call, now)) == [(10, Reason.OVERLOADED)]


def test_queued_call_is_refused_after_its_deadline():
    """A queued call must not start after its deadline.

    The caller no longer waits, so the answer would be useless.
    """
    gate, now = make_full_gate()
    gate.handle(make_call(10, deadline=now + 1), now)
    actions = gate.handle(Tick(), now + 2)
    assert list_refusals(actions) == [(10, Reason.DEADLINE_EXCEEDED)]


def test_cancelled_call_is_never_started():
    """A queued call must not start after its sender has cancelled it.

    Nobody waits for the answer, so the call would only add load.
    """
    gate, now = make_full_gate()
    call = make_call(10)
    gate.handle(call, now)
    actions = gate.handle(CallCancelled(call.call_id), now)
    assert list_refusals(actions) == [(10, Reason.CANCELLED)]
    assert not list_starts(answer(gate, 1, now))


def test_limit_is_halved_once_per_self_time_and_not_by_cancellation():
    """Failures with the same cause must halve the concurrency limit only once.

    Failures that follow each other within the usual time of a call have the
    same cause. A cancelled call must not lower the limit at all. Otherwise the
    limit would fall too far.
    """
    gate, now = make_full_gate()
    fail(gate, 1, now, CallFailureKind.CANCELLED)
    assert gate.snapshot().learned_limit == 4
    fail(gate, 2, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2
    fail(gate, 3, now, CallFailureKind.SHED)
    assert gate.snapshot().learned_limit == 2


def test_threshold_rises_above_refused_importance_and_holds():
    """The threshold must stay above the refused importance under steady load.

    The threshold must not oscillate with each call. When the load ends, the
    threshold must fall again.
    """
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
    """The shedding threshold must not change with each burst of calls.

    Otherwise callers would alternate between sending and holding back calls.
    """
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
    """A setting that makes the gate refuse all calls must be rejected.

    The error must name the setting.
    """
    with pytest.raises(ParameterError, match='max_limit is 0'):
        make_gate(GateSettings(max_limit=0))


def test_wait_estimate_counts_fair_share_of_other_organisations():
    """The estimated wait must not count all calls of other organisations.

    The queue serves organisations in turn, so only some queued calls of another
    organisation go before a new call. An estimate that counts all of them would
    refuse calls that can meet their deadline.
    """
    gate, now = make_full_gate()
    for number in range(10, 16):
        gate.handle(make_call(number, 'b'), now)
    short_deadline = {'deadline': now + 0.2}
    assert list_refusals(gate.handle(make_call(20, 'b', **short_deadline), now))
    assert not list_refusals(
        gate.handle(make_call(21, 'c', **short_deadline), now)
    )
