"""Requests that need no other service are served while one is overloaded."""

import pytest

from mustardshunt.base import VmAddress
from mustardshunt.load_balancing import Member, MemberLoad
from mustardshunt.sidecar._dependent_route_cache import (
    KEPT_SECONDS,
    DependentRouteCache,
)
from mustardshunt.sidecar._dependent_routes import (
    KEPT_RUNS,
    MIN_FAILURES,
    DependentRoutes,
)
from mustardshunt.upstream import BackendServerStatus, ServerPhase

OWN = 3.0
OF_DEPENDENCY = 0.4


def make_load() -> MemberLoad:
    member = Member('n', 'n-1', 'desk', 'z', VmAddress('127.0.0.1', 1))
    view = BackendServerStatus(
        ServerPhase.READY, False, 0, 9, OF_DEPENDENCY, 2, OWN
    )
    return MemberLoad(member, view, cutoff=OF_DEPENDENCY)


def test_route_whose_runs_fail_is_dependent_and_another_is_not():
    """Guards against payments refused for a stock service they never call."""
    routes = DependentRoutes()
    for number in range(40):
        routes.record_end('booking', has_failed=number % 2 == 0)
        routes.record_end('payment', has_failed=False)
    assert routes.is_dependent('booking')
    assert not routes.is_dependent('payment')


@pytest.mark.parametrize('failures', [0, 1, MIN_FAILURES - 1])
def test_few_failures_show_no_dependency(failures: int):
    routes = DependentRoutes()
    for _ in range(failures):
        routes.record_end('payment', has_failed=True)
    assert not routes.is_dependent('payment')


def test_failures_of_the_backend_server_itself_show_no_dependency():
    routes = DependentRoutes()
    for number in range(3 * KEPT_RUNS):
        routes.record_end('payment', has_failed=number % 50 == 0)
    assert not routes.is_dependent('payment')


def test_dependent_route_stays_so_while_the_cutoff_keeps_it_whole():
    """Guards against an overload anew each time that it is controlled."""
    routes = DependentRoutes()
    for number in range(30):
        routes.record_end('booking', has_failed=number < 20)
    for _ in range(KEPT_RUNS // 2):
        routes.record_end('booking', has_failed=False)
    assert routes.is_dependent('booking')


def test_entry_refuses_by_the_cutoff_that_concerns_the_route():
    known = DependentRouteCache()
    known.note('booking', is_dependent=True, now=0.0)
    known.note('payment', is_dependent=False, now=0.0)
    load = make_load()
    assert known.cutoff('booking', load, 1.0) == OF_DEPENDENCY
    assert known.cutoff('payment', load, 1.0) == OWN


def test_what_an_answer_has_told_is_forgotten():
    known = DependentRouteCache()
    known.note('booking', is_dependent=True, now=0.0)
    assert known.cutoff('booking', make_load(), KEPT_SECONDS) == OWN


def test_overloaded_member_refuses_every_route():
    load = make_load()
    load.status = BackendServerStatus(
        ServerPhase.READY, False, 9, 9, 0.4, 0, 0.4
    )
    assert DependentRouteCache().cutoff('payment', load, 1.0) == OF_DEPENDENCY
