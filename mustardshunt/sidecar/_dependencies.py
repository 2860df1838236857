"""Overload of the services that a backend server calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardshunt.upstream import GateView

# A service that was not called for this long is no longer a dependency.
FORGET_SECONDS: Final = 5.0
# Fewer calls than this in that time say nothing of what requests need.
LEAST_CALLS: Final = 10
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
    is_dependency: bool = False


class Dependencies:
    """Learns which services the backend server calls.

    Examples
    --------
    >>> from mustardshunt.upstream import ServerPhase
    >>> dependencies = Dependencies()
    >>> for _ in range(LEAST_CALLS):
    ...     dependencies.note_call('stock', now=1.0)
    >>> view = GateView(ServerPhase.READY, False, 9, 9, 1.5, 1)
    >>> dependencies.lowest(lambda service: [view], now=1.0)
    DependencyCutoff(cutoff=1.5, hops=2)
    """

    def __init__(self) -> None:
        self._calls_by_service: dict[str, _Calls] = {}

    def note_call(self, service: str, now: float) -> None:
        """Note that the backend server has called a service."""
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = _Calls(0, now)
            self._calls_by_service[service] = calls
        calls.count += 1
        if calls.count >= LEAST_CALLS:
            calls.is_dependency = True

    def lowest(
        self,
        views: Callable[[str], list[GateView]],
        now: float,
    ) -> DependencyCutoff:
        """Return the lowest cutoff of the services that are called.

        Parameters
        ----------
        views : callable
            Returns the states of the members of a service.
        now : float
            Time in seconds.
        """
        lowest = NO_DEPENDENCY
        for service, calls in list(self._calls_by_service.items()):
            if now - calls.since > FORGET_SECONDS:
                calls.is_dependency = calls.count >= LEAST_CALLS
                calls.count = 0
                calls.since = now
            if not calls.is_dependency:
                continue
            found = _mean_cutoff(views(service))
            if found.cutoff < lowest.cutoff:
                lowest = found
        return lowest


def _mean_cutoff(views: list[GateView]) -> DependencyCutoff:
    near = [view for view in views if view.hops + 1 < MAX_HOPS]
    if not near:
        return NO_DEPENDENCY
    return DependencyCutoff(
        sum(view.cutoff for view in near) / len(near),
        1 + max(view.hops for view in near),
    )
