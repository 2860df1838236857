"""Bound on calls that are sent to a second backend server."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class RetryKind(enum.Enum):
    """Whose repeats are counted together."""

    REQUEST = 'request'
    CHILD_CALL = 'continuation'


# Parts of the stated ratio that are used. A request that is repeated makes
# its calls again, so repeats add up along a chain: those of the request and
# of three calls come to 0.85 of the ratio, the rest is for windows that do
# not line up with this node's.
USED_RATIO_BY_KIND: Final = MappingProxyType({
    RetryKind.REQUEST: 0.4,
    RetryKind.CHILD_CALL: 0.15,
})
# Part of the minimum that is used by each kind.
USED_MINIMUM: Final = 0.12
# Seconds of requests whose unused retries are kept.
KEPT_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RetryThrottleSettings:
    """What all nodes together may repeat at one service.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    window : float
        Seconds over which repeats are counted.
    minimum : int
        Repeats in a window that are allowed without any request.
    """

    ratio: float
    window: float
    minimum: int


@dataclass(slots=True)
class _Account:
    level: float
    per_second: float
    updated_at: float


class RetryThrottle:
    """The part of the repeats that a node may make, by service.

    Each node repeats in proportion to the requests that it has sent itself,
    so the sum over all nodes keeps the bound without any messages.

    Parameters
    ----------
    bounds : RetryThrottleSettings
        What all nodes together may repeat.

    Examples
    --------
    >>> allowance = RetryThrottle(RetryThrottleSettings(0.2, 10.0, 48))
    >>> allowance.set_node_count(48)
    >>> kind = RetryKind.REQUEST
    >>> allowance.spend('s', kind, now=0.0)
    False
    >>> for _ in range(13):
    ...     allowance.deposit('s', kind, now=1.0)
    >>> [allowance.spend('s', kind, now=1.0) for _ in range(2)]
    [True, False]
    """

    def __init__(self, bounds: RetryThrottleSettings) -> None:
        self._bounds = bounds
        self._base = 0.0
        self._accounts: dict[tuple[str, RetryKind], _Account] = {}
        self.set_node_count(1)

    def set_node_count(self, count: int) -> None:
        """Take the number of nodes that share the minimum."""
        self._base = self._bounds.minimum * USED_MINIMUM / max(1, count)

    def deposit(self, service: str, kind: RetryKind, now: float) -> None:
        """Note a request that is sent to a service for the first time."""
        account = self._account(service, kind, now)
        account.per_second += 1.0 / KEPT_SECONDS
        ratio = self._bounds.ratio * USED_RATIO_BY_KIND[kind]
        ceiling = self._base + ratio * account.per_second * KEPT_SECONDS
        account.level = min(ceiling, account.level + ratio)

    def spend(self, service: str, kind: RetryKind, now: float) -> bool:
        """Take one repeat; False when none is left."""
        account = self._account(service, kind, now)
        if account.level < 1:
            return False
        account.level -= 1.0
        return True

    def _account(
        self,
        service: str,
        kind: RetryKind,
        now: float,
    ) -> _Account:
        account = self._accounts.get((service, kind))
        if account is None:
            account = _Account(self._base, 0.0, now)
            self._accounts[service, kind] = account
        passed = now - account.updated_at
        if passed > 0:
            account.updated_at = now
            account.per_second *= max(0.0, 1.0 - passed / KEPT_SECONDS)
            refill = self._base * passed / self._bounds.window
            if account.level < self._base:
                account.level = min(self._base, account.level + refill)
        return account
