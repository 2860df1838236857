"""Decides whether a call can still end in time at the backend server."""

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, Protocol

from mustardshunt.upstream._events import AdmissionRequest

# Runs of a route from which its typical duration is computed. The median of
# them is not affected by the 15 of 100 runs that take 2.5 times as long.
COUNTED_RUNS: Final = 15
# With fewer runs, the duration is unknown.
MIN_RUNS: Final = 5
# A duration counts for this long after the last run. Afterwards calls start
# again, and their runs tell whether the backend server is still slow.
MAX_AGE_SECONDS: Final = 10.0
# Routes whose durations are stored; the one without a run for longest is
# removed first.
MAX_ROUTES: Final = 256


class StartRule(Protocol):
    """Tells which calls are refused because they cannot end in time.

    Parameters
    ----------
    refused_calls : int
        Calls that were refused so far.
    """

    refused_calls: int

    def is_too_late(self, request: AdmissionRequest, now: float) -> bool:
        """Tell whether a call that starts now would end too late."""
        ...

    def record_run(self, route: str, seconds: float, now: float) -> None:
        """Record the duration of a successful run."""
        ...

    def record_refusal(self) -> None:
        """Count a call that is refused because it cannot end in time."""
        ...


class StartAlways:
    """Starts calls however little time is left for them."""

    def __init__(self) -> None:
        self.refused_calls = 0

    def is_too_late(self, request: AdmissionRequest, now: float) -> bool:
        """Return False."""
        return False

    def record_run(self, route: str, seconds: float, now: float) -> None:
        """Ignore the run."""

    def record_refusal(self) -> None:
        """Ignore the refusal, which this rule never causes."""


@dataclass(slots=True)
class _RouteRuns:
    seconds: deque[float] = field(
        default_factory=lambda: deque(maxlen=COUNTED_RUNS)
    )
    typical: float = 0.0
    recorded_at: float = 0.0


class TypicalRuns:
    """Learns how long runs of each route take at this backend server.

    Only successful runs are recorded. They have ended within their deadlines,
    so the typical duration never exceeds the timeout of the route, and calls
    with their whole time left are not refused because others were too slow.

    Examples
    --------
    >>> runs = TypicalRuns()
    >>> call = AdmissionRequest('k', 0, False, 'o', 9.0, 'read', 2.0)
    >>> runs.is_too_late(call, now=1.9)
    False
    >>> for _ in range(MIN_RUNS):
    ...     runs.record_run('read', 0.3, now=1.0)
    >>> runs.is_too_late(call, now=1.6), runs.is_too_late(call, now=1.8)
    (False, True)
    """

    def __init__(self) -> None:
        self.refused_calls = 0
        self._runs_by_route: OrderedDict[str, _RouteRuns] = OrderedDict()

    def is_too_late(self, request: AdmissionRequest, now: float) -> bool:
        """Tell whether a typical run from now on ends after the deadline."""
        return now + self.typical(request.route, now) > request.end_deadline

    def typical(self, route: str, now: float) -> float:
        """Return the typical duration of a run in seconds, 0 if unknown."""
        runs = self._runs_by_route.get(route)
        if runs is None or now - runs.recorded_at > MAX_AGE_SECONDS:
            return 0.0
        return runs.typical

    def record_run(self, route: str, seconds: float, now: float) -> None:
        """Record the duration of a successful run of a route.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            Time from the start of the call to its answer.
        now : float
            Time in seconds.
        """
        runs = self._runs_by_route.get(route)
        if runs is None or now - runs.recorded_at > MAX_AGE_SECONDS:
            runs = _RouteRuns()
            self._runs_by_route[route] = runs
        self._runs_by_route.move_to_end(route)
        if len(self._runs_by_route) > MAX_ROUTES:
            self._runs_by_route.popitem(last=False)
        runs.seconds.append(seconds)
        runs.recorded_at = now
        if len(runs.seconds) >= MIN_RUNS:
            runs.typical = statistics.median(runs.seconds)

    def record_refusal(self) -> None:
        """Count a call that is refused because it cannot end in time."""
        self.refused_calls += 1
