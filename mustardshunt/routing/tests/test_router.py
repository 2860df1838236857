"""Tests of the choice of members and of the rules for retries."""

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
DATA_CENTRE_BY_NAME = {
    'own': 'dc1',
    'near1': 'dc1',
    'near2': 'dc1',
    'far': 'dc2',
}


def make_record(name, state=MemberState.READY, sequence=1):
    address = VmAddress('127.0.0.1', 7000)
    data_centre = DATA_CENTRE_BY_NAME[name]
    return MemberRecord(
        Incarnation(name), sequence, data_centre, 'stock', state, address
    )


def make_test_router(*names, now=-100.0):
    router = make_router(Incarnation('own'), 'dc1')
    for name in names:
        router.handle(MemberUpdated(make_record(name)), now)
    return router


def count_choices(router, now, calls=400, call=CALL, *, record_starts=False):
    source = random.Random(5)
    chosen = Counter()
    for _ in range(calls):
        target = router.choose(call, now, source)
        if not isinstance(target, Target):
            return target.reason
        chosen[target.incarnation] += 1
        if record_starts:
            router.handle(CallStarted(target.incarnation), now)
    return chosen


def test_own_then_same_data_centre_is_preferred():
    # Calls must go to the nearest available members: first this node's backend
    # server, then the same data centre, then other data centres. Calls to
    # farther members would take longer.
    router = make_test_router(*DATA_CENTRE_BY_NAME)
    assert set(count_choices(router, 0.0)) == {'own'}
    router.handle(
        MemberUpdated(make_record('own', MemberState.DRAINING, 2)), 0.0
    )
    assert set(count_choices(router, 0.0)) == {'near1', 'near2'}
    call = replace(
        CALL,
        excluded=frozenset((
            'near1',
            'near2',
        )),
    )
    assert set(count_choices(router, 0.0, call=call)) == {'far'}


def test_calls_spread_by_calls_in_flight():
    # A slow member collects calls in flight. New calls must go to the member
    # with fewer calls in flight, or the slow member would become overloaded.
    router = make_test_router('near1', 'near2')
    for _ in range(50):
        router.handle(CallStarted(Incarnation('near1')), 0.0)
    chosen = count_choices(router, 0.0, calls=50, record_starts=True)
    assert chosen['near2'] == 50


def test_returned_member_gets_a_rising_share():
    # The share of a member that has just returned must rise slowly. With its
    # full share at once, the member could fail again.
    router = make_test_router('near1', 'near2')
    router.handle(MemberUnreachable(Incarnation('near1')), 0.0)
    assert set(count_choices(router, 5.0)) == {'near2'}
    router.handle(MemberReachable(Incarnation('near1')), 10.0)
    shares = [count_choices(router, now)['near1'] for now in (10.0, 15.0, 20.0)]
    assert shares[0] < 30
    assert shares == sorted(shares)
    assert shares[2] > 150


def test_cold_member_gets_a_reduced_share():
    # A backend server in cold start must get fewer calls than a warm backend
    # server, but not none: without calls, it would never warm up.
    router = make_test_router('near1', 'near2')
    router.handle(MemberUpdated(make_record('near1', MemberState.COLD, 2)), 0.0)
    assert 0 < count_choices(router, 50.0)['near1'] < 100


def test_suspect_member_is_chosen_only_without_others():
    # While other members are available, a suspect member must get no calls.
    # When only the suspect member is left, it must get calls, since the
    # suspicion may be incorrect.
    router = make_test_router('near1', 'far')
    router.handle(
        MemberUpdated(make_record('near1', MemberState.SUSPECT, 2)), 0.0
    )
    assert set(count_choices(router, 0.0)) == {'far'}
    router.handle(MemberUnreachable(Incarnation('far')), 0.0)
    assert set(count_choices(router, 0.0)) == {'near1'}


def test_member_of_evacuated_data_centre_is_never_chosen():
    # A data centre that operators have evacuated must get no new calls, even if
    # no other member is left. The calls must be refused instead.
    router = make_test_router('near1', 'far')
    router.handle(EvacuatedDataCentresChanged(frozenset(('dc1',))), 0.0)
    assert set(count_choices(router, 0.0)) == {'far'}
    router.handle(MemberUnreachable(Incarnation('far')), 0.0)
    assert count_choices(router, 0.0) is Reason.NO_BACKEND_SERVER


def test_call_below_all_thresholds_is_refused_but_a_probe_passes():
    # A call must not be sent if every member would shed it. From time to time,
    # one call must be sent as a probe; otherwise an outdated shedding threshold
    # would keep calls refused for ever.
    router = make_test_router('near1', 'near2')
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


def test_refusing_member_is_avoided_during_backoff():
    # A member that has just refused a call must get no calls for a short time:
    # the member would probably refuse them too.
    router = make_test_router('near1', 'near2')
    refused = CallEnded(Incarnation('near1'), refusal=Reason.OVERLOADED)
    router.handle(refused, 0.0)
    assert set(count_choices(router, 0.1)) == {'near2'}
    assert set(count_choices(router, 0.3)) == {'near1', 'near2'}


def test_outdated_record_is_ignored():
    # A delayed record with a lower sequence number must be ignored. Otherwise a
    # draining member would count as available again.
    router = make_test_router('near1', 'near2')
    router.handle(
        MemberUpdated(make_record('near1', MemberState.DRAINING, 3)), 0.0
    )
    router.handle(
        MemberUpdated(make_record('near1', MemberState.READY, 2)), 0.0
    )
    assert set(count_choices(router, 0.0)) == {'near2'}


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
BOTH_NEIGHBOURS = frozenset((
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
        (
            {'call': replace(CALL, excluded=BOTH_NEIGHBOURS)},
            RetryRule.NO_OTHER_MEMBER,
        ),
    ],
)
def test_retry_rules(change, rule):
    # A retry must be forbidden if it could multiply the load or make a
    # non-idempotent call run twice. Each case checks one rule.
    router = make_test_router('near1', 'near2')
    decision = router.decide_retry(replace(ATTEMPT, **change), 0.0)
    assert decision.rule is rule
    assert decision.spends_budget == (rule is RetryRule.RETRY)


def test_no_retry_when_all_members_refuse():
    # When all other members refuse the call too, the call must not be retried:
    # a retry would only add load.
    router = make_test_router('near1', 'near2')
    router.handle(CallEnded(Incarnation('near2'), shedding_threshold=2), 0.0)
    attempt = replace(ATTEMPT, reason=Reason.OVERLOADED, **NOT_RUN)
    assert not router.decide_retry(attempt, 0.1).is_allowed
    assert router.decide_retry(attempt, 1.5).is_allowed


def test_silent_member_gets_no_calls():
    # A silent member must get no calls. Other nodes change the state of a
    # silent member and keep the sequence number of its record, so a record with
    # an equal sequence number must not be ignored as outdated.
    router = make_test_router('near1', 'near2')
    router.handle(MemberUpdated(make_record('near1', MemberState.SILENT)), 0.0)
    assert set(count_choices(router, 0.0)) == {'near2'}


def test_threshold_applies_to_one_route_only():
    # When one route needs an overloaded service, only the calls of that route
    # must be refused. The other routes of the service must still get calls.
    router = make_test_router('near1')
    ended = CallEnded(Incarnation('near1'), shedding_threshold=3, route='order')
    router.handle(ended, 0.0)
    order = replace(CALL, route='order')
    router.choose(order, 0.0, random.Random(1))
    assert count_choices(router, 0.1, call=order) is Reason.OVERLOADED
    assert count_choices(router, 0.1, call=replace(CALL, route='list'))['near1']
    assert router.find_shedding_threshold('stock', 'order', 0.1) == 3
    assert router.find_shedding_threshold('stock', 'order', 2.0) == 0


def test_full_own_backend_server_is_not_preferred():
    # When this node's backend server is full, calls must not wait there while
    # another backend server in the data centre is idle.
    router = make_test_router('own', 'near1')
    assert set(count_choices(router, 0.0)) == {'own'}
    chosen = count_choices(router, 0.0, call=replace(CALL, is_own_full=True))
    assert set(chosen) == {'own', 'near1'}


def test_call_is_refused_early_until_a_probe_is_due():
    # Calls may be refused early only until the next probe is due. Without
    # probes, an outdated shedding threshold would keep calls refused for ever.
    router = make_test_router('near1')
    router.handle(CallEnded(Incarnation('near1'), shedding_threshold=3), 0.0)
    assert not router.is_refused_by_all(CALL, 0.1)
    assert router.choose(CALL, 0.1, random.Random(1)).is_probe
    assert router.is_refused_by_all(CALL, 0.2)
    assert not router.is_refused_by_all(CALL, 0.7)
    assert not router.is_refused_by_all(replace(CALL, service='other'), 0.2)
