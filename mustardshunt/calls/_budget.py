"""Limits on retries: a budget for each hop and a throttle for each node."""

from mustardshunt.base import MAX_RETRIES_PER_REQUEST, check_range

# Number of first attempts that allow one retry. A node's retries are therefore
# at most 10 % of its first attempts, apart from the initial ones.
CALLS_PER_RETRY = 10
# Most unspent retries that a node may accumulate.
RETRY_BURST = 10


class HopRetryBudget:
    """Retry budget of one hop, divided between this node and the callee.

    In each attempt, this node transfers retries from the budget to the callee.
    The callee may spend these retries on calls further down the chain. If two
    or more retries are left, this node keeps one of them while the callee runs.
    If one is left, the callee gets that one. When the callee does not reply,
    the retries that it got count as spent. This node can then retry the hop
    with the retry that it kept.

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
        """Take retries for the callee of the next attempt out of the budget.

        Returns
        -------
        int
            Number of retries that the callee may spend.
        """
        self._lent = self.left - 1 if self.left > 1 else self.left
        self.left -= self._lent
        return self._lent

    def settle(self, unused: int | None) -> None:
        """Add back the retries that the callee of the attempt did not spend.

        Parameters
        ----------
        unused : int or None
            Unspent retries according to the callee's reply. A number above the
            retries that the callee got is lowered to their number. None when
            there was no reply: the callee may have spent all its retries.
        """
        if unused is not None:
            self.left += min(max(unused, 0), self._lent)
        self._lent = 0

    def settle_unused(self) -> None:
        """Add back all retries of an attempt that did not start."""
        self.settle(self._lent)

    def spend(self) -> bool:
        """Spend one retry of this hop; return False when none is left."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True


class RetryThrottle:
    """Token bucket that limits the retries of a node to a tenth of its calls.

    Each first attempt adds a tenth of a retry. Unspent retries are counted in
    whole tenths, so that rounding errors cannot accumulate.

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
        """Whether the node has at least one unspent retry."""
        return self._level >= CALLS_PER_RETRY

    def count_call(self) -> None:
        """Add a tenth of a retry for a first attempt."""
        if self._level < self._capacity:
            self._level += 1

    def spend(self) -> bool:
        """Spend one retry of the node; return False when none is left."""
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
        The burst is below 1, or the initial number is below 0 or above the
        burst.

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
