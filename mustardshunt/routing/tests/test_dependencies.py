"""Tests of the learned dependencies between routes."""

from mustardshunt.routing import RouteDependencies


def record_calls(dependencies, calls, *children):
    for _ in range(calls):
        for child in children:
            dependencies.record_child_call('order', child)
        dependencies.record_call('order')


def test_rare_child_call_is_no_dependency():
    # Guards against refusing all calls of a route because a few of them need
    # another service that is overloaded.
    dependencies = RouteDependencies()
    record_calls(dependencies, 90)
    record_calls(dependencies, 10, 'stock')
    assert dependencies.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_highest_threshold_of_all_dependencies_counts():
    # Guards against considering only one of two dependencies: a call would
    # start although the other dependency refuses its child call.
    dependencies = RouteDependencies()
    record_calls(dependencies, 20, 'stock', 'price')
    assert (
        dependencies.find_shedding_threshold(
            'order', {'stock': 1, 'price': 2}.get
        )
        == 2
    )


def test_dependency_is_dropped_when_no_longer_called():
    # Guards against refusing calls because of a service that a new version of
    # the backend server no longer calls.
    dependencies = RouteDependencies()
    record_calls(dependencies, 1000, 'stock')
    record_calls(dependencies, 600)
    assert dependencies.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_unknown_child_threshold_accepts_calls():
    # Guards against refusing calls while the shedding threshold of a dependency
    # is not known.
    dependencies = RouteDependencies()
    record_calls(dependencies, 20, 'stock')
    assert dependencies.find_shedding_threshold('order', lambda _: None) == 0
