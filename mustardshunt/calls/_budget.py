"""Bounds on retries: the budget of one hop and the throttle of a node."""

from mustardshunt.base import MAX_RETRIES_PER_REQUEST, check_range

# Number of first attempts that earn one retry, so that a node's retries are at
# most 10 % of its first attempts.
CALLS_PER_RETRY = 10
# Most unspent retries that a node may accumulate while it needs none.
RETRY_BURST = 10


class HopRetryBudget:
    """Retry budget of one hop, shared by this node and the callee.

    Each attempt lends retries to the callee for the calls below it. If two or
    more retries are left, this node keeps one of them while the callee runs.
    When the callee is lost, the lent retries count as spent, and this node can
    still retry the hop with the retry that it kept.

    Parameters
    ----------
    retries : int
        Retries that the hop and all calls below it may spend together.

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
        """Lend retries to the callee for the next attempt; return how many."""
        self._lent = self.left - 1 if self.left > 1 else self.left
        self.left -= self._lent
        return self._lent

    def settle(self, unused: int | None) -> None:
        """Take back the retries that the attempt did not spend.

        Parameters
        ----------
        unused : int or None
            Unspent retries according to the callee's reply, at most the number
            of lent retries. None when there was no reply, so that all lent
            retries may have been spent.
        """
        if unused is not None:
            self.left += min(max(unused, 0), self._lent)
        self._lent = 0

    def settle_unused(self) -> None:
        """Take back all lent retries, because the attempt did not start."""
        self.settle(self._lent)

    def spend(self) -> bool:
        """Spend one retry; return False when none is left."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True


class RetryThrottle:
    """Token bucket that limits a node's retries to a tenth of its calls.

    The number of unspent retries is kept as an integer in tenths of a retry, so
    that rounding errors cannot accumulate.

    Parameters
    ----------
    burst : int
        Most unspent retries that may accumulate.
    initial : int
        Retries that the node may spend before its first call.
    """

    __slots__ = ('_capacity', '_level')

    def __init__(self, burst: int, initial: int) -> None:
        self._capacity = burst * CALLS_PER_RETRY
        self._level = initial * CALLS_PER_RETRY

    @property
    def allows(self) -> bool:
        """Whether the node has earned at least one retry that is unspent."""
        return self._level >= CALLS_PER_RETRY

    def count_call(self) -> None:
        """Add the tenth of a retry that each first attempt earns."""
        if self._level < self._capacity:
            self._level += 1

    def spend(self) -> bool:
        """Spend one retry; return False when none has been earned."""
        if self._level < CALLS_PER_RETRY:
            return False
        self._level -= CALLS_PER_RETRY
        return True


def make_retry_throttle(
    burst: int = RETRY_BURST,
    initial: int = MAX_RETRIES_PER_REQUEST,
) -> RetryThrottle:
    """Return a retry throttle after a check of its parameters.

    Parameters
    ----------
    burst : int, default=10
        Most unspent retries that may accumulate.
    initial : int, default=2
        Retries that may be spent before the first call. The default lets a
        node that has just started use the whole retry budget of one request.

    Raises
    ------
    ParameterError
        The burst is below 1, or the initial number is not in 0 to the burst.

    Examples
    --------
    >>> throttle = make_retry_throttle(initial=0)
    >>> throttle.spend()
    False
    >>> for _ in range(10):
    ...     throttle.count_call()
    >>> throttle.spend(), throttle.spend()
    (True, False)
    """
    check_range('burst', burst, 1)
    check_range('initial', initial, 0, burst)
    return RetryThrottle(burst, initial)
