"""Tests of route lookup, priority ranks, and versions of the policy."""

from mustardshunt.base import Revision
from mustardshunt.policy import (
    Policy,
    PolicyRegistry,
    PriorityRanking,
    RequestLimits,
    RoutePolicy,
    RouteTable,
    WeightedService,
)


def make_route(name: str, prefix: str, priority: int = 0) -> RoutePolicy:
    services = (WeightedService('s', 1.0),)
    return RoutePolicy(
        name, 'h', prefix, True, 1.0, 1.0, priority, services, 2, False
    )


def make_policy(version: int, *routes: RoutePolicy) -> Policy:
    by_name = {route.name: route for route in routes}
    return Policy(version, by_name, {}, {}, {}, RequestLimits())


def test_route_with_longest_prefix_is_found():
    """A request must get the policy of the route with the longest prefix.

    A shorter prefix must not win. A prefix that ends inside a path segment and
    a path in the query must not match. Otherwise the request would get the
    limits of another route.
    """
    table = RouteTable(
        make_policy(1, make_route('a', '/x/'), make_route('b', '/x/y/'))
    )
    names = []
    for target in ('/x/y/z', '/x/y', '/x/', '/x/yy/z?a=/x/y/'):
        route = table.find('h', target)
        names.append(route and route.name)
    assert names == ['b', 'a', 'a', 'a']
    assert table.find('h', '/xy/') is None
    assert table.find('other', '/x/') is None


def test_priority_ranks_have_no_gaps():
    """Priorities with gaps between them must get consecutive ranks.

    Under overload the nodes cut off one rank after another. Cutting off a rank
    that no request has would not lower the load.
    """
    ranking = PriorityRanking(
        make_policy(1, make_route('a', '/a/', 7), make_route('b', '/b/', 2))
    )
    assert [ranking.rank(2), ranking.rank(7), len(ranking)] == [0, 1, 2]


def test_older_policy_does_not_replace_active_policy():
    """A late update with an older policy must be ignored.

    Otherwise the node would return to limits that operators have replaced.
    """
    registry = PolicyRegistry()
    assert registry.accept(make_policy(5))
    assert not registry.accept(make_policy(4))
    assert not registry.accept(make_policy(5))
    assert registry.version == 5


def test_outdated_evacuation_update_changes_nothing():
    """An update with an older revision must not change an evacuation.

    The platform's updates can arrive late or twice. An outdated update must
    neither end an evacuation nor start an ended evacuation again.
    """
    registry = PolicyRegistry()
    assert registry.evacuate('z', Revision(0, 10))
    assert not registry.restore('z', Revision(0, 9))
    assert registry.evacuated == {'z'}
    assert registry.restore('z', Revision(0, 12))
    assert not registry.evacuate('z', Revision(0, 10))
    assert not registry.evacuated
