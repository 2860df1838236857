"""Guards the choice of members and the rules for retries."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from mustardshunt.base import (
    Effect,
    Importance,
    Incarnation,
    MemberRecord,
    MemberState,
    Reason,
    Refusal,
    VmAddress,
)
from mustardshunt.routing import (
    CallEnded,
    CallStarted,
    EvacuatedDataCentresChanged,
    FailedAttempt,
    MemberReachable,
    MemberUnreachable,
    MemberUpdated,
    RetryRule,
    RoutingRequest,
    Target,
    make_router,
)

CALL = RoutingRequest('stock', Importance.NORMAL)
PLACE_BY_NAME = {'own': 'dc1', 'near1': 'dc1', 'near2': 'dc1', 'far': 'dc2'}


def record(name, state=MemberState.READY, sequence=1):
    address = VmAddress('127.0.0.1', 7000)
    place = PLACE_BY_NAME[name]
    return MemberRecord(
        Incarnation(name), sequence, place, 'stock', state, address
    )


def make(*names, now=-100.0):
    router = make_router(Incarnation('own'), 'dc1')
    for name in names:
        router.handle(MemberUpdated(record(name)), now)
    return router


def count(router, now, calls=400, call=CALL, *, busy=False):
    source = random.Random(5)
    chosen = Counter()
    for _ in range(calls):
        target = router.choose(call, now, source)
        if not isinstance(target, Target):
            return target.reason
        chosen[target.incarnation] += 1
        if busy:
            router.handle(CallStarted(target.incarnation), now)
    return chosen


def test_own_then_near_then_far_is_preferred():
    # A call must not take a longer way than it needs.
    router = make(*PLACE_BY_NAME)
    assert set(count(router, 0.0)) == {'own'}
    router.handle(MemberUpdated(record('own', MemberState.DRAINING, 2)), 0.0)
    assert set(count(router, 0.0)) == {'near1', 'near2'}
    call = replace(
        CALL,
        excluded=frozenset((
            'near1',
            'near2',
        )),
    )
    assert set(count(router, 0.0, call=call)) == {'far'}


def test_calls_spread_by_what_is_in_flight():
    # A slow member must not collect calls.
    router = make('near1', 'near2')
    for _ in range(50):
        router.handle(CallStarted(Incarnation('near1')), 0.0)
    chosen = count(router, 0.0, calls=50, busy=True)
    assert chosen['near2'] == 50


def test_returned_member_gets_a_rising_part():
    # A rush on a returned member makes it fail again.
    router = make('near1', 'near2')
    router.handle(MemberUnreachable(Incarnation('near1')), 0.0)
    assert set(count(router, 5.0)) == {'near2'}
    router.handle(MemberReachable(Incarnation('near1')), 10.0)
    parts = [count(router, now)['near1'] for now in (10.0, 15.0, 20.0)]
    assert parts[0] < 30
    assert parts == sorted(parts)
    assert parts[2] > 150


def test_cold_member_gets_little():
    # A backend server in cold start must not get a full share.
    router = make('near1', 'near2')
    router.handle(MemberUpdated(record('near1', MemberState.COLD, 2)), 0.0)
    assert 0 < count(router, 50.0)['near1'] < 100


def test_suspect_member_is_the_last_resort():
    # The suspicion may be wrong when nobody else is left.
    router = make('near1', 'far')
    router.handle(MemberUpdated(record('near1', MemberState.SUSPECT, 2)), 0.0)
    assert set(count(router, 0.0)) == {'far'}
    router.handle(MemberUnreachable(Incarnation('far')), 0.0)
    assert set(count(router, 0.0)) == {'near1'}


def test_member_of_a_data_centre_that_is_out_is_never_chosen():
    # Operators rely on no new work there, whatever the load elsewhere.
    router = make('near1', 'far')
    router.handle(EvacuatedDataCentresChanged(frozenset(('dc1',))), 0.0)
    assert set(count(router, 0.0)) == {'far'}
    router.handle(MemberUnreachable(Incarnation('far')), 0.0)
    assert count(router, 0.0) is Reason.NO_BACKEND_SERVER


def test_call_below_all_levels_is_refused_but_a_probe_passes():
    # Shedding at the first hop is cheapest; a stale level must not last.
    router = make('near1', 'near2')
    source = random.Random(5)
    for name in ('near1', 'near2'):
        router.handle(CallEnded(Incarnation(name), shedding_threshold=2), 0.0)
    first = router.choose(CALL, 0.1, source)
    assert first.is_probe
    assert isinstance(router.choose(CALL, 0.2, source), Refusal)
    high = replace(CALL, importance=Importance.HIGH)
    assert not router.choose(high, 0.2, source).is_probe
    assert router.choose(CALL, 0.7, source).is_probe
    assert not router.choose(CALL, 1.1, source).is_probe


def test_refusing_member_is_left_alone_for_a_moment():
    # Calls must not go on to a member that just refused one.
    router = make('near1', 'near2')
    refused = CallEnded(Incarnation('near1'), refusal=Reason.OVERLOADED)
    router.handle(refused, 0.0)
    assert set(count(router, 0.1)) == {'near2'}
    assert set(count(router, 0.3)) == {'near1', 'near2'}


def test_old_record_changes_nothing():
    # A record that was overtaken must not bring a drained member back.
    router = make('near1', 'near2')
    router.handle(MemberUpdated(record('near1', MemberState.DRAINING, 3)), 0.0)
    router.handle(MemberUpdated(record('near1', MemberState.READY, 2)), 0.0)
    assert set(count(router, 0.0)) == {'near2'}


ATTEMPT = FailedAttempt(
    replace(CALL, excluded=frozenset(('near1',))),
    Reason.BACKEND_SERVER_LOST,
    Effect.UNKNOWN,
    idempotent=True,
    retries_left=1,
    is_within_retry_ratio=True,
    failed_deeper=False,
    deadline=9.0,
)
NOT_RUN = {'effect': Effect.NOT_RUN, 'idempotent': False}
DRAINING = NOT_RUN | {'reason': Reason.DRAINING, 'retries_left': 0}
BOTH = frozenset((
    'near1',
    'near2',
))


@pytest.mark.parametrize(
    ('change', 'rule'),
    [
        ({}, RetryRule.RETRY),
        ({'idempotent': False}, RetryRule.MAY_HAVE_RUN),
        (NOT_RUN, RetryRule.RETRY),
        (DRAINING, RetryRule.REROUTE),
        ({'reason': Reason.TOO_DEEP}, RetryRule.NOT_RETRIABLE),
        ({'failed_deeper': True}, RetryRule.FAILED_DEEPER),
        ({'retries_left': 0}, RetryRule.NO_BUDGET),
        ({'is_within_retry_ratio': False}, RetryRule.NO_RATIO),
        ({'deadline': 0.0}, RetryRule.TOO_LATE),
        ({'call': replace(CALL, excluded=BOTH)}, RetryRule.NO_OTHER_MEMBER),
    ],
)
def test_retry_rules(change, rule):
    # Retries must neither multiply load nor run an order twice.
    router = make('near1', 'near2')
    verdict = router.decide_retry(replace(ATTEMPT, **change), 0.0)
    assert verdict.rule is rule
    assert verdict.spends_budget == (rule is RetryRule.RETRY)


def test_no_retry_against_the_same_overload():
    # When all members refuse, a retry only adds load.
    router = make('near1', 'near2')
    router.handle(CallEnded(Incarnation('near2'), shedding_threshold=2), 0.0)
    attempt = replace(ATTEMPT, reason=Reason.OVERLOADED, **NOT_RUN)
    assert not router.decide_retry(attempt, 0.1).is_allowed
    assert router.decide_retry(attempt, 1.5).is_allowed


def test_member_that_falls_silent_gets_no_calls():
    # Guards against a record of the same sequence being taken as old: only
    # the others notice that a member is silent, so its sequence stays.
    router = make('near1', 'near2')
    router.handle(MemberUpdated(record('near1', MemberState.SILENT)), 0.0)
    assert set(count(router, 0.0)) == {'near2'}


def test_level_of_one_route_leaves_the_others_alone():
    # Guards against refusing every route of a service because one of them
    # needs another service that is overloaded.
    router = make('near1')
    ended = CallEnded(Incarnation('near1'), shedding_threshold=3, route='order')
    router.handle(ended, 0.0)
    order = replace(CALL, route='order')
    router.choose(order, 0.0, random.Random(1))
    assert count(router, 0.1, call=order) is Reason.OVERLOADED
    assert count(router, 0.1, call=replace(CALL, route='list'))['near1']
    assert router.find_shedding_threshold('stock', 'order', 0.1) == 3
    assert router.find_shedding_threshold('stock', 'order', 2.0) == 0


def test_full_own_backend_server_is_preferred_no_more():
    # Guards against calls that wait here while a neighbour is idle.
    router = make('own', 'near1')
    assert set(count(router, 0.0)) == {'own'}
    chosen = count(router, 0.0, call=replace(CALL, is_own_full=True))
    assert set(chosen) == {'own', 'near1'}


def test_call_is_refused_early_until_a_probe_is_due():
    # Guards against an early refusal that keeps the probe from renewing an
    # old level, so that a service would stay refused.
    router = make('near1')
    router.handle(CallEnded(Incarnation('near1'), shedding_threshold=3), 0.0)
    assert not router.is_refused_by_all(CALL, 0.1)
    assert router.choose(CALL, 0.1, random.Random(1)).is_probe
    assert router.is_refused_by_all(CALL, 0.2)
    assert not router.is_refused_by_all(CALL, 0.7)
    assert not router.is_refused_by_all(replace(CALL, service='other'), 0.2)
