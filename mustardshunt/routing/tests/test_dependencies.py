"""Tests of the dependencies that are derived from counted child calls."""

from mustardshunt.routing import RouteDependencies


def record_calls(dependencies, calls, *children):
    for _ in range(calls):
        for child in children:
            dependencies.record_child_call('order', child)
        dependencies.record_call('order')


def test_rare_child_call_is_no_dependency():
    # When only few calls of a route need an overloaded service, the other calls
    # must still be accepted. The service must not count as a dependency of the
    # route.
    dependencies = RouteDependencies()
    record_calls(dependencies, 90)
    record_calls(dependencies, 10, 'stock')
    assert dependencies.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_highest_threshold_of_all_dependencies_counts():
    # If any dependency of its route refuses the importance of a call, the call
    # must not start: it would fail after it has run in part.
    dependencies = RouteDependencies()
    record_calls(dependencies, 20, 'stock', 'price')
    assert (
        dependencies.find_shedding_threshold(
            'order', {'stock': 1, 'price': 2}.get
        )
        == 2
    )


def test_dependency_is_dropped_when_no_longer_called():
    # When a new version of the backend server no longer calls a service, calls
    # must not be refused because that service is overloaded.
    dependencies = RouteDependencies()
    record_calls(dependencies, 1000, 'stock')
    record_calls(dependencies, 600)
    assert dependencies.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_unknown_child_threshold_accepts_calls():
    # While the shedding threshold of a dependency is not known, calls must be
    # accepted.
    dependencies = RouteDependencies()
    record_calls(dependencies, 20, 'stock')
    assert dependencies.find_shedding_threshold('order', lambda _: None) == 0
