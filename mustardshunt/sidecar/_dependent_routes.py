"""Which routes of a backend server fail when the services it calls do."""

from dataclasses import dataclass
from typing import Final

# Failures while a called service is overloaded that show a dependency, and
# the part of the runs that they have to be: backend servers also fail for
# reasons of their own.
MIN_FAILURES: Final = 3
LEAST_FAILED_PART: Final = 0.1
# Runs after which older ones count half.
KEPT_RUNS: Final = 200


@dataclass(slots=True)
class _Runs:
    ended: float = 0.0
    failed: float = 0.0


class DependentRoutes:
    """Learns which routes need the services that a backend server calls.

    A call that a backend server makes does not tell for which request it is
    made. But while a called service is overloaded, the requests that need it
    fail or take too long, and the others do not.

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
        self._runs_by_route: dict[str, _Runs] = {}

    def record_end(self, route: str, has_failed: bool) -> None:
        """Note a run that ended while a called service was overloaded.

        Parameters
        ----------
        route : str
            Name of its route.
        has_failed : bool
            Whether the backend server failed, or was too late.
        """
        runs = self._runs_by_route.setdefault(route, _Runs())
        runs.ended += 1.0
        runs.failed += float(has_failed)
        if runs.ended >= KEPT_RUNS:
            runs.ended /= 2
            runs.failed /= 2

    def is_dependent(self, route: str) -> bool:
        """Tell whether a route needs the services that are called."""
        runs = self._runs_by_route.get(route)
        if runs is None or runs.failed < MIN_FAILURES:
            return False
        return runs.failed >= LEAST_FAILED_PART * runs.ended
