"""Tests the usage caps: rate and burst of an organisation over all nodes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.caps import (
    JOIN_SECONDS,
    Cap,
    CapBounds,
    CapShares,
    make_retry_caps,
    make_usage_caps,
)
from mustardshunt.policy import OrganisationPolicy

WINDOW_SECONDS = 5.0
BOUNDS = CapBounds(overage=0.1, slack=20)


DATA_CENTRES = 5


def make_names(count: int) -> dict[str, str]:
    return {
        f'n{number:03}': f'z{number % DATA_CENTRES}' for number in range(count)
    }


def make_share(
    name: str,
    data_centre_by_name: dict[str, str],
    caps: dict[str, Cap],
    starts_full: bool = True,
    now: float = 0.0,
) -> CapShares:
    shares = CapShares(starts_full)
    shares.set_nodes(name, data_centre_by_name)
    shares.set_caps(caps, now)
    return shares


def make_nodes(count: int, *caps: OrganisationPolicy) -> dict[str, CapShares]:
    data_centre_by_name = make_names(count)
    cap_by_name = make_usage_caps({cap.name: cap for cap in caps}, BOUNDS)
    return {
        name: make_share(name, data_centre_by_name, cap_by_name)
        for name in data_centre_by_name
    }


def ask(
    nodes: dict[str, CapShares],
    name: str,
    organisation: str,
    now: float,
    is_lost: bool = False,
) -> bool:
    """Request tokens for a waiting request; tell if another node was asked."""
    shares = nodes[name]
    request = shares.make_request(
        organisation, shares.holders(organisation), 1, now
    )
    if request is None:
        return False
    holder = nodes[request.node]
    amount = holder.grant(organisation, name, request.wanted, now)
    if holder.is_low(organisation, now):
        ask(nodes, request.node, organisation, now)
    if not is_lost:
        shares.receive(organisation, request.node, amount, now)
    return True


def acquire(
    nodes: dict[str, CapShares], name: str, organisation: str, now: float
) -> bool:
    is_served = nodes[name].spend(organisation, now)
    while not is_served and ask(nodes, name, organisation, now):
        is_served = nodes[name].spend(organisation, now)
    return is_served


def max_spent_in_a_window(
    times: list[float], window: float = WINDOW_SECONDS
) -> int:
    max_spent = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        max_spent = max(max_spent, last - first + 1)
    return max_spent


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(1, 200),
    rate=st.floats(1.0, 200.0),
    burst=st.floats(0.0, 200.0),
)
def test_no_window_exceeds_the_usage_cap(
    seed: int, count: int, rate: float, burst: float
):
    """All nodes together must not exceed the usage cap and the tolerance.

    This also holds with lost grants, restarts and uneven demand.
    """
    rng = random.Random(seed)
    cap = OrganisationPolicy('o', None, rate, burst)
    cap_by_name = make_usage_caps({'o': cap}, BOUNDS)
    nodes = make_nodes(count, cap)
    names = list(nodes)
    data_centre_by_name = make_names(count)
    spent = []
    now = 0.0
    for _ in range(1500):
        now += rng.expovariate(4 * rate + 10)
        name = names[min(int(rng.expovariate(0.3)), count - 1)]
        if rng.randrange(200) == 0:
            nodes[name] = make_share(
                name, data_centre_by_name, cap_by_name, False, now
            )
            continue
        if nodes[name].spend('o', now):
            spent.append(now)
            if rng.randrange(8) == 0:
                spent.pop()
                holder = nodes[name].refund('o', now)
                if holder is not None and rng.randrange(4):
                    nodes[holder].take_back('o', 1, now)
            continue
        ask(nodes, name, 'o', now, is_lost=rng.randrange(10) == 0)
        if nodes[name].spend('o', now):
            spent.append(now)
    allowed = (rate * WINDOW_SECONDS + burst) * (
        1 + BOUNDS.overage
    ) + BOUNDS.slack
    assert max_spent_in_a_window(spent) <= allowed


def test_one_busy_node_gets_the_unused_tokens_of_the_others():
    """A node with all the demand must get the tokens of the other nodes.

    Requests within the rate would otherwise be refused.
    """
    cap = OrganisationPolicy('o', None, 100.0, 100.0)
    nodes = make_nodes(13, cap)
    served = sum(
        acquire(nodes, 'n000', 'o', step * 0.0125) for step in range(800)
    )
    assert served >= 0.99 * 800


@pytest.mark.parametrize(('lost_count', 'max_refused'), [(0, 0.01), (19, 0.03)])
def test_requests_within_the_cap_are_admitted_at_any_of_195_nodes(
    lost_count: int, max_refused: float
):
    """Requests of small organisations must find tokens wherever they arrive.

    Most of 140 organisations send fewer requests than there are nodes. The
    stated targets are fewer than 1 in 100 refused on a calm day, and 3 in 100
    after the loss of a tenth of the nodes.
    """
    rng = random.Random(7)
    demand_by_name = {
        f'o{number}': 300.0 / (number + 3) / 4.6 for number in range(140)
    }
    caps = [
        OrganisationPolicy(name, None, 1.6 * demand, 1.6 * demand)
        for name, demand in demand_by_name.items()
    ]
    nodes = make_nodes(195, *caps)
    names = list(nodes)
    lost = set(rng.sample(names, lost_count))
    working = [name for name in names if name not in lost]
    for name in lost:
        # Its share stays lost until its entry is removed.
        nodes[name] = CapShares(starts_full=False, usable_from=1e9)
        nodes[name].set_nodes(name, make_names(195))
        nodes[name].set_caps(
            make_usage_caps({cap.name: cap for cap in caps}, BOUNDS), 0.0
        )
    organisations = list(demand_by_name)
    weights = list(demand_by_name.values())
    refused = 0
    now = 0.0
    count = 12_000
    for _ in range(count):
        now += rng.expovariate(sum(weights))
        organisation = rng.choices(organisations, weights)[0]
        name = rng.choice(working)
        refused += not acquire(nodes, name, organisation, now)
    assert refused <= count * max_refused


def test_shares_of_all_nodes_add_up_to_the_cap():
    """A cap must be divided completely, and no part of it twice."""
    cap = OrganisationPolicy('o', None, 10.0, 10.0)
    for count in (1, 4, 13, 65, 195):
        nodes = make_nodes(count, cap)
        rate = sum(shares.snapshot('o').rate for shares in nodes.values())
        assert rate == pytest.approx(10.0 * (1 + 0.5 * BOUNDS.overage))


def test_small_cap_lies_with_one_node_of_each_data_centre():
    """Shares of a fraction of a token would refuse requests within the cap."""
    nodes = make_nodes(195, OrganisationPolicy('o', None, 1.0, 1.0))
    holders = [name for name in nodes if nodes[name].snapshot('o').rate]
    data_centre_by_name = make_names(195)
    assert len(holders) == DATA_CENTRES
    assert len({data_centre_by_name[name] for name in holders}) == DATA_CENTRES


def test_node_without_a_share_returns_the_token_of_a_refused_request():
    """Requests that are refused later must not use up the cap."""
    nodes = make_nodes(195, OrganisationPolicy('o', None, 1.0, 1.0))
    name = next(name for name in nodes if not nodes[name].snapshot('o').rate)
    assert acquire(nodes, name, 'o', 0.0)
    holder = nodes[name].refund('o', 0.0)
    assert holder is not None
    before = nodes[holder].snapshot('o').level
    nodes[holder].take_back('o', 1, 0.0)
    assert nodes[holder].snapshot('o').level > before


def test_new_holder_starts_without_tokens():
    """The former holder may not know yet that it has lost its share."""
    names = make_names(195)
    nodes = make_nodes(195, OrganisationPolicy('o', None, 10.0, 10.0))
    holder = next(name for name in nodes if nodes[name].snapshot('o').rate)
    del names[holder]
    for name in names:
        nodes[name].set_nodes(name, names)
        assert not nodes[name].spend('o', 0.0) or nodes[name].snapshot('o').rate
    rate = sum(nodes[name].snapshot('o').rate for name in names)
    assert rate == pytest.approx(10.0 * (1 + 0.5 * BOUNDS.overage))
    new = next(
        name
        for name in names
        if nodes[name].snapshot('o').rate
        and not nodes[name].snapshot('o').level
    )
    assert not nodes[new].spend('o', JOIN_SECONDS)


def test_restarted_node_starts_without_tokens():
    """A restarted node must start without tokens.

    Each restart would otherwise allow another burst.
    """
    shares = CapShares(starts_full=False, usable_from=0.0)
    shares.set_nodes('a', {'a': 'z'})
    shares.set_caps({'o': Cap(10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 0.0)
    assert shares.spend('o', 0.2)


def test_joining_node_spends_nothing_until_the_others_count_it():
    """A new node must wait while other nodes' shares are still too large.

    All shares together would otherwise exceed the usage cap.
    """
    shares = CapShares(starts_full=True, usable_from=9.0)
    shares.set_nodes('a', {'a': 'z'})
    shares.set_caps({'o': Cap(10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 1.0)
    assert not shares.grant('o', 'b', 5, 1.0)
    # ``allow_spending`` is called when the other nodes already count the share
    # of this node, because an earlier process had it. The node may then spend
    # tokens at once.
    shares.allow_spending()
    assert shares.spend('o', 1.0)


def test_lowered_cap_removes_excess_tokens_at_once():
    """Tokens of an earlier, higher usage cap must not be spent."""
    shares = CapShares(starts_full=True)
    shares.set_nodes('a', {'a': 'z'})
    shares.set_caps({'o': Cap(10.0, 50.0)}, 0.0)
    shares.set_caps({'o': Cap(1.0, 2.0)}, 0.0)
    assert [shares.spend('o', 0.0) for _ in range(3)] == [True, True, False]


def test_organisation_listed_again_does_not_get_a_new_burst():
    """An organisation must not get a new burst by being listed again."""
    shares = CapShares(starts_full=True)
    shares.set_nodes('a', {'a': 'z'})
    caps = {'o': Cap(1.0, 2.0)}
    shares.set_caps(caps, 0.0)
    assert shares.spend('o', 0.0)
    assert shares.spend('o', 0.0)
    shares.set_caps({}, 0.0)
    shares.set_caps(caps, 0.0)
    assert not shares.spend('o', 0.0)


def test_unlimited_organisation_is_never_refused():
    """Requests of an organisation without a usage cap must be admitted."""
    shares = CapShares(starts_full=False)
    organisation = OrganisationPolicy('o', None, 0.0, 0.0)
    shares.set_caps(make_usage_caps({'o': organisation}, BOUNDS), 0.0)
    assert shares.spend('o', 0.0)
    seconds = shares.snapshot('o').seconds_until_token()
    assert seconds == pytest.approx(0.0)


@settings(max_examples=20, deadline=None)
@given(seed=st.integers(0, 2**32), count=st.integers(1, 200))
def test_retries_of_all_nodes_stay_within_the_minimum(seed: int, count: int):
    """Retries must fit into the minimum wherever the faults are.

    A minimum that is divided over 195 nodes is below one retry at each.
    """
    rng = random.Random(seed)
    minimum = 213
    window = 10.0
    caps = make_retry_caps(['s'], ['request', 'child'], minimum, window)
    data_centre_by_name = make_names(count)
    nodes = {
        name: make_share(name, data_centre_by_name, caps)
        for name in data_centre_by_name
    }
    faulty = rng.sample(list(nodes), max(1, count // 20))
    spent: dict[str, list[float]] = {name: [] for name in caps}
    for step in range(2000):
        now = step * 0.01
        for cap_name, times in spent.items():
            if acquire(nodes, rng.choice(faulty), cap_name, now):
                times.append(now)
    for times in spent.values():
        assert max_spent_in_a_window(times, window) * 22 <= minimum
        assert len(times) >= 12
