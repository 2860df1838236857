"""Cutoff that a backend server inherits from the services it calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardshunt.upstream import BackendServerStatus

# Window over which calls of a service are counted; a service that is not
# called during a window is no longer a dependency.
WINDOW_SECONDS: Final = 5.0
# Fewer calls than this in a window do not make a service a dependency.
MIN_CALLS: Final = 10
# Most runs of the backend server call each of its dependencies. Fewer calls
# per run than this are requests of operators, which need no key either and
# look like calls of the backend server.
MIN_CALLS_PER_RUN: Final = 0.2
# Longest chain of services. In a cycle of services, a cutoff would otherwise
# be passed on for ever and never rise again.
MAX_HOPS: Final = 7


@dataclass(frozen=True, slots=True)
class DependencyCutoff:
    """Lowest cutoff of the services that requests need.

    Parameters
    ----------
    cutoff : float
        Priority ranks below this are accepted.
    hops : int
        Calls between this backend server and the overloaded one.
    """

    cutoff: float
    hops: int


NO_DEPENDENCY: Final = DependencyCutoff(float('inf'), 0)


@dataclass(slots=True)
class _CallCount:
    count: int
    window_start: float
    started_before: int | None = None
    is_dependency: bool = False

    def is_frequent(self, started: int) -> bool:
        """Tell whether the runs in this window made enough calls."""
        runs = started - (self.started_before or 0)
        required = max(MIN_CALLS, runs * MIN_CALLS_PER_RUN)
        return self.count >= required


class Dependencies:
    """Learns which services the backend server calls.

    The backend server accepts no more requests than the services it calls,
    so that its requests are not refused halfway.

    Examples
    --------
    >>> from mustardshunt.upstream import ServerPhase
    >>> dependencies = Dependencies()
    >>> for _ in range(MIN_CALLS):
    ...     dependencies.record_call('stock', now=1.0)
    >>> status = BackendServerStatus(ServerPhase.READY, False, 9, 9, 1.5, 1)
    >>> dependencies.lowest_cutoff(lambda service: [status], 4, now=1.0)
    DependencyCutoff(cutoff=1.5, hops=2)
    """

    def __init__(self) -> None:
        self._calls_by_service: dict[str, _CallCount] = {}

    def record_call(self, service: str, now: float) -> None:
        """Count a call of the backend server to a service."""
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = _CallCount(0, now)
            self._calls_by_service[service] = calls
        calls.count += 1

    def lowest_cutoff(
        self,
        statuses: Callable[[str], list[BackendServerStatus]],
        started: int,
        now: float,
    ) -> DependencyCutoff:
        """Return the lowest cutoff of the services that are called.

        Parameters
        ----------
        statuses : callable
            Returns the statuses of the members of a service, by its name.
        started : int
            Number of calls that the backend server has started so far.
        now : float
            Time in seconds.
        """
        lowest = NO_DEPENDENCY
        for service, calls in list(self._calls_by_service.items()):
            if calls.started_before is None:
                calls.started_before = started
            if now - calls.window_start > WINDOW_SECONDS:
                calls.is_dependency = calls.is_frequent(started)
                calls.count = 0
                calls.window_start = now
                calls.started_before = started
            elif calls.is_frequent(started):
                calls.is_dependency = True
            if not calls.is_dependency:
                continue
            mean = _mean_cutoff(statuses(service))
            if mean.cutoff < lowest.cutoff:
                lowest = mean
        return lowest


def _mean_cutoff(statuses: list[BackendServerStatus]) -> DependencyCutoff:
    nearby = [status for status in statuses if status.hops + 1 < MAX_HOPS]
    if not nearby:
        return NO_DEPENDENCY
    return DependencyCutoff(
        sum(status.cutoff for status in nearby) / len(nearby),
        1 + max(status.hops for status in nearby),
    )
