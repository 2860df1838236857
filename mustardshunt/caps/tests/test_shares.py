"""Rates and bursts of organisations over all nodes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.caps import CapBounds, CapShares
from mustardshunt.policy import OrganisationPolicy

WINDOW = 5.0
BOUNDS = CapBounds(overage=0.1, slack=20)


def make_nodes(count: int, cap: OrganisationPolicy) -> dict[str, CapShares]:
    names = [f'n{number:02}' for number in range(count)]
    nodes = {}
    for name in names:
        shares = CapShares(BOUNDS, starts_full=True)
        shares.set_nodes(name, names)
        shares.set_caps({cap.name: cap}, 0.0)
        nodes[name] = shares
    return nodes


def most_in_a_window(times: list[float]) -> int:
    most = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(1, 70),
    rate=st.floats(1.0, 200.0),
    burst=st.floats(0.0, 200.0),
)
def test_no_window_exceeds_the_cap(
    seed: int, count: int, rate: float, burst: float
):
    """Guards the sum over all nodes: lost grants, restarts, uneven demand."""
    source = random.Random(seed)
    cap = OrganisationPolicy('o', None, rate, burst)
    nodes = make_nodes(count, cap)
    names = list(nodes)
    spent = []
    now = 0.0
    for _ in range(1500):
        now += source.expovariate(4 * rate + 10)
        name = names[min(int(source.expovariate(0.3)), count - 1)]
        shares = nodes[name]
        if source.randrange(200) == 0:
            nodes[name] = CapShares(BOUNDS, starts_full=False)
            nodes[name].set_nodes(name, names)
            nodes[name].set_caps({'o': cap}, now)
            continue
        if shares.spend('o', now):
            spent.append(now)
            continue
        others = [other for other in names if other != name]
        source.shuffle(others)
        ask = shares.make_request('o', others, 1, now)
        if ask is None:
            continue
        given_tokens = nodes[ask.node].grant('o', ask.wanted, now)
        if source.randrange(10):
            shares.receive('o', ask.node, given_tokens, now)
            if shares.spend('o', now):
                spent.append(now)
    allowed = (rate * WINDOW + burst) * (1 + BOUNDS.overage) + BOUNDS.slack
    assert most_in_a_window(spent) <= allowed


def test_demand_at_one_node_gets_what_the_others_leave():
    """Guards against refusals within the rate when demand is uneven."""
    cap = OrganisationPolicy('o', None, 100.0, 100.0)
    nodes = make_nodes(13, cap)
    busy = nodes['n00']
    others = [name for name in nodes if name != 'n00']
    served = 0
    for step in range(800):
        now = step * 0.0125
        is_served = busy.spend('o', now)
        while not is_served:
            ask = busy.make_request('o', others, 1, now)
            if ask is None:
                break
            amount = nodes[ask.node].grant('o', ask.wanted, now)
            busy.receive('o', ask.node, amount, now)
            is_served = busy.spend('o', now)
        served += is_served
    assert served >= 0.99 * 800


def test_restarted_node_starts_without_tokens():
    shares = CapShares(BOUNDS, starts_full=False, usable_from=0.0)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 0.0)
    assert shares.spend('o', 0.2)


def test_node_that_joins_spends_nothing_until_the_others_know_it():
    shares = CapShares(BOUNDS, starts_full=True, usable_from=9.0)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 1.0)
    assert not shares.grant('o', 5, 1.0)
    # A run before it had a share already, which the others left room for.
    shares.allow_spending()
    assert shares.spend('o', 1.0)


def test_lower_cap_takes_tokens_away_at_once():
    shares = CapShares(CapBounds(0.0, 0), starts_full=True)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 50.0)}, 0.0)
    shares.set_caps({'o': OrganisationPolicy('o', None, 1.0, 2.0)}, 0.0)
    assert [shares.spend('o', 0.0) for _ in range(3)] == [True, True, False]


def test_organisation_that_comes_back_has_not_earned_its_burst_again():
    shares = CapShares(CapBounds(0.0, 0), starts_full=True)
    shares.set_nodes('a', ['a'])
    caps = {'o': OrganisationPolicy('o', None, 1.0, 2.0)}
    shares.set_caps(caps, 0.0)
    assert shares.spend('o', 0.0)
    assert shares.spend('o', 0.0)
    shares.set_caps({}, 0.0)
    shares.set_caps(caps, 0.0)
    assert not shares.spend('o', 0.0)


def test_unlimited_organisation_is_never_refused():
    shares = CapShares(BOUNDS, starts_full=False)
    shares.set_caps({'o': OrganisationPolicy('o', None, 0.0, 0.0)}, 0.0)
    assert shares.spend('o', 0.0)
    seconds = shares.snapshot('o').seconds_until_token()
    assert seconds == pytest.approx(0.0)
