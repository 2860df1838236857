"""Times after which refused callers are asked to retry."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.base import RandomSource, Reason
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._refusals import (
    MIN_RETRY_AFTER_SECONDS,
    RETRY_AFTER_FRACTION,
    RefusedError,
)
from mustardshunt.sidecar._request_context import RequestContext
from mustardshunt.sidecar._settings import OverloadSection

# Refusals with other reasons have their own rules for ``Retry-After``.
REASONS_FOR_WANT_OF_ROOM: Final = frozenset((
    Reason.OVERLOADED,
    Reason.REJECTED,
))
# A forecast is not used when it is older than this.
MAX_FORECAST_AGE_SECONDS: Final = 2.0
# Services and priority ranks whose last forecasts are stored. The largest
# deployment has 46 services.
MAX_FORECASTS: Final = 512
# Callers wait for at most this part of their remaining time.
MAX_REMAINING_RATIO: Final = 1 / 3
# Callers wait for at most this part of the latency objective, as without a
# forecast. With a third of the remaining time, which may be several objectives,
# they would come back too late and take the capacity from others.
MAX_OBJECTIVE_RATIO: Final = RETRY_AFTER_FRACTION
# Bounds of the random factor of a forecast. Callers that get the same forecast
# come back within the period in which capacity becomes free.
MIN_SPREAD: Final = 0.5
MAX_SPREAD: Final = 1.5
# Bounds of the random factor of a time that is cut. With 0.75 and 1.25, as
# without a forecast, a request was refused 4.3 times instead of 4.0.
MIN_CUT_SPREAD: Final = 0.25
MAX_CUT_SPREAD: Final = 1.75


class RetryTimes(Protocol):
    """Chooses the time after which a refused caller may retry."""

    def record_forecast(
        self, service: str, priority_rank: int, seconds: float, now: float
    ) -> None:
        """Record the forecast of a refusal by a node of the service."""
        ...

    def adjust(
        self, refusal: RefusedError, context: RequestContext, now: float
    ) -> RefusedError:
        """Return a refusal of a request with the time to be sent."""
        ...


class FormerRetryTimes:
    """Leaves the time as it is: a random part of the latency objective."""

    def record_forecast(
        self, service: str, priority_rank: int, seconds: float, now: float
    ) -> None:
        """Ignore the forecast."""

    def adjust(
        self, refusal: RefusedError, context: RequestContext, now: float
    ) -> RefusedError:
        """Return the refusal unchanged."""
        return refusal


@dataclass(frozen=True, slots=True)
class _Forecast:
    seconds: float
    received_at: float

    def is_recent(self, now: float) -> bool:
        """Tell whether the forecast may be used at the time ``now``."""
        return now - self.received_at <= MAX_FORECAST_AGE_SECONDS


@dataclass(frozen=True, slots=True)
class RefusedCaller:
    """What a node knows of a caller that it refuses.

    Parameters
    ----------
    priority_rank : int
        Priority rank of the request, 0 is the most important.
    remaining : float
        Seconds until the caller gives up.
    objective : float
        Seconds within which requests of the route should be answered.
    """

    priority_rank: int
    remaining: float
    objective: float


class RoomForecasts:
    """Last forecasts of the services that this node calls.

    Examples
    --------
    >>> import random
    >>> forecasts = RoomForecasts(random.Random(1))
    >>> forecasts.record('stock', 0, 0.4, now=1.0)
    >>> caller = RefusedCaller(priority_rank=2, remaining=6.0, objective=1.5)
    >>> 0.2 <= forecasts.retry_after('stock', caller, now=1.5) <= 0.6
    True
    >>> forecasts.retry_after('stock', caller, now=3.5) is None
    True
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random = random_source
        self._forecasts: OrderedDict[tuple[str, int], _Forecast] = OrderedDict()

    def record(
        self, service: str, priority_rank: int, seconds: float, now: float
    ) -> None:
        """Store the forecast of a service for a priority rank."""
        key = (service, priority_rank)
        self._forecasts[key] = _Forecast(seconds, now)
        self._forecasts.move_to_end(key)
        if len(self._forecasts) > MAX_FORECASTS:
            self._forecasts.popitem(last=False)

    def retry_after(
        self, service: str, caller: RefusedCaller, now: float
    ) -> float | None:
        """Return the seconds after which a refused caller may retry.

        Parameters
        ----------
        service : str
            Service that has refused the request.
        caller : RefusedCaller
            What is known of the caller.
        now : float
            Time in seconds.

        Returns
        -------
        float or None
            None if no recent forecast is known.
        """
        forecast = self._find(service, caller.priority_rank, now)
        if forecast is None:
            return None
        random_number = self._random.random()
        spread = MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * random_number
        cut_spread = MIN_CUT_SPREAD
        cut_spread += (MAX_CUT_SPREAD - MIN_CUT_SPREAD) * random_number
        seconds = min(
            forecast * spread,
            caller.objective * MAX_OBJECTIVE_RATIO * cut_spread,
            caller.remaining * MAX_REMAINING_RATIO,
        )
        return max(MIN_RETRY_AFTER_SECONDS, seconds)

    def _find(
        self, service: str, priority_rank: int, now: float
    ) -> float | None:
        # A forecast for a more important rank is a lower bound: a rank that is
        # refused by the cutoff gets no forecast of its own.
        for rank in range(priority_rank, -1, -1):
            forecast = self._forecasts.get((service, rank))
            if forecast is not None and forecast.is_recent(now):
                return forecast.seconds
        return None


class ForecastRetryTimes:
    """Retry times that follow the forecasts of the called services.

    Without a recent forecast, the time of the refusal stays as it is.

    Parameters
    ----------
    forecasts : RoomForecasts
        Last forecasts of the called services.
    log : EventLog
        Log of the services for which forecasts come into use or are missing.
    metrics : SidecarMetrics
        Counts refusals by the rule for their retry times.
    """

    def __init__(
        self, forecasts: RoomForecasts, log: EventLog, metrics: SidecarMetrics
    ) -> None:
        self._forecasts = forecasts
        self._log = log
        self._metrics = metrics
        self._services_with_forecast: set[str] = set()

    def record_forecast(
        self, service: str, priority_rank: int, seconds: float, now: float
    ) -> None:
        """Store the forecast of a refusal, unless it is 0 (unknown)."""
        if seconds > 0:
            self._forecasts.record(service, priority_rank, seconds, now)

    def adjust(
        self, refusal: RefusedError, context: RequestContext, now: float
    ) -> RefusedError:
        """Return a refusal whose retry time follows the forecast.

        Only refusals for want of room are changed.
        """
        if refusal.reason not in REASONS_FOR_WANT_OF_ROOM:
            return refusal
        seconds = self._forecasts.retry_after(
            context.service, _refused_caller(context, now), now
        )
        has_forecast = seconds is not None
        self._log_change(context.service, has_forecast, now)
        self._metrics.count_retry_time(context.service, has_forecast)
        if seconds is None:
            return refusal
        return RefusedError(refusal.reason, seconds)

    def _log_change(self, service: str, has_forecast: bool, now: float) -> None:
        if has_forecast == (service in self._services_with_forecast):
            return
        if has_forecast:
            self._services_with_forecast.add(service)
        else:
            self._services_with_forecast.discard(service)
        self._log.record(
            'retry-forecast', now, service=service, is_known=has_forecast
        )


def _refused_caller(context: RequestContext, now: float) -> RefusedCaller:
    remaining = context.deadline - now
    seconds_left = context.metadata.seconds_left
    if seconds_left is not None:
        # The deadline of the request may be the shorter timeout of its route.
        remaining = context.started_at + seconds_left - now
    return RefusedCaller(
        context.priority_rank, remaining, context.route.latency_objective
    )


def make_retry_times(
    overload: OverloadSection,
    random_source: RandomSource,
    log: EventLog,
    metrics: SidecarMetrics,
) -> RetryTimes:
    """Make the rule for retry times that the settings select."""
    if not overload.forecast_retry_after:
        return FormerRetryTimes()
    return ForecastRetryTimes(RoomForecasts(random_source), log, metrics)
