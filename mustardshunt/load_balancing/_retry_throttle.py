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
# A token bucket can save at most the retries that the requests of this many
# seconds allow.
SAVED_SECONDS: Final = 2.0


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
    allowed_ratio : float
        Retries that all nodes together may send for each request.

    Examples
    --------
    >>> throttle = RetryThrottle(allowed_ratio=0.2)
    >>> kind = RetryKind.REQUEST
    >>> throttle.spend('s', kind, now=0.0)
    False
    >>> for _ in range(13):
    ...     _ = throttle.deposit('s', kind, now=1.0)
    >>> [throttle.spend('s', kind, now=1.0) for _ in range(2)]
    [True, False]
    """

    def __init__(self, allowed_ratio: float) -> None:
        self._allowed_ratio = allowed_ratio
        self._bucket_by_service_and_kind: dict[
            tuple[str, RetryKind], _Bucket
        ] = {}

    def set_allowed_ratio(self, allowed_ratio: float) -> None:
        """Use another ratio; saved tokens above it are dropped.

        Parameters
        ----------
        allowed_ratio : float
            Retries that all nodes together may send for each request.
        """
        self._allowed_ratio = allowed_ratio
        for (_, kind), bucket in self._bucket_by_service_and_kind.items():
            bucket.tokens = min(self._capacity(bucket, kind), bucket.tokens)

    def set_window(self, window: float) -> None:
        """Change nothing: saved tokens do not depend on the window."""

    def record_run(self, is_repeat: bool, now: float) -> None:
        """Change nothing: fixed fractions cover the calls of repeated runs."""

    def deposit(
        self, service: str, kind: RetryKind, now: float, route: str = ''
    ) -> bool:
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
        route : str, default=''
            Not used: all routes of a service share their tokens.

        Returns
        -------
        bool
            Always False: calls of repeated runs earn as others do.
        """
        bucket = self._refilled_bucket(service, kind, now)
        bucket.request_rate += 1.0 / SAVED_SECONDS
        ratio = self._allowed_ratio * RATIO_FACTOR_BY_KIND[kind]
        bucket.tokens = min(self._capacity(bucket, kind), bucket.tokens + ratio)
        return False

    def spend(
        self, service: str, kind: RetryKind, now: float, failed_route: str = ''
    ) -> bool:
        """Spend a token for a retry, if a token is left.

        Parameters
        ----------
        service : str
            Service to which the call is sent again.
        kind : RetryKind
            Kind of the call.
        now : float
            Time in seconds.
        failed_route : str, default=''
            Not used: retries of all causes cost the same.

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

    def available(self, service: str, now: float) -> float:
        """Return the tokens for a service after its last call."""
        return sum(
            bucket.tokens
            for (
                name,
                _,
            ), bucket in self._bucket_by_service_and_kind.items()
            if name == service
        )

    def rate(self, service: str, now: float) -> float:
        """Return the tokens per second for a service at its last call."""
        return sum(
            self._allowed_ratio
            * RATIO_FACTOR_BY_KIND[kind]
            * bucket.request_rate
            for (name, kind), bucket in self._bucket_by_service_and_kind.items()
            if name == service
        )

    def services(self) -> list[str]:
        """Return the names of the services with requests."""
        return sorted({
            service for service, _ in self._bucket_by_service_and_kind
        })

    def _capacity(self, bucket: _Bucket, kind: RetryKind) -> float:
        ratio = self._allowed_ratio * RATIO_FACTOR_BY_KIND[kind]
        return ratio * bucket.request_rate * SAVED_SECONDS

    def _refilled_bucket(
        self,
        service: str,
        kind: RetryKind,
        now: float,
    ) -> _Bucket:
        bucket = self._bucket_by_service_and_kind.get((service, kind))
        if bucket is None:
            bucket = _Bucket(0.0, 0.0, now)
            self._bucket_by_service_and_kind[service, kind] = bucket
        elapsed = now - bucket.updated_at
        if elapsed > 0:
            bucket.updated_at = now
            bucket.request_rate *= max(0.0, 1.0 - elapsed / SAVED_SECONDS)
        return bucket
