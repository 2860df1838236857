"""Bound on calls that are sent to a second backend server."""

from dataclasses import dataclass
from typing import Final

# The stated ratio is counted over all nodes and over windows that do not
# line up with this node's; half of it leaves room for both.
USED_RATIO: Final = 0.5
USED_MINIMUM: Final = 0.35
# Seconds of requests whose unused retries are kept.
KEPT_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RetryBounds:
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


class RetryAllowance:
    """This node's part of the repeats, by service.

    Each node repeats in proportion to the requests that it has sent itself,
    so the sum over all nodes keeps the bound without any messages.

    Parameters
    ----------
    bounds : RetryBounds
        What all nodes together may repeat.

    Examples
    --------
    >>> allowance = RetryAllowance(RetryBounds(0.2, 10.0, 48))
    >>> allowance.set_nodes(48)
    >>> allowance.take('s', now=0.0)
    False
    >>> for _ in range(10):
    ...     allowance.deposit('s', now=1.0)
    >>> allowance.take('s', now=1.0), allowance.take('s', now=1.0)
    (True, False)
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self._bounds = bounds
        self._base = 0.0
        self._by_service: dict[str, _Account] = {}
        self.set_nodes(1)

    def set_nodes(self, count: int) -> None:
        """Take the number of nodes that share the minimum."""
        self._base = self._bounds.minimum * USED_MINIMUM / max(1, count)

    def deposit(self, service: str, now: float) -> None:
        """Note a request that is sent to a service for the first time."""
        account = self._account(service, now)
        account.per_second += 1.0 / KEPT_SECONDS
        ratio = self._bounds.ratio * USED_RATIO
        ceiling = self._base + ratio * account.per_second * KEPT_SECONDS
        account.level = min(ceiling, account.level + ratio)

    def take(self, service: str, now: float) -> bool:
        """Take one repeat; False when none is left."""
        account = self._account(service, now)
        if account.level < 1.0:
            return False
        account.level -= 1.0
        return True

    def _account(self, service: str, now: float) -> _Account:
        account = self._by_service.get(service)
        if account is None:
            account = _Account(self._base, 0.0, now)
            self._by_service[service] = account
        passed = now - account.updated_at
        if passed > 0:
            account.updated_at = now
            account.per_second *= max(0.0, 1.0 - passed / KEPT_SECONDS)
            refill = self._base * passed / self._bounds.window
            if account.level < self._base:
                account.level = min(self._base, account.level + refill)
        return account
