"""Choice of backend servers, division of routes, bound on repeats."""

import random

from mustardshunt.base import VmAddress
from mustardshunt.load_balancing import (
    LoadBalancer,
    Member,
    RetryKind,
    RetryThrottle,
    RetryThrottleSettings,
    WeightedRoundRobin,
)
from mustardshunt.policy import RoutePolicy, WeightedService
from mustardshunt.upstream import BackendServerStatus, ServerPhase

RATIO = 0.2
MINIMUM = 48


def make_member(name: str, zone: str) -> Member:
    return Member(name, f'{name}-1', 's', zone, VmAddress('h', 1))


def make_view(in_flight: int = 0, **changes: object) -> BackendServerStatus:
    phase = changes.get('phase', ServerPhase.READY)
    is_cold = bool(changes.get('is_cold'))
    return BackendServerStatus(phase, is_cold, in_flight, 10, 1.0)


def make_balancer(**views: BackendServerStatus) -> LoadBalancer:
    balancer = LoadBalancer('me', 'near', random.Random(1))
    members = [make_member(name, name.split('_')[0]) for name in views]
    balancer.set_members(members)
    for name, view in views.items():
        balancer.update_status(name, view)
    return balancer


def chosen(balancer: LoadBalancer, now: float = 0.0) -> str | None:
    load = balancer.choose('s', (), now)
    return None if load is None else load.member.name


def test_near_member_is_preferred_until_it_is_half_fuller():
    balancer = make_balancer(near_a=make_view(4), far_a=make_view(0))
    assert chosen(balancer) == 'near_a'
    balancer.update_status('near_a', make_view(8))
    assert chosen(balancer) == 'far_a'


def test_draining_lost_and_evacuated_members_get_nothing():
    draining = make_view(phase=ServerPhase.DRAINING)
    balancer = make_balancer(near_a=draining, far_a=make_view())
    assert chosen(balancer) == 'far_a'
    balancer.set_evacuated(frozenset(('far',)))
    assert chosen(balancer) is None
    balancer.set_evacuated(frozenset())
    balancer.mark_disconnected('far_a')
    assert chosen(balancer) is None


def test_failing_member_is_avoided_and_tried_again():
    balancer = make_balancer(near_a=make_view(), near_b=make_view())
    for _ in range(10):
        load = balancer.choose('s', ('near_b',), 0.0)
        assert load is not None
        balancer.record_start(load)
        balancer.record_end(load, 'r', None, has_failed=True, now=0.0)
    assert {chosen(balancer) for _ in range(20)} == {'near_b'}
    assert {chosen(balancer, 30.0) for _ in range(40)} == {'near_a', 'near_b'}


def test_restarted_member_is_not_called_before_it_tells_its_state():
    balancer = make_balancer(near_a=make_view())
    member = Member('near_a', 'run-2', 's', 'near', VmAddress('h', 1))
    balancer.set_members([member])
    assert chosen(balancer) is None


def test_split_keeps_the_weights_in_short_spans():
    parts = (WeightedService('a', 90.0), WeightedService('b', 10.0))
    route = RoutePolicy('r', 'h', '/', True, 1, 1, 0, parts, 2, False)
    split = WeightedRoundRobin(random.Random(3))
    chosen_parts = [split.choose(route) for _ in range(300)]
    assert 27 <= chosen_parts.count('b') <= 33


def test_repeats_down_a_chain_stay_within_the_ratio():
    """A repeated request repeats its calls; each level may add its own."""
    allowance = RetryThrottle(RetryThrottleSettings(RATIO, 10.0, MINIMUM))
    allowance.set_node_count(1)
    requests = 1000
    repeats = dict.fromkeys(RetryKind, 0)
    for step in range(requests):
        now = step * 0.01
        for kind in RetryKind:
            allowance.deposit('s', kind, now)
            repeats[kind] += allowance.spend('s', kind, now)
    levels = 3
    worst = repeats[RetryKind.REQUEST]
    worst += levels * repeats[RetryKind.CHILD_CALL]
    assert worst <= RATIO * requests + MINIMUM


def test_minimum_is_divided_among_the_nodes():
    allowances = []
    for _ in range(13):
        allowance = RetryThrottle(RetryThrottleSettings(RATIO, 10.0, MINIMUM))
        allowance.set_node_count(13)
        allowances.append(allowance)
    total = 0
    for allowance in allowances:
        for step in range(100):
            total += allowance.spend('s', RetryKind.REQUEST, step * 0.1)
            total += allowance.spend('s', RetryKind.CHILD_CALL, step * 0.1)
    assert total <= MINIMUM
