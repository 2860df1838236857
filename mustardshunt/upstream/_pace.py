"""Mean duration of the runs of each route at a backend server."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

# Runs of a route before its mean is known. With fewer runs, one that takes
# seven times as long changes the mean by a third.
MIN_RUNS: Final = 20
# A longer run counts as this many means. A few runs take several times as long
# as the others for reasons that say nothing of the backend server.
MAX_RUN_RATIO: Final = 2.0
# Weight of a new run in a known mean.
SMOOTHING_FACTOR: Final = 1 / 32
# Routes whose means are kept. The route that has had no run for longest gives
# way.
MAX_ROUTES: Final = 64


# When a route has had this many runs, the counts of all routes are halved, so
# that the busiest route is that of the last runs.
MAX_COUNTED_RUNS: Final = 1024


@dataclass(frozen=True, slots=True)
class RouteMean:
    """Mean duration of the runs of one route.

    Parameters
    ----------
    route : str
        Name of the route, empty if no mean is known.
    seconds : float
        Mean duration in seconds, 0 if unknown.
    """

    route: str = ''
    seconds: float = 0.0


@dataclass(slots=True)
class _RouteRuns:
    first: list[float] = field(default_factory=list)
    mean: float = 0.0
    count: float = 0.0


class PaceMeter:
    """Measures how long runs take at one backend server, for each route.

    Routes are kept apart, since the runs of one may take ten times as long as
    those of another: a mean over all of them would follow the mix of routes.
    The duration of a run includes the child calls that it waits for. These
    cannot be told apart, and they keep the slot and the caller waiting as well.

    Examples
    --------
    >>> meter = PaceMeter()
    >>> for _ in range(20):
    ...     meter.record_run('order', 0.2)
    >>> round(meter.mean_run('order'), 3), meter.mean_run('browse')
    (0.2, 0.0)
    """

    def __init__(self) -> None:
        self._runs_by_route: OrderedDict[str, _RouteRuns] = OrderedDict()

    def record_run(self, route: str, seconds: float) -> None:
        """Record the duration of a run that has ended with success.

        A run that fails ends early or late for another reason than the pace of
        the backend server, and must not be recorded.
        """
        runs = self._runs_of(route)
        if runs.mean:
            counted = min(seconds, MAX_RUN_RATIO * runs.mean)
            runs.mean += SMOOTHING_FACTOR * (counted - runs.mean)
            return
        runs.first.append(seconds)
        if len(runs.first) >= MIN_RUNS:
            runs.mean = _bounded_mean(runs.first)
            runs.first = []

    def record_cut_run(self, route: str, seconds: float) -> None:
        """Record a run that was cut off while it took longer than the mean.

        Without these, a backend server whose slow runs are all cut off at their
        deadlines would look as fast as the few runs that end.
        """
        if seconds > self.mean_run(route):
            self.record_run(route, seconds)

    def mean_run(self, route: str) -> float:
        """Return the mean duration of a route's runs in seconds, 0 if unknown.

        A run that takes more than ``MAX_RUN_RATIO`` means counts as this many.
        """
        runs = self._runs_by_route.get(route)
        return 0.0 if runs is None else runs.mean

    def busiest(self) -> RouteMean:
        """Return the mean of the route with the most recent runs."""
        busiest = RouteMean()
        count = 0.0
        for route, runs in self._runs_by_route.items():
            if runs.mean and runs.count > count:
                busiest = RouteMean(route, runs.mean)
                count = runs.count
        return busiest

    def _runs_of(self, route: str) -> _RouteRuns:
        runs = self._runs_by_route.get(route)
        if runs is None:
            if len(self._runs_by_route) >= MAX_ROUTES:
                self._runs_by_route.popitem(last=False)
            runs = _RouteRuns()
            self._runs_by_route[route] = runs
        self._runs_by_route.move_to_end(route)
        runs.count += 1
        if runs.count >= MAX_COUNTED_RUNS:
            for counted in self._runs_by_route.values():
                counted.count /= 2
        return runs


def _bounded_mean(durations: list[float]) -> float:
    """Return the mean of durations, the longest limited to its double."""
    mean = sorted(durations)[len(durations) // 2]
    # The limit follows the mean; three steps bring it within a hundredth.
    for _ in range(3):
        limit = MAX_RUN_RATIO * mean
        mean = sum(min(limit, seconds) for seconds in durations)
        mean /= len(durations)
    return mean
