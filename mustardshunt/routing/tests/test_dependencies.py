"""Guards what is learned of the routes that a route goes on to call."""

from mustardshunt.routing import RouteDependencies


def serve(needs, calls, *children):
    for _ in range(calls):
        for child in children:
            needs.record_child_call('order', child)
        needs.record_call('order')


def test_rare_child_does_not_count():
    # Guards against refusing all calls because a few need another service.
    needs = RouteDependencies()
    serve(needs, 90)
    serve(needs, 10, 'stock')
    assert needs.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_highest_level_of_all_needed_children_counts():
    # Guards against starting a call that a second child would refuse.
    needs = RouteDependencies()
    serve(needs, 20, 'stock', 'price')
    assert (
        needs.find_shedding_threshold('order', {'stock': 1, 'price': 2}.get)
        == 2
    )


def test_changed_backend_server_is_learned_anew():
    # Guards against refusing for a service that is not called any more.
    needs = RouteDependencies()
    serve(needs, 1000, 'stock')
    serve(needs, 600)
    assert needs.find_shedding_threshold('order', {'stock': 3}.get) == 0


def test_unknown_child_level_lets_calls_through():
    # Guards against refusing while nothing is known of the child's level.
    needs = RouteDependencies()
    serve(needs, 20, 'stock')
    assert needs.find_shedding_threshold('order', lambda _: None) == 0
