"""Cutoffs that are inherited along a chain of services."""

from mustardshunt.sidecar._dependencies import (
    MAX_HOPS,
    MIN_CALLS,
    NO_DEPENDENCY,
    WINDOW_SECONDS,
    Dependencies,
    DependencyCutoff,
)
from mustardshunt.upstream import BackendServerStatus, ServerPhase

MAX_CUTOFF = 3.0
# Number of calls that the backend server has started so far.
STARTED_CALLS = 4


def make_status(cutoff: DependencyCutoff) -> BackendServerStatus:
    if cutoff.cutoff < MAX_CUTOFF:
        return BackendServerStatus(
            ServerPhase.READY, False, 0, 9, cutoff.cutoff, cutoff.hops
        )
    return BackendServerStatus(ServerPhase.READY, False, 0, 9, MAX_CUTOFF)


def make_dependencies_on(service: str) -> Dependencies:
    dependencies = Dependencies()
    for _ in range(MIN_CALLS):
        dependencies.record_call(service, 0.0)
    return dependencies


def test_cutoff_rises_again_in_a_cycle_of_services():
    """The cutoff must rise again in a cycle of services.

    Two services that call each other could pass a low cutoff back and forth for
    ever. Requests would then stay refused after the overload has ended.
    """
    first = make_dependencies_on('b')
    second = make_dependencies_on('a')
    first_cutoff = DependencyCutoff(0.3, 0)
    second_cutoff = NO_DEPENDENCY
    for _ in range(MAX_HOPS + 1):
        status = make_status(first_cutoff)
        second_cutoff = second.lowest_cutoff(
            lambda _, status=status: [status], STARTED_CALLS, 0.1
        )
        status = make_status(second_cutoff)
        first_cutoff = first.lowest_cutoff(
            lambda _, status=status: [status], STARTED_CALLS, 0.1
        )
    assert first_cutoff.cutoff >= MAX_CUTOFF
    assert second_cutoff.cutoff >= MAX_CUTOFF


def test_cutoff_reaches_the_start_of_a_chain():
    """The cutoff of the last service must reach the start of a chain.

    Otherwise the first service would accept requests that the last service
    refuses, and these requests would fail halfway.
    """
    cutoff = DependencyCutoff(1.5, 0)
    for depth in range(1, 6):
        status = make_status(cutoff)
        dependencies = make_dependencies_on('next')
        cutoff = dependencies.lowest_cutoff(
            lambda _, status=status: [status], STARTED_CALLS, 0.1
        )
        assert cutoff == DependencyCutoff(1.5, depth)


def test_few_calls_make_no_dependency():
    """A rarely called service must not pass on its cutoff."""
    dependencies = Dependencies()
    for _ in range(MIN_CALLS - 1):
        dependencies.record_call('b', 0.0)
    status = make_status(DependencyCutoff(0.5, 0))
    assert (
        dependencies.lowest_cutoff(lambda _: [status], STARTED_CALLS, 0.1)
        == NO_DEPENDENCY
    )


def test_service_that_is_no_longer_called_is_no_dependency():
    """A service that is no longer called must not pass on its cutoff."""
    dependencies = make_dependencies_on('b')
    status = make_status(DependencyCutoff(0.5, 0))
    assert (
        dependencies.lowest_cutoff(
            lambda _: [status], STARTED_CALLS, 1.0
        ).cutoff
        < MAX_CUTOFF
    )
    dependencies.lowest_cutoff(
        lambda _: [status], STARTED_CALLS, 1.0 + WINDOW_SECONDS
    )
    later = 2.0 + 2 * WINDOW_SECONDS
    assert (
        dependencies.lowest_cutoff(lambda _: [status], STARTED_CALLS, later)
        == NO_DEPENDENCY
    )


def test_requests_of_operators_make_no_dependency():
    """Requests of operators must not make a service a dependency.

    Operators send requests without an API key to each node. Such requests look
    like calls from the backend server of the node. The backend server must not
    inherit the cutoff of a service that only operators call.
    """
    status = make_status(DependencyCutoff(0.5, 0))
    many_started_calls = 20 * MIN_CALLS
    dependencies = Dependencies()
    dependencies.record_call('b', 0.0)
    dependencies.lowest_cutoff(lambda _: [status], 0, 0.0)
    for _ in range(MIN_CALLS):
        dependencies.record_call('b', 1.0)
    assert dependencies.lowest_cutoff(
        lambda _: [status], many_started_calls, 2.0
    ) == (NO_DEPENDENCY)
