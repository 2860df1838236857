"""Bounds the retries that this node sends to each service."""

from mustardshunt.base import Clock
from mustardshunt.caps import (
    Cap,
    CapBounds,
    make_retry_caps,
    make_usage_caps,
    retry_cap_name,
)
from mustardshunt.load_balancing import (
    RetryKind,
    RetryLedger,
    RetryLimit,
    RetryThrottle,
)
from mustardshunt.policy import Policy
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._settings import BoundsSection, SidecarSettings


def make_node_caps(policy: Policy, bounds: BoundsSection) -> dict[str, Cap]:
    """Return all caps of which a node holds shares.

    Parameters
    ----------
    policy : Policy
        Active policy.
    bounds : BoundsSection
        Limits that hold for all nodes together.
    """
    services = set(policy.service_by_name)
    for route in policy.route_by_name.values():
        services.update(part.service for part in route.weighted_services)
    usage_bounds = CapBounds(bounds.cap_overage, bounds.cap_slack)
    return {
        **make_usage_caps(policy.organisation_by_name, usage_bounds),
        **make_retry_caps(
            sorted(services),
            [kind.value for kind in RetryKind],
            bounds.retry_minimum,
            bounds.retry_window,
        ),
    }


def make_retry_limit(settings: SidecarSettings) -> RetryLimit:
    """Return the limit of retries that the settings choose."""
    bounds = settings.bounds
    if settings.overload.chain_admission:
        return RetryLedger(bounds.retry_ratio, bounds.retry_window)
    return RetryThrottle(bounds.retry_ratio)


class RetryBudget:
    """Spends a token for each retry.

    The requests of this node allow some retries. Where they are too few, as on
    each node of a large deployment, a token is taken from the retries that all
    nodes together may send without any requests.

    Parameters
    ----------
    limit : RetryLimit
        Retries that are allowed in proportion to the requests of this node.
    rate_limiter : RateLimiter
        Holds the shares of the retries that are allowed without requests.
    metrics : SidecarMetrics
        Counts retries.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        limit: RetryLimit,
        rate_limiter: RateLimiter,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._limit = limit
        self._rate_limiter = rate_limiter
        self._metrics = metrics
        self._clock = clock

    def record_request(self, service: str, kind: RetryKind, route: str) -> bool:
        """Record the first attempt of a call, which allows some retries.

        Returns True if the call counts as made by a repeated run.
        """
        return self._limit.deposit(service, kind, self._clock.now(), route)

    async def acquire(
        self,
        service: str,
        kind: RetryKind,
        latency_objective: float,
        failed_route: str = '',
    ) -> bool:
        """Spend a token; return False if the call must not be retried.

        Parameters
        ----------
        service : str
            Service to which the call is sent again.
        kind : RetryKind
            Kind of the call.
        latency_objective : float
            Seconds within which the request should be answered.
        failed_route : str, default=''
            Route of the call if the last attempt may have run, empty if the
            backend server rejected it.
        """
        now = self._clock.now()
        if self._limit.spend(service, kind, now, failed_route):
            self._metrics.count_retry(service, 'requests')
            return True
        is_allowed = await self._rate_limiter.acquire(
            retry_cap_name(service, kind.value), latency_objective
        )
        self._metrics.count_retry(service, 'minimum' if is_allowed else 'none')
        return is_allowed
