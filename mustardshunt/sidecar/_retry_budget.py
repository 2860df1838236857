"""Bounds the retries that this node sends to each service."""

from mustardshunt.base import Clock
from mustardshunt.caps import (
    Cap,
    CapBounds,
    make_retry_caps,
    make_usage_caps,
    retry_cap_name,
)
from mustardshunt.load_balancing import RetryKind, RetryThrottle
from mustardshunt.policy import Policy
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._settings import BoundsSection


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


class RetryBudget:
    """Spends a token for each retry.

    The requests of this node allow some retries. Where they are too few, as on
    each node of a large deployment, a token is taken from the retries that all
    nodes together may send without any requests.

    Parameters
    ----------
    throttle : RetryThrottle
        Retries that are allowed in proportion to the requests of this node.
    rate_limiter : RateLimiter
        Holds the shares of the retries that are allowed without requests.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        throttle: RetryThrottle,
        rate_limiter: RateLimiter,
        clock: Clock,
    ) -> None:
        self._throttle = throttle
        self._rate_limiter = rate_limiter
        self._clock = clock

    def record_request(self, service: str, kind: RetryKind) -> None:
        """Record the first attempt of a call, which allows some retries."""
        self._throttle.deposit(service, kind, self._clock.now())

    async def acquire(
        self, service: str, kind: RetryKind, latency_objective: float
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
        """
        if self._throttle.spend(service, kind, self._clock.now()):
            return True
        return await self._rate_limiter.acquire(
            retry_cap_name(service, kind.value), latency_objective
        )
