"""Routes of a backend server that need the services it calls."""

from dataclasses import dataclass
from typing import Final

# A route is dependent after this many failures while a called service is
# overloaded, and only if they are this fraction of its runs: backend servers
# also fail for reasons of their own.
MIN_FAILURES: Final = 3
MIN_FAILED_FRACTION: Final = 0.1
# Both counts of a route are halved at this many runs, so that newer runs
# weigh more.
MAX_COUNTED_RUNS: Final = 200


@dataclass(slots=True)
class _RunCounts:
    ended: float = 0.0
    failed: float = 0.0


class DependentRoutes:
    """Learns which routes need the services that a backend server calls.

    A call of a backend server carries no reference to the request that
    caused it. While a called service is overloaded, however, the requests
    that need it fail or take too long, and the others do not.

    Examples
    --------
    >>> routes = DependentRoutes()
    >>> for has_failed in (True, False, True, False, True):
    ...     routes.record_end('booking', has_failed)
    ...     routes.record_end('payment', has_failed=False)
    >>> routes.is_dependent('booking'), routes.is_dependent('payment')
    (True, False)
    """

    def __init__(self) -> None:
        self._runs_by_route: dict[str, _RunCounts] = {}

    def record_end(self, route: str, has_failed: bool) -> None:
        """Count a run that ended while a called service was overloaded.

        Parameters
        ----------
        route : str
            Name of the route that was run.
        has_failed : bool
            Whether the backend server answered with an error or not at all.
        """
        counts = self._runs_by_route.setdefault(route, _RunCounts())
        counts.ended += 1.0
        counts.failed += float(has_failed)
        if counts.ended >= MAX_COUNTED_RUNS:
            counts.ended /= 2
            counts.failed /= 2

    def is_dependent(self, route: str) -> bool:
        """Tell whether a route needs services that the backend server calls."""
        counts = self._runs_by_route.get(route)
        if counts is None or counts.failed < MIN_FAILURES:
            return False
        return counts.failed >= MIN_FAILED_FRACTION * counts.ended
