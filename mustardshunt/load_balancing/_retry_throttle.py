"""Retry throttle: limits the retries that a node sends to each service."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class RetryKind(enum.Enum):
    """Kind of a call: the request of a caller, or a child call.

    The retries of each kind are limited separately.
    """

    REQUEST = 'request'
    CHILD_CALL = 'continuation'


# Fraction of the allowed retry ratio that each kind of call may use. A retried
# request makes its child calls again, so retries add up along a chain. The
# retries of a request and of three nested child calls are at most
# 0.4 + 3 x 0.15 = 0.85 of the ratio. The remaining 0.15 is kept in reserve,
# because the ratio is checked over other time windows than those of this node.
RATIO_FACTOR_BY_KIND: Final = MappingProxyType({
    RetryKind.REQUEST: 0.4,
    RetryKind.CHILD_CALL: 0.15,
})
# The settings allow a minimum of retries even without requests. Each kind of
# call may use this fraction of the minimum.
MINIMUM_FACTOR: Final = 0.12
# A token bucket can save at most the retries that the requests of this many
# seconds allow, in addition to its part of the minimum.
SAVED_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RetryThrottleSettings:
    """Bound on the retries of all nodes together at one service.

    Parameters
    ----------
    ratio : float
        Retries that are allowed for each request.
    window : float
        Seconds over which retries are counted.
    minimum : int
        Retries that are allowed in each window even without any requests.
    """

    ratio: float
    window: float
    minimum: int


@dataclass(slots=True)
class _Bucket:
    tokens: float
    request_rate: float
    updated_at: float


class RetryThrottle:
    """Limits the retries of this node to each service by token buckets.

    The retries of a node are in proportion to the requests that the same node
    has sent. All nodes together therefore stay within the bound, although they
    exchange no messages about retries.

    Parameters
    ----------
    settings : RetryThrottleSettings
        Bound on the retries of all nodes together.

    Examples
    --------
    >>> throttle = RetryThrottle(RetryThrottleSettings(0.2, 10.0, 48))
    >>> throttle.set_node_count(48)
    >>> kind = RetryKind.REQUEST
    >>> throttle.spend('s', kind, now=0.0)
    False
    >>> for _ in range(13):
    ...     throttle.deposit('s', kind, now=1.0)
    >>> [throttle.spend('s', kind, now=1.0) for _ in range(2)]
    [True, False]
    """

    def __init__(self, settings: RetryThrottleSettings) -> None:
        self._settings = settings
        self._min_capacity = 0.0
        self._bucket_by_service_and_kind: dict[
            tuple[str, RetryKind], _Bucket
        ] = {}
        self.set_node_count(1)

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes among which the minimum is divided.

        The minimum is the number of retries that all nodes together may send
        even without requests.
        """
        self._min_capacity = (
            self._settings.minimum * MINIMUM_FACTOR / max(1, count)
        )

    def deposit(self, service: str, kind: RetryKind, now: float) -> None:
        """Add tokens for retries.

        The method must be called for the first attempt of each call.

        Parameters
        ----------
        service : str
            Service to which the call is sent.
        kind : RetryKind
            Kind of the call.
        now : float
            Time in seconds.
        """
        bucket = self._refilled_bucket(service, kind, now)
        bucket.request_rate += 1.0 / SAVED_SECONDS
        ratio = self._settings.ratio * RATIO_FACTOR_BY_KIND[kind]
        capacity = (
            self._min_capacity + ratio * bucket.request_rate * SAVED_SECONDS
        )
        bucket.tokens = min(capacity, bucket.tokens + ratio)

    def spend(self, service: str, kind: RetryKind, now: float) -> bool:
        """Spend a token for a retry, if a token is left.

        Parameters
        ----------
        service : str
            Service to which the call is sent again.
        kind : RetryKind
            Kind of the call.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if a token was spent and the call may be retried. False if no
            token is left and the call must not be retried.
        """
        bucket = self._refilled_bucket(service, kind, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled_bucket(
        self,
        service: str,
        kind: RetryKind,
        now: float,
    ) -> _Bucket:
        bucket = self._bucket_by_service_and_kind.get((service, kind))
        if bucket is None:
            bucket = _Bucket(self._min_capacity, 0.0, now)
            self._bucket_by_service_and_kind[service, kind] = bucket
        elapsed = now - bucket.updated_at
        if elapsed > 0:
            bucket.updated_at = now
            bucket.request_rate *= max(0.0, 1.0 - elapsed / SAVED_SECONDS)
            refill = self._min_capacity * elapsed / self._settings.window
            if bucket.tokens < self._min_capacity:
                bucket.tokens = min(self._min_capacity, bucket.tokens + refill)
        return bucket
