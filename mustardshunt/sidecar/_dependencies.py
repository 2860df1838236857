"""Cutoff that a backend server inherits from the services it calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardshunt.upstream import (
    BackendServerStatus,
    ChainCutoff,
    ChainCutoffChange,
)

# Length of the time window in which calls to each service are counted. A
# service that gets too few calls in a window is no longer a dependency.
WINDOW_SECONDS: Final = 5.0
# Least number of calls in a window that makes a service a dependency.
MIN_CALLS: Final = 10
# Least ratio of calls to a service to requests that the backend server runs; a
# service with a lower ratio is not a dependency. Most requests call each true
# dependency. A lower ratio comes from operators: their requests carry no API
# key, so the node counts them as calls from the backend server.
MIN_CALLS_PER_RUN: Final = 0.2
# Longest chain of services along which a cutoff is passed on. Without this
# limit, services that call each other in a cycle would pass on a low cutoff for
# ever, and the cutoff would never rise again.
MAX_HOPS: Final = 7
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class DependencyCutoff:
    """Lowest cutoff among the services that a backend server calls.

    Parameters
    ----------
    cutoff : float
        Requests with a priority rank below this cutoff are accepted.
    hops : int
        Number of calls in the chain from this backend server to the overloaded
        backend server.
    """

    cutoff: float
    hops: int

    def percent(self, own_cutoff: float) -> int:
        """Return the lower of this and another cutoff, times 100."""
        return int(min(own_cutoff, self.cutoff) * _PERCENT)


NO_DEPENDENCY: Final = DependencyCutoff(float('inf'), 0)


@dataclass(slots=True)
class _CallCount:
    count: int
    window_start: float
    started_before: int | None = None
    is_dependency: bool = False

    def is_frequent(self, started: int) -> bool:
        """Tell whether this window has enough calls to make a dependency."""
        runs = started - (self.started_before or 0)
        required = max(MIN_CALLS, runs * MIN_CALLS_PER_RUN)
        return self.count >= required


class Dependencies:
    """Learns which services the backend server calls.

    While a called service accepts only requests of some priorities, the backend
    server accepts only requests of these priorities too. Otherwise the backend
    server would run requests that fail halfway, when they call that service.

    With chain admission, the same holds while a called service rejects calls
    and too few retries are allowed for them.

    Parameters
    ----------
    has_chain_admission : bool, default=False
        Whether a shortage of retries lowers the cutoff.

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

    def __init__(self, has_chain_admission: bool = False) -> None:
        self._has_chain_admission = has_chain_admission
        self._calls_by_service: dict[str, _CallCount] = {}
        self._chain_cutoff_by_service: dict[str, ChainCutoff] = {}

    def record_call(self, service: str, now: float) -> None:
        """Count a call from the backend server to a service."""
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = _CallCount(0, now)
            self._calls_by_service[service] = calls
        calls.count += 1

    def record_end(
        self, service: str, rejections: int, has_failed: bool
    ) -> None:
        """Count a call from the backend server that has ended.

        Parameters
        ----------
        service : str
            Service that was called.
        rejections : int
            Attempts of the call that the service has rejected.
        has_failed : bool
            Whether the call failed for want of a retry.
        """
        if not self._has_chain_admission:
            return
        cutoff = self._chain_cutoff_by_service.get(service)
        if cutoff is None:
            # The number of ranks is set at the next adjustment.
            cutoff = ChainCutoff(float('inf'))
            self._chain_cutoff_by_service[service] = cutoff
        cutoff.record_call(rejections, has_failed)

    def adjust_chain_cutoffs(
        self,
        rank_count: float,
        retry_rate: Callable[[str, float], float],
        now: float,
    ) -> dict[str, ChainCutoffChange]:
        """Adapt the cutoffs to the retries that the called services need.

        The method must be called every 0.1 s.

        Parameters
        ----------
        rank_count : float
            Number of priority ranks.
        retry_rate : callable
            Takes the name of a service and the time, and returns the retries
            per second that are allowed.
        now : float
            Time in seconds.

        Returns
        -------
        dict of str to ChainCutoffChange
            Changes worth a log line, by service.
        """
        change_by_service = {}
        for service, cutoff in self._chain_cutoff_by_service.items():
            cutoff.set_maximum(rank_count)
            change = cutoff.adjust(now, retry_rate(service, now))
            if change is not None:
                change_by_service[service] = change
        return change_by_service

    def lacks_retries(
        self,
        priority_rank: int,
        running: int,
        tokens: Callable[[str], float],
    ) -> bool:
        """Tell whether a run that needs a called service would fail halfway.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the run.
        running : int
            Runs that have begun.
        tokens : callable
            Takes the name of a service and returns the retries that are
            allowed now.
        """
        for service, cutoff in self._chain_cutoff_by_service.items():
            if cutoff.is_lowered and cutoff.lacks_retries(
                priority_rank, running, tokens(service)
            ):
                return True
        return False

    def chain_cutoff(self, service: str) -> float:
        """Return the cutoff for want of retries to a service.

        The result is infinite if no requests are refused.
        """
        cutoff = self._chain_cutoff_by_service.get(service)
        if cutoff is None or not cutoff.is_lowered:
            return float('inf')
        return cutoff.value

    def services_with_chain_cutoffs(self) -> list[str]:
        """Return the services of which calls have been rejected."""
        return list(self._chain_cutoff_by_service)

    def lowest_cutoff(
        self,
        statuses: Callable[[str], list[BackendServerStatus]],
        started: int,
        now: float,
    ) -> DependencyCutoff:
        """Return the lowest cutoff among the services that are called.

        Each service's cutoff is the mean of the cutoffs of its members.

        Parameters
        ----------
        statuses : callable
            Takes the name of a service and returns the statuses of its
            members.
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
            lowest = min(
                lowest,
                _mean_cutoff(statuses(service)),
                DependencyCutoff(self.chain_cutoff(service), 1),
                key=lambda dependency: dependency.cutoff,
            )
        return lowest


def _mean_cutoff(statuses: list[BackendServerStatus]) -> DependencyCutoff:
    nearby = [status for status in statuses if status.hops + 1 < MAX_HOPS]
    if not nearby:
        return NO_DEPENDENCY
    return DependencyCutoff(
        sum(status.cutoff for status in nearby) / len(nearby),
        1 + max(status.hops for status in nearby),
    )
