"""Learns which routes of a backend server need other services."""

from dataclasses import dataclass
from typing import Final

# A route counts as dependent (its requests need other services) if at least
# this number and at least this fraction of its requests fail. Only requests
# that end while a called service is overloaded are counted. The fraction is
# required because backend servers also fail for reasons of their own.
MIN_FAILURES: Final = 3
MIN_FAILED_FRACTION: Final = 0.1
# When this many requests of a route have been counted, its counts of all
# requests and of failed requests are halved, so that newer requests weigh
# more.
MAX_COUNTED_RUNS: Final = 200


@dataclass(slots=True)
class _RunCounts:
    ended: float = 0.0
    failed: float = 0.0


class DependentRoutes:
    """Learns which routes need the services that a backend server calls.

    A call from a backend server does not name the request that caused it,
    so the routes are learnt from failures: while a called service is
    overloaded, requests that need this service fail or take too long, and
    other requests do not.

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
        """Count a request that ended while a called service was overloaded.

        Parameters
        ----------
        route : str
            Name of the route of the request.
        has_failed : bool
            Whether the backend server answered with a server error or did
            not answer.
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
