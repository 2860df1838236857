"""Retry budget of one hop and share of retries among a node's calls."""

from mustardshunt.base import MAX_RETRIES_PER_REQUEST, check_range

# Calls that pay for one retry, so that at most 10 % of calls are retries.
CALLS_PER_RETRY = 10
# Retries that a quiet node may save up.
RETRY_BURST = 10


class HopRetryBudget:
    """Retries of one routed hop: what is held here and what the callee has.

    One of two or more retries is held back while the callee runs. Without it,
    a hop whose callee is lost could never be repeated, because what the
    callee had been lent must then be taken as spent.

    Parameters
    ----------
    retries : int
        Retries that the hop and everything below it may spend.

    Examples
    --------
    >>> budget = HopRetryBudget(2)
    >>> budget.lend()
    1
    >>> budget.settle(None)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    __slots__ = ('_lent', 'left')

    def __init__(self, retries: int) -> None:
        self.left = retries
        self._lent = 0

    def lend(self) -> int:
        """Return the retries that go with the next attempt."""
        self._lent = self.left - 1 if self.left > 1 else self.left
        self.left -= self._lent
        return self._lent

    def settle(self, unused: int | None) -> None:
        """Take back what the attempt left over.

        Parameters
        ----------
        unused : int or None
            Retries named in the callee's answer; None when no answer came,
            so that they may all have been spent. An attempt known not to
            have begun returns all that it was lent.
        """
        if unused is not None:
            self.left += min(max(unused, 0), self._lent)
        self._lent = 0

    def settle_unused(self) -> None:
        """Take back everything from an attempt that never began."""
        self.settle(self._lent)

    def spend(self) -> bool:
        """Spend one retry, False when there is none."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True


class RetryThrottle:
    """Token bucket that keeps a node's retries to a tenth of its calls.

    The level is counted in tenths of a retry, so that no rounding adds up.

    Parameters
    ----------
    burst : int
        Retries that may be saved up.
    initial : int
        Retries that a node may spend before its first call.
    """

    __slots__ = ('_cap', '_level')

    def __init__(self, burst: int, initial: int) -> None:
        self._cap = burst * CALLS_PER_RETRY
        self._level = initial * CALLS_PER_RETRY

    @property
    def allows(self) -> bool:
        """Whether a retry may be spent now."""
        return self._level >= CALLS_PER_RETRY

    def count_call(self) -> None:
        """Add what one first attempt pays."""
        if self._level < self._cap:
            self._level += 1

    def spend(self) -> bool:
        """Spend one retry, False when calls have not paid for it."""
        if self._level < CALLS_PER_RETRY:
            return False
        self._level -= CALLS_PER_RETRY
        return True


def make_retry_throttle(
    burst: int = RETRY_BURST,
    initial: int = MAX_RETRIES_PER_REQUEST,
) -> RetryThrottle:
    """Return a bucket after a check of its parameters.

    Parameters
    ----------
    burst : int, default=10
        Retries that may be saved up.
    initial : int, default=2
        Retries before the first call, so that a node that has just started
        can serve one whole request.

    Examples
    --------
    >>> ratio = make_retry_throttle(initial=0)
    >>> ratio.spend()
    False
    >>> for _ in range(10):
    ...     ratio.count_call()
    >>> ratio.spend(), ratio.spend()
    (True, False)
    """
    check_range('burst', burst, 1)
    check_range('initial', initial, 0, burst)
    return RetryThrottle(burst, initial)
