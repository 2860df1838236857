"""Tests of route lookup, priority ranks, and versions of the policy."""

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
    """Guards against applying the policy of another route to a request.

    A shorter prefix, a prefix that ends inside a path segment, or a path in
    the query must not match.
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
    """Guards against unused ranks between those of the declared priorities.

    Under overload the nodes cut off one rank after another. Cutting off a rank
    that no request has would not lower the load.
    """
    ranking = PriorityRanking(
        make_policy(1, make_route('a', '/a/', 7), make_route('b', '/b/', 2))
    )
    assert [ranking.rank(2), ranking.rank(7), len(ranking)] == [0, 1, 2]


def test_older_policy_does_not_replace_active_policy():
    """Guards against a late update that activates an older policy."""
    registry = PolicyRegistry()
    assert registry.accept(make_policy(5))
    assert not registry.accept(make_policy(4))
    assert not registry.accept(make_policy(5))
    assert registry.version == 5


def test_outdated_evacuation_update_changes_nothing():
    """Guards against following an outdated message from the platform.

    Updates on the evacuation of a data centre can arrive late or twice. One
    with an older revision must neither end an evacuation nor start it again.
    """
    registry = PolicyRegistry()
    assert registry.evacuate('z', 10)
    assert not registry.restore('z', 9)
    assert registry.evacuated == {'z'}
    assert registry.restore('z', 12)
    assert not registry.evacuate('z', 10)
    assert not registry.evacuated
