"""Ledger of retries: one account for each service at each node.

The rule counts, over all nodes and for each service, in any window, the calls
that are not the first of a request. They may be at most the allowed ratio times
the requests of that window, of the one before, or of the one half a window
before. Nodes exchange no messages about retries, so each node keeps a rule of
its own whose sum over the nodes keeps the rule:

- A node whose windows had the requests ``a``, ``b`` and ``c`` may send
  ``ratio x (0.1 a + 0.8 b + 0.1 c)`` retries in the window. The sum over the
  nodes is a weighted mean of the three sums that the rule compares, and so at
  most the largest of them. A node that took the largest of its own three would
  break the rule, since the largest may be another window at each node.
- A retry is checked against all windows that will contain it, as if no more
  requests came. How retries are timed therefore makes no difference.
- 0.85 of the ratio is for the retries of this node. 0.15 is for the calls of
  runs that are themselves repeats: in a chain of four services these come from
  the three services above the last. Repeats of runs are therefore limited for
  each route, to 0.1 of the ratio for requests of callers and to 0.025 for child
  calls (0.1 + 2 x 0.025 = 0.15). A limit for each service would not do: the
  repeats could all be of the route that makes the most calls.

A retry after a rejection repeats no calls, since nothing has run.
"""

from types import MappingProxyType
from typing import Final, Protocol

from mustardshunt.load_balancing._retry_account import (
    BINS,
    RepeatShare,
    RetryAccount,
)
from mustardshunt.load_balancing._retry_throttle import RetryKind

# Fraction of the ratio that the calls of this node earn; the rest is for calls
# of repeated runs.
EARNED_FRACTION: Final = 0.85
# Fraction of the ratio for repeats of runs, for each route.
RUN_FRACTION_BY_KIND: Final = MappingProxyType({
    RetryKind.REQUEST: 0.1,
    RetryKind.CHILD_CALL: 0.025,
})


class RetryLimit(Protocol):
    """Limits the retries of this node to each service."""

    def set_allowed_ratio(self, allowed_ratio: float) -> None:
        """Use another ratio of retries to requests."""
        ...

    def set_window(self, window: float) -> None:
        """Use another length, in seconds, of the windows of the rule."""
        ...

    def record_run(self, is_repeat: bool, now: float) -> None:
        """Count a run of the backend server beside this node."""
        ...

    def deposit(
        self, service: str, kind: RetryKind, now: float, route: str = ''
    ) -> bool:
        """Count a first attempt; tell whether a repeated run has made it."""
        ...

    def spend(
        self, service: str, kind: RetryKind, now: float, failed_route: str = ''
    ) -> bool:
        """Spend a token for a retry, if a token is left."""
        ...

    def available(self, service: str, now: float) -> float:
        """Return the retries to a service that are allowed now."""
        ...

    def rate(self, service: str, now: float) -> float:
        """Return the retries per second that are allowed for some time."""
        ...

    def services(self) -> list[str]:
        """Return the names of the services with requests."""
        ...


class RetryLedger:
    """Limits the retries of this node to each service by windows.

    Parameters
    ----------
    allowed_ratio : float
        Retries that all nodes together may send for each request.
    window : float
        Seconds over which retries are counted.

    Examples
    --------
    >>> ledger = RetryLedger(allowed_ratio=0.2, window=10.0)
    >>> kind = RetryKind.REQUEST
    >>> for _ in range(200):
    ...     _ = ledger.deposit('s', kind, now=0.0)
    >>> [ledger.spend('s', kind, now=1.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self, allowed_ratio: float, window: float) -> None:
        self._allowed_ratio = allowed_ratio
        self._window = window
        self._account_by_service: dict[str, RetryAccount] = {}
        self._account_by_run: dict[tuple[str, RetryKind], RetryAccount] = {}
        self._repeats = RepeatShare()

    def set_allowed_ratio(self, allowed_ratio: float) -> None:
        """Use another ratio; requests already counted earn by the new one.

        Parameters
        ----------
        allowed_ratio : float
            Retries that all nodes together may send for each request.
        """
        self._allowed_ratio = allowed_ratio
        for account in self._account_by_service.values():
            account.set_ratio(allowed_ratio * EARNED_FRACTION)
        for (_, kind), account in self._account_by_run.items():
            account.set_ratio(allowed_ratio * RUN_FRACTION_BY_KIND[kind])

    def set_window(self, window: float) -> None:
        """Use another length of the windows.

        The accounts begin empty if the length changes, since the bins of the
        former length do not fit the new windows.

        Parameters
        ----------
        window : float
            Seconds over which retries are counted.
        """
        if window == self._window:
            return
        self._window = window
        self._account_by_service.clear()
        self._account_by_run.clear()

    def record_run(self, is_repeat: bool, now: float) -> None:
        """Count a run of the backend server beside this node.

        Parameters
        ----------
        is_repeat : bool
            Whether an earlier attempt of the call may have run.
        now : float
            Time in seconds.
        """
        self._repeats.record(is_repeat, now)

    def deposit(
        self, service: str, kind: RetryKind, now: float, route: str = ''
    ) -> bool:
        """Count the first attempt of a call.

        Child calls do not name the run that makes them. The share of them that
        counts as made by repeated runs equals the share of such runs.

        Parameters
        ----------
        service : str
            Service to which the call is sent.
        kind : RetryKind
            Kind of the call.
        now : float
            Time in seconds.
        route : str, default=''
            Route of the call.

        Returns
        -------
        bool
            True if the call counts as made by a repeated run. It then costs a
            token and earns nothing, and its own run counts as repeated.
        """
        account = self._service_account(service)
        number = self._bin_number(now)
        if kind is RetryKind.CHILD_CALL and account.is_repeated(
            self._repeats.share(now)
        ):
            account.charge(number)
            return True
        account.earn(number)
        self._run_account(route, kind).earn(number)
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
            Route of the call if the last attempt may have run, empty if the
            attempt was rejected.

        Returns
        -------
        bool
            True if a token was spent and the call may be retried.
        """
        account = self._service_account(service)
        number = self._bin_number(now)
        if not account.has_token(number):
            return False
        if failed_route:
            runs = self._run_account(failed_route, kind)
            if not runs.has_token(number):
                return False
            runs.charge(number)
        account.charge(number)
        return True

    def available(self, service: str, now: float) -> float:
        """Return the retries to a service that are allowed at once."""
        account = self._account_by_service.get(service)
        return 0.0 if account is None else account.left(self._bin_number(now))

    def rate(self, service: str, now: float) -> float:
        """Return the retries per second at which the account is spent."""
        account = self._account_by_service.get(service)
        if account is None:
            return 0.0
        return account.rate(self._bin_number(now)) * BINS / self._window

    def services(self) -> list[str]:
        """Return the names of the services that have an account."""
        return list(self._account_by_service)

    def _bin_number(self, now: float) -> int:
        return int(now * BINS // self._window)

    def _service_account(self, service: str) -> RetryAccount:
        account = self._account_by_service.get(service)
        if account is None:
            account = RetryAccount(self._allowed_ratio * EARNED_FRACTION)
            self._account_by_service[service] = account
        return account

    def _run_account(self, route: str, kind: RetryKind) -> RetryAccount:
        account = self._account_by_run.get((route, kind))
        if account is None:
            account = RetryAccount(
                self._allowed_ratio * RUN_FRACTION_BY_KIND[kind]
            )
            self._account_by_run[route, kind] = account
        return account
