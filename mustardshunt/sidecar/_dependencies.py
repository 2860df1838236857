"""Overload of the services that a backend server calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardshunt.upstream import BackendServerStatus

# A service that was not called for this long is no longer a dependency.
FORGET_SECONDS: Final = 5.0
# Fewer calls than this in that time say nothing of what requests need.
MIN_CALLS: Final = 10
# Most runs of the backend server call what it depends on. Fewer calls than
# this for each run are requests of operators that need no key either.
LEAST_CALLS_FOR_RUN: Final = 0.2
# Chains are at most this long; in a circle of services a cutoff that has
# gone around would otherwise keep itself up.
MAX_HOPS: Final = 7


@dataclass(frozen=True, slots=True)
class DependencyCutoff:
    """Which ranks the services down the chain accept.

    Parameters
    ----------
    cutoff : float
        Positions below this are accepted.
    hops : int
        Calls down the chain at which the cutoff arose.
    """

    cutoff: float
    hops: int


NO_DEPENDENCY: Final = DependencyCutoff(float('inf'), 0)


@dataclass(slots=True)
class _Calls:
    count: int
    since: float
    started_before: int | None = None
    is_dependency: bool = False

    def is_usual(self, started: int) -> bool:
        """Tell whether the runs since then made so many calls."""
        runs = started - (self.started_before or 0)
        least = max(MIN_CALLS, runs * LEAST_CALLS_FOR_RUN)
        return self.count >= least


class Dependencies:
    """Learns which services the backend server calls.

    Examples
    --------
    >>> from mustardshunt.upstream import ServerPhase
    >>> dependencies = Dependencies()
    >>> for _ in range(MIN_CALLS):
    ...     dependencies.record_call('stock', now=1.0)
    >>> view = BackendServerStatus(ServerPhase.READY, False, 9, 9, 1.5, 1)
    >>> dependencies.lowest_cutoff(lambda service: [view], started=4, now=1.0)
    DependencyCutoff(cutoff=1.5, hops=2)
    """

    def __init__(self) -> None:
        self._calls_by_service: dict[str, _Calls] = {}

    def record_call(self, service: str, now: float) -> None:
        """Note that the backend server has called a service."""
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = _Calls(0, now)
            self._calls_by_service[service] = calls
        calls.count += 1

    def lowest_cutoff(
        self,
        views: Callable[[str], list[BackendServerStatus]],
        started: int,
        now: float,
    ) -> DependencyCutoff:
        """Return the lowest cutoff of the services that are called.

        Parameters
        ----------
        views : callable
            Returns the states of the members of a service.
        started : int
            Calls that the backend server has run so far.
        now : float
            Time in seconds.
        """
        lowest = NO_DEPENDENCY
        for service, calls in list(self._calls_by_service.items()):
            if calls.started_before is None:
                calls.started_before = started
            if now - calls.since > FORGET_SECONDS:
                calls.is_dependency = calls.is_usual(started)
                calls.count = 0
                calls.since = now
                calls.started_before = started
            elif calls.is_usual(started):
                calls.is_dependency = True
            if not calls.is_dependency:
                continue
            found = _mean_cutoff(views(service))
            if found.cutoff < lowest.cutoff:
                lowest = found
        return lowest


def _mean_cutoff(views: list[BackendServerStatus]) -> DependencyCutoff:
    near = [view for view in views if view.hops + 1 < MAX_HOPS]
    if not near:
        return NO_DEPENDENCY
    return DependencyCutoff(
        sum(view.cutoff for view in near) / len(near),
        1 + max(view.hops for view in near),
    )
