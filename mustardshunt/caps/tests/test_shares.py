"""Tests the usage caps: rate and burst of an organisation over all nodes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.caps import CapBounds, CapShares
from mustardshunt.policy import OrganisationPolicy

WINDOW_SECONDS = 5.0
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


def max_spent_in_a_window(times: list[float]) -> int:
    max_spent = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_SECONDS:
            first += 1
        max_spent = max(max_spent, last - first + 1)
    return max_spent


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(1, 70),
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
    nodes = make_nodes(count, cap)
    names = list(nodes)
    spent = []
    now = 0.0
    for _ in range(1500):
        now += rng.expovariate(4 * rate + 10)
        name = names[min(int(rng.expovariate(0.3)), count - 1)]
        shares = nodes[name]
        if rng.randrange(200) == 0:
            nodes[name] = CapShares(BOUNDS, starts_full=False)
            nodes[name].set_nodes(name, names)
            nodes[name].set_caps({'o': cap}, now)
            continue
        if shares.spend('o', now):
            spent.append(now)
            continue
        others = [other for other in names if other != name]
        rng.shuffle(others)
        request = shares.make_request('o', others, 1, now)
        if request is None:
            continue
        granted = nodes[request.node].grant('o', request.wanted, now)
        if rng.randrange(10):
            shares.receive('o', request.node, granted, now)
            if shares.spend('o', now):
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
    busy_node = nodes['n00']
    others = [name for name in nodes if name != 'n00']
    served = 0
    for step in range(800):
        now = step * 0.0125
        is_served = busy_node.spend('o', now)
        while not is_served:
            request = busy_node.make_request('o', others, 1, now)
            if request is None:
                break
            amount = nodes[request.node].grant('o', request.wanted, now)
            busy_node.receive('o', request.node, amount, now)
            is_served = busy_node.spend('o', now)
        served += is_served
    assert served >= 0.99 * 800


def test_restarted_node_starts_without_tokens():
    """A restarted node must start without tokens.

    Each restart would otherwise allow another burst.
    """
    shares = CapShares(BOUNDS, starts_full=False, usable_from=0.0)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 0.0)
    assert shares.spend('o', 0.2)


def test_joining_node_spends_nothing_until_the_others_count_it():
    """A new node must wait while other nodes' shares are still too large.

    All shares together would otherwise exceed the usage cap.
    """
    shares = CapShares(BOUNDS, starts_full=True, usable_from=9.0)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 10.0)}, 0.0)
    assert not shares.spend('o', 1.0)
    assert not shares.grant('o', 5, 1.0)
    # ``allow_spending`` is called when the other nodes already count the share
    # of this node, because an earlier process had it. The node may then spend
    # tokens at once.
    shares.allow_spending()
    assert shares.spend('o', 1.0)


def test_lowered_cap_removes_excess_tokens_at_once():
    """Tokens of an earlier, higher usage cap must not be spent."""
    shares = CapShares(CapBounds(0.0, 0), starts_full=True)
    shares.set_nodes('a', ['a'])
    shares.set_caps({'o': OrganisationPolicy('o', None, 10.0, 50.0)}, 0.0)
    shares.set_caps({'o': OrganisationPolicy('o', None, 1.0, 2.0)}, 0.0)
    assert [shares.spend('o', 0.0) for _ in range(3)] == [True, True, False]


def test_organisation_listed_again_does_not_get_a_new_burst():
    """An organisation must not get a new burst by being listed again."""
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
    """Requests of an organisation without a usage cap must be admitted."""
    shares = CapShares(BOUNDS, starts_full=False)
    shares.set_caps({'o': OrganisationPolicy('o', None, 0.0, 0.0)}, 0.0)
    assert shares.spend('o', 0.0)
    seconds = shares.snapshot('o').seconds_until_token()
    assert seconds == pytest.approx(0.0)
