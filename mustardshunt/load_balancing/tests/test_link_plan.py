"""Tests of the members to which nodes keep links, at three sizes."""

import random
from collections import Counter

import pytest

from mustardshunt.base import VmAddress
from mustardshunt.load_balancing import LinkPlan, LoadBalancer, Member
from mustardshunt.load_balancing._link_plan import SUBSET_SIZE
from mustardshunt.upstream import BackendServerStatus, ServerPhase

DATA_CENTRES = ('a', 'b', 'c', 'd', 'e')
# Share of the members that each service has, as in a large deployment.
SHARE_BY_SERVICE = {'browse': 86, 'book': 63, 'order': 30, 'stock': 16}


def make_members(count: int) -> dict[str, Member]:
    services = []
    for service, share in SHARE_BY_SERVICE.items():
        services.extend([service] * round(share * count / 195))
    by_name = {}
    for number, service in enumerate(services):
        name = f'n{number}'
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        address = VmAddress(f'10.0.{number // 250}.{number % 250}', 1)
        by_name[name] = Member(name, f'{name}-1', service, data_centre, address)
    return by_name


def make_plans(by_name: dict[str, Member]) -> dict[str, LinkPlan]:
    plans = {}
    for name, member in by_name.items():
        plan = LinkPlan(name, member.data_centre)
        plan.set_members(by_name)
        for service in SHARE_BY_SERVICE:
            plan.use_service(service, 0.0)
        plans[name] = plan
    return plans


def subset(
    plan: LinkPlan, by_name: dict[str, Member], service: str
) -> set[str]:
    return {name for name in plan.names if by_name[name].service == service}


@pytest.mark.parametrize('count', [30, 195, 940])
def test_links_are_bounded_and_even(count: int):
    """No member may have far more callers than the mean of its service.

    Calls follow the links, so uneven links would overload some members. The
    number of links of a node must not grow with the deployment.
    """
    by_name = make_members(count)
    plans = make_plans(by_name)
    limit = len(SHARE_BY_SERVICE) * SUBSET_SIZE + 1
    assert max(len(plan.names) for plan in plans.values()) <= limit
    for service in SHARE_BY_SERVICE:
        callers: Counter[str] = Counter()
        for plan in plans.values():
            callers.update(subset(plan, by_name, service))
        of_service = [m for m in by_name.values() if m.service == service]
        for data_centre in DATA_CENTRES:
            counts = [
                callers[member.name]
                for member in of_service
                if member.data_centre == data_centre
            ]
            if counts:
                assert max(counts) <= 1.3 * sum(counts) / len(counts) + 2


@pytest.mark.parametrize('count', [195, 940])
def test_lost_members_are_replaced_at_once(count: int):
    """A node must not run out of members when a third of them is lost."""
    by_name = make_members(count)
    plans = make_plans(by_name)
    lost = set(random.Random(7).sample(sorted(by_name), count // 3))
    for name, plan in plans.items():
        for other in lost:
            plan.mark_usable(other, is_usable=False)
        if name in lost:
            continue
        for service in SHARE_BY_SERVICE:
            usable = subset(plan, by_name, service) - lost
            available = sum(
                member.service == service and member.name not in lost
                for member in by_name.values()
            )
            assert len(usable) >= min(SUBSET_SIZE, available)


def test_evacuated_data_centre_is_left_at_once():
    """No link to an evacuated data centre may stay in the plan."""
    by_name = make_members(195)
    plan = make_plans(by_name)['n0']
    plan.set_evacuated(frozenset('a'))
    for service in SHARE_BY_SERVICE:
        names = subset(plan, by_name, service)
        others = {by_name[name].data_centre for name in names - {'n0'}}
        assert 'a' not in others
        assert len(names - {'n0'}) == SUBSET_SIZE


def test_one_change_of_the_members_changes_few_links():
    """A joining member must not make all nodes replace their links."""
    by_name = make_members(195)
    plans = make_plans(by_name)
    before = {name: plan.names for name, plan in plans.items()}
    address = VmAddress('10.9.0.1', 1)
    joined = {**by_name, 'x': Member('x', 'x-1', 'stock', 'a', address)}
    changed = 0
    for name, plan in plans.items():
        plan.set_members(joined)
        changed += len(plan.names - before[name])
    assert changed <= 195 * 3


def test_service_that_is_no_longer_called_is_dropped():
    """Links to a service must close when its calls have ended."""
    by_name = make_members(195)
    plan = make_plans(by_name)['n0']
    plan.use_service('stock', 100.0)
    assert plan.drop_unused(100.0)
    services = {by_name[name].service for name in plan.names - {'n0'}}
    assert services == {'stock'}


@pytest.mark.parametrize('count', [30, 940])
def test_choice_reads_only_the_candidates(count: int):
    """The cost of a choice must not grow with the number of members."""
    by_name = make_members(count)
    reads = 0

    class CountingRandom(random.Random):
        def random(self) -> float:
            nonlocal reads
            reads += 1
            return 0.5

    balancer = LoadBalancer('n0', 'a', CountingRandom())
    balancer.set_members(by_name.values())
    balancer.set_candidates(make_plans(by_name)['n0'].names)
    status = BackendServerStatus(ServerPhase.READY, False, 0, 9, 3.0)
    for name in by_name:
        balancer.update_status(name, status)
    chosen = balancer.choose('browse', (), 0.0)
    assert chosen is not None
    assert reads <= SUBSET_SIZE + 1
    assert len(balancer.statuses('browse')) <= SUBSET_SIZE + 1
