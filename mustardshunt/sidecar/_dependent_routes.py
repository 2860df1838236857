"""Learns which routes of a backend server need other services."""

from dataclasses import dataclass
from typing import Final

from mustardshunt.relay import Answered, AnswerLost, Call
from mustardshunt.sidecar._ports import RunAdmission

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
_SERVER_ERROR: Final = 500


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

    Parameters
    ----------
    keeps_routes : bool, default=False
        Whether a route that has become dependent stays so until the overload
        ends. Where a service rejects calls, the cutoff leaves only as many
        requests as retries suffice for, and nearly all of them succeed. Without
        keeping, the route would be admitted whole after a second.

    Examples
    --------
    >>> routes = DependentRoutes()
    >>> for has_failed in (True, False, True, False, True):
    ...     routes.record_end('booking', has_failed)
    ...     routes.record_end('payment', has_failed=False)
    >>> routes.is_dependent('booking'), routes.is_dependent('payment')
    (True, False)
    """

    def __init__(self, keeps_routes: bool = False) -> None:
        self._keeps_routes = keeps_routes
        self._runs_by_route: dict[str, _RunCounts] = {}
        self._kept_routes: set[str] = set()

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
        if self._keeps_routes and self._is_failing(counts):
            self._kept_routes.add(route)

    def end_overload(self) -> None:
        """Forget the routes that were kept, as no service is overloaded."""
        if not self._kept_routes:
            return
        self._kept_routes.clear()
        # The next overload may be of another service, which other routes need.
        self._runs_by_route.clear()

    def is_dependent(self, route: str) -> bool:
        """Tell whether a route needs services that the backend server calls."""
        if route in self._kept_routes:
            return True
        counts = self._runs_by_route.get(route)
        return counts is not None and self._is_failing(counts)

    def _is_failing(self, counts: _RunCounts) -> bool:
        if counts.failed < MIN_FAILURES:
            return False
        return counts.failed >= MIN_FAILED_FRACTION * counts.ended


def has_failed(result: Answered | AnswerLost) -> bool:
    """Tell whether a run failed or has no answer."""
    return isinstance(result, AnswerLost) or result.status >= _SERVER_ERROR


def lacks_retries(
    call: Call,
    run_admission: RunAdmission | None,
    routes: DependentRoutes,
    running: int,
    now: float,
) -> bool:
    """Tell whether a run would fail halfway for want of retries.

    Parameters
    ----------
    call : Call
        Call that would run.
    run_admission : RunAdmission or None
        Knows the retries that are left, None without chain admission.
    routes : DependentRoutes
        Routes whose runs need other services.
    running : int
        Runs that have begun.
    now : float
        Time in seconds.
    """
    if run_admission is None or not routes.is_dependent(call.route):
        return False
    return run_admission.lacks_retries(call.priority_rank, running, now)
