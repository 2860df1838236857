"""Durations of the runs at the backend server beside this node."""

from dataclasses import replace
from typing import Final

from mustardshunt.base import Clock
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendFailure,
    BackendOutcome,
    FailureKind,
    NotRun,
)
from mustardshunt.sidecar._served_call import MS_PER_SECOND, ServedCall
from mustardshunt.upstream import BackendServerStatus, PaceMeter

# Client errors end runs as early as failures do.
_COUNTED: Final = range(200, 400)


class RunPace:
    """Measures the runs that end, and adds their mean to what callers get.

    Parameters
    ----------
    meter : PaceMeter
        Mean durations of runs by route.
    clock : Clock
        Source of the time.
    """

    def __init__(self, meter: PaceMeter, clock: Clock) -> None:
        self._meter = meter
        self._clock = clock

    def record(
        self,
        served: ServedCall,
        outcome: BackendOutcome,
        result: Answered | NotRun | AnswerLost,
    ) -> Answered | NotRun | AnswerLost:
        """Record the duration of a run that has ended.

        Returns
        -------
        Answered or NotRun or AnswerLost
            The result of the call. An answer has the mean duration of the runs
            of its route.
        """
        route = served.call.route
        if isinstance(result, Answered):
            if result.status in _COUNTED:
                self._meter.record_run(route, self._seconds(served))
            mean_run = self._meter.mean_run(route)
            return replace(result, mean_run_ms=_milliseconds(mean_run))
        is_cut = (
            isinstance(outcome, BackendFailure)
            and outcome.kind is FailureKind.CANCELLED
        )
        if is_cut and served.sent_at:
            self._meter.record_cut_run(route, self._seconds(served))
        return result

    def add_to(self, status: BackendServerStatus) -> BackendServerStatus:
        """Return a status with the mean run of the busiest route."""
        busiest = self._meter.busiest()
        return replace(
            status, mean_run=busiest.seconds, mean_run_route=busiest.route
        )

    def _seconds(self, served: ServedCall) -> float:
        return self._clock.now() - served.sent_at


def _milliseconds(seconds: float) -> int:
    """Return a duration in milliseconds; 0 is kept for an unknown one."""
    if not seconds:
        return 0
    return max(1, round(seconds * MS_PER_SECOND))
