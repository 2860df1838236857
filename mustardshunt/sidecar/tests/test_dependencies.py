"""Overload that travels up a chain of services."""

from mustardshunt.sidecar._dependencies import (
    FORGET_SECONDS,
    MAX_HOPS,
    MIN_CALLS,
    NO_DEPENDENCY,
    Dependencies,
    DependencyCutoff,
)
from mustardshunt.upstream import BackendServerStatus, ServerPhase

TOP = 3.0
# Runs of the backend server that made the calls.
RUNS = 4


def make_view(found: DependencyCutoff) -> BackendServerStatus:
    if found.cutoff < TOP:
        return BackendServerStatus(
            ServerPhase.READY, False, 0, 9, found.cutoff, found.hops
        )
    return BackendServerStatus(ServerPhase.READY, False, 0, 9, TOP)


def make_dependencies(service: str) -> Dependencies:
    dependencies = Dependencies()
    for _ in range(MIN_CALLS):
        dependencies.record_call(service, 0.0)
    return dependencies


def test_circle_of_services_does_not_keep_a_cutoff_down():
    """Guards against service that stays refused after an overload ends."""
    first = make_dependencies('b')
    second = make_dependencies('a')
    of_first = DependencyCutoff(0.3, 0)
    of_second = NO_DEPENDENCY
    for _ in range(MAX_HOPS + 1):
        view = make_view(of_first)
        of_second = second.lowest_cutoff(lambda _, view=view: [view], RUNS, 0.1)
        view = make_view(of_second)
        of_first = first.lowest_cutoff(lambda _, view=view: [view], RUNS, 0.1)
    assert of_first.cutoff >= TOP
    assert of_second.cutoff >= TOP


def test_overload_reaches_the_start_of_a_chain():
    found = DependencyCutoff(1.5, 0)
    for depth in range(1, 6):
        view = make_view(found)
        dependencies = make_dependencies('next')
        found = dependencies.lowest_cutoff(
            lambda _, view=view: [view], RUNS, 0.1
        )
        assert found == DependencyCutoff(1.5, depth)


def test_few_calls_make_no_dependency():
    dependencies = Dependencies()
    for _ in range(MIN_CALLS - 1):
        dependencies.record_call('b', 0.0)
    view = make_view(DependencyCutoff(0.5, 0))
    assert (
        dependencies.lowest_cutoff(lambda _: [view], RUNS, 0.1) == NO_DEPENDENCY
    )


def test_service_that_is_no_longer_called_is_forgotten():
    dependencies = make_dependencies('b')
    view = make_view(DependencyCutoff(0.5, 0))
    assert dependencies.lowest_cutoff(lambda _: [view], RUNS, 1.0).cutoff < TOP
    dependencies.lowest_cutoff(lambda _: [view], RUNS, 1.0 + FORGET_SECONDS)
    later = 2.0 + 2 * FORGET_SECONDS
    assert (
        dependencies.lowest_cutoff(lambda _: [view], RUNS, later)
        == NO_DEPENDENCY
    )


def test_requests_of_operators_make_no_dependency():
    """Guards against cutoffs that go around between services.

    Operators ask each node on routes that need no key, as if its backend
    server had called them.
    """
    view = make_view(DependencyCutoff(0.5, 0))
    many_runs = 20 * MIN_CALLS
    dependencies = Dependencies()
    dependencies.record_call('b', 0.0)
    dependencies.lowest_cutoff(lambda _: [view], 0, 0.0)
    for _ in range(MIN_CALLS):
        dependencies.record_call('b', 1.0)
    assert dependencies.lowest_cutoff(lambda _: [view], many_runs, 2.0) == (
        NO_DEPENDENCY
    )
