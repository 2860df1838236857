"""Routes and versions of a policy."""

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
    parts = (WeightedService('s', 1.0),)
    return RoutePolicy(
        name, 'h', prefix, True, 1.0, 1.0, priority, parts, 2, False
    )


def make_policy(version: int, *routes: RoutePolicy) -> Policy:
    by_name = {route.name: route for route in routes}
    return Policy(version, by_name, {}, {}, {}, RequestLimits())


def test_longest_prefix_is_found():
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


def test_ranks_have_no_gaps():
    scale = PriorityRanking(
        make_policy(1, make_route('a', '/a/', 7), make_route('b', '/b/', 2))
    )
    assert [scale.rank(2), scale.rank(7), len(scale)] == [0, 1, 2]


def test_version_never_goes_back():
    registry = PolicyRegistry()
    assert registry.accept(make_policy(5))
    assert not registry.accept(make_policy(4))
    assert not registry.accept(make_policy(5))
    assert registry.version == 5


def test_old_news_of_an_evacuation_changes_nothing():
    """Guards against reads that lie behind and feeds that are repeated."""
    registry = PolicyRegistry()
    assert registry.evacuate('z', 10)
    assert not registry.restore('z', 9)
    assert registry.evacuated == {'z'}
    assert registry.restore('z', 12)
    assert not registry.evacuate('z', 10)
    assert not registry.evacuated
