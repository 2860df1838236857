"""Holder: grants tokens from its own shares and gives shares away."""

from collections.abc import Mapping

from mustardshunt.base import Incarnation, check_range
from mustardshunt.rate._account import ShareAccount
from mustardshunt.rate._events import (
    CommitAnswered,
    CommitOutcome,
    CommitShares,
    EligibleHoldersChanged,
    HolderAction,
    HolderEvent,
    HolderGone,
    LeaseLost,
    LeaseRenewed,
    RateLimitsChanged,
    ReadRow,
    RebalanceDue,
    SendGrant,
    ShareRowRead,
    TokenGrant,
    TokenRequest,
    TokenRequestArrived,
)
from mustardshunt.rate._rows import ShareChange, ShareRow
from mustardshunt.rate._share_rules import (
    EligibleHolders,
    choose_reclaimer,
    plan_first_row,
    plan_handover,
    plan_reclaim,
)
from mustardshunt.rate._token_bucket import TokenBucket
from mustardshunt.rate._units import (
    GRANT_TERM_SECONDS,
    LEASE_SECONDS,
    partition_of,
)
from mustardshunt.sheet import Organisation

# Seconds after which a change whose result is open is written again; the
# repeat expects the same version, so it takes effect at most once.
_COMMIT_RETRY = 1.0
# Numbers of asks kept to recognise repeats. Forgetting one is safe: a
# repeated ask is then granted twice and the second grant expires.
_MAX_ASKS_KEPT = 50_000


class Holder:
    """Shares of one node and the token buckets that they feed.

    Parameters
    ----------
    node : Incarnation
        The node that owns the shares.
    lease : float, default=7200.0
        Seconds for which it may grant after the last renewal was sent.
    """

    def __init__(self, node: Incarnation, lease: float = LEASE_SECONDS) -> None:
        self.node = node
        self.lease = lease
        self._lease_until = float('-inf')
        self._lost = False
        self._fleet = EligibleHolders({})
        self._organisation_by_name: Mapping[str, Organisation] = {}
        self._account_by_partition: dict[int, ShareAccount] = {}
        self._applied_by_partition: dict[int, int] = {}
        self._bucket_by_organisation: dict[str, TokenBucket] = {}
        self._retry_at_by_partition: dict[int, float] = {}
        self._successor_by_gone: dict[Incarnation, Incarnation | None] = {}
        self._ask_number_by_origin: dict[tuple[Incarnation, str], int] = {}
        self._grants = 0

    def handle(self, event: HolderEvent, now: float) -> list[HolderAction]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : HolderEvent
            What happened.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        list of HolderAction
            What is to be done, in order.
        """
        match event:
            case TokenRequestArrived(ask):
                return self._answer_ask(ask, now)
            case RateLimitsChanged(organisation_by_name):
                self._organisation_by_name = organisation_by_name
                self._applied_by_partition.clear()
                self._apply_all(now)
            case LeaseRenewed(sent_at):
                until = sent_at + self.lease
                self._lease_until = max(self._lease_until, until)
            case LeaseLost():
                self._lost = True
            case EligibleHoldersChanged(fleet):
                self._fleet = fleet
            case _:
                return self._handle_table(event, now)
        return []

    def may_grant(self, now: float) -> bool:
        """Tell whether the lease is valid on this node's clock."""
        return now < self._lease_until and not self._lost

    def usable_share(self, partition: int, now: float) -> int:
        """Return the usable share of a partition in parts per million."""
        account = self._account_by_partition.get(partition)
        return account.usable_share(now) if account else 0

    def _handle_table(
        self,
        event: HolderEvent,
        now: float,
    ) -> list[HolderAction]:
        match event:
            case ShareRowRead(row):
                self._account(row.partition).observe_row(row, now)
                self._apply(row.partition, now)
            case CommitAnswered(change, outcome):
                return self._settle_commit(change, outcome, now)
            case HolderGone(holder, successor):
                self._successor_by_gone[holder] = successor
                return self._reclaim(now)
            case RebalanceDue():
                return [*self._rebalance(now), *self._reclaim(now)]
            case _:
                self._apply_all(now)
                return self._retry_commits(now)
        return []

    def _answer_ask(self, ask: TokenRequest, now: float) -> list[HolderAction]:
        bucket = self._bucket_by_organisation.get(ask.organisation)
        if bucket is not None:
            self._apply(partition_of(ask.organisation), now)
            for report in ask.reports:
                bucket.apply_report(report, now)
        if not ask.wanted or self._is_repeat(ask):
            return []
        self._grants += 1
        tokens = 0
        reason = 'no share'
        if not self.may_grant(now):
            reason = 'no lease'
        elif bucket is not None:
            tokens = bucket.grant(self._grants, ask.wanted, now)
            reason = 'full' if tokens == ask.wanted else 'dry'
        grant = TokenGrant(
            self.node,
            ask.number,
            ask.organisation,
            self._grants,
            tokens,
            GRANT_TERM_SECONDS,
        )
        return [SendGrant(ask.wallet, grant, reason)]

    def _is_repeat(self, ask: TokenRequest) -> bool:
        if len(self._ask_number_by_origin) >= _MAX_ASKS_KEPT:
            self._ask_number_by_origin.clear()
        origin = (ask.wallet, ask.organisation)
        if ask.number <= self._ask_number_by_origin.get(origin, 0):
            return True
        self._ask_number_by_origin[origin] = ask.number
        return False

    def _settle_commit(
        self,
        change: ShareChange,
        outcome: CommitOutcome,
        now: float,
    ) -> list[HolderAction]:
        account = self._account(change.partition)
        if outcome is CommitOutcome.COMMITTED:
            account.observe_row(change.row(), now)
            self._apply(change.partition, now)
        elif account.change == change:
            # Written again until the row is known to have moved on.
            retry_at = now + _COMMIT_RETRY
            self._retry_at_by_partition[change.partition] = retry_at
            if outcome is CommitOutcome.CONFLICT:
                return [ReadRow(change.partition)]
        return []

    def _rebalance(self, now: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for partition, account in self._account_by_partition.items():
            if account.change is not None:
                continue
            change = None
            if account.row.version:
                change = plan_handover(account.row, self.node, self._fleet)
            elif self._is_chosen(partition, Incarnation('')):
                change = plan_first_row(partition, self._fleet)
            if change is not None:
                actions.append(self._begin(change, now))
        return actions

    def _reclaim(self, now: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for gone, successor in self._successor_by_gone.items():
            for account in self._account_by_partition.values():
                if account.change is not None:
                    continue
                change = self._plan_reclaim(account.row, gone, successor)
                if change is not None:
                    actions.append(self._begin(change, now))
        return actions

    def _plan_reclaim(
        self,
        row: ShareRow,
        gone: Incarnation,
        successor: Incarnation | None,
    ) -> ShareChange | None:
        if not row.share_of(gone):
            return None
        chosen = successor == self.node
        if successor is None:
            chosen = self._is_chosen(row.partition, gone)
        if not chosen:
            return None
        return plan_reclaim(row, gone, self._fleet, successor)

    def _is_chosen(self, partition: int, gone: Incarnation) -> bool:
        live = self._fleet.data_centre_by_node
        return choose_reclaimer(partition, gone, live) == self.node

    def _begin(self, change: ShareChange, now: float) -> HolderAction:
        # The own share is lowered before the change leaves this node.
        self._account_by_partition[change.partition].begin_change(change)
        self._apply(change.partition, now)
        self._retry_at_by_partition[change.partition] = now + _COMMIT_RETRY
        return CommitShares(change)

    def _retry_commits(self, now: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for partition, retry_at in list(self._retry_at_by_partition.items()):
            change = self._account_by_partition[partition].change
            if change is None:
                del self._retry_at_by_partition[partition]
            elif retry_at <= now:
                self._retry_at_by_partition[partition] = now + _COMMIT_RETRY
                actions.append(CommitShares(change))
        return actions

    def _account(self, partition: int) -> ShareAccount:
        account = self._account_by_partition.get(partition)
        if account is None:
            account = ShareAccount(self.node, partition)
            self._account_by_partition[partition] = account
        return account

    def _apply_all(self, now: float) -> None:
        for partition in self._account_by_partition:
            self._apply(partition, now)

    def _apply(self, partition: int, now: float) -> None:
        usable = self._account(partition).usable_share(now)
        if self._applied_by_partition.get(partition) == usable:
            return
        self._applied_by_partition[partition] = usable
        for name in self._bucket_by_organisation:
            if partition_of(name) == partition:
                self._resize(name, usable, now)
        for name in self._organisation_by_name:
            if name in self._bucket_by_organisation:
                continue
            if partition_of(name) == partition:
                self._bucket_by_organisation[name] = TokenBucket(now)
                self._resize(name, usable, now)

    def _resize(self, name: str, usable: int, now: float) -> None:
        organisation = self._organisation_by_name.get(name)
        bucket = self._bucket_by_organisation[name]
        if organisation is None:
            # Kept empty: its grants may still be outstanding.
            bucket.resize(float(0), float(0), now)
            return
        rate = organisation.rate * usable
        bucket.resize(rate, organisation.burst * usable, now)


def make_holder(node: Incarnation, lease: float = LEASE_SECONDS) -> Holder:
    """Return a holder without shares.

    Parameters
    ----------
    node : Incarnation
        The node that owns the shares.
    lease : float, default=7200.0
        Seconds for which it may grant after the last renewal was sent.

    Raises
    ------
    ParameterError
        The lease is shorter than the term of a grant.
    """
    check_range('lease', lease, GRANT_TERM_SECONDS)
    return Holder(node, lease)
