"""Holder: a node's shares of organisations' rates.

The node grants tokens from its shares to other nodes, and hands shares over
when other nodes should hold them.
"""

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

# Interval between attempts to write a change whose result is unknown. All
# attempts expect the same version of the row, so that at most one attempt takes
# effect.
_COMMIT_RETRY_SECONDS = 1.0
# Most request numbers that are kept to recognise repeated token requests.
# Dropping old numbers is safe. If a repeated request is then granted twice, the
# tokens of the second grant expire unspent.
_MAX_REQUEST_NUMBERS = 50_000


class Holder:
    """Shares of one node, and a token bucket for each organisation.

    The share of an organisation's rate determines how fast its bucket fills.

    Parameters
    ----------
    node : Incarnation
        Node that holds the shares.
    lease : float, default=7200.0
        Seconds for which the node may grant tokens after it sent the last
        successful renewal of its lease.
    """

    def __init__(self, node: Incarnation, lease: float = LEASE_SECONDS) -> None:
        self.node = node
        self.lease = lease
        self._lease_until = float('-inf')
        self._is_lease_lost = False
        self._eligible_holders = EligibleHolders({})
        self._organisation_by_name: Mapping[str, Organisation] = {}
        self._account_by_partition: dict[int, ShareAccount] = {}
        self._applied_share_by_partition: dict[int, int] = {}
        self._bucket_by_organisation: dict[str, TokenBucket] = {}
        self._retry_at_by_partition: dict[int, float] = {}
        self._successor_by_gone_holder: dict[
            Incarnation, Incarnation | None
        ] = {}
        self._request_number_by_origin: dict[tuple[Incarnation, str], int] = {}
        self._last_grant_id = 0

    def handle(self, event: HolderEvent, now: float) -> list[HolderAction]:
        """Apply one event to shares and buckets; return the resulting actions.

        Parameters
        ----------
        event : HolderEvent
            Message, table reading or other change.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        list of HolderAction
            Actions to be performed, in order.
        """
        match event:
            case TokenRequestArrived(request):
                return self._answer_request(request, now)
            case RateLimitsChanged(organisation_by_name):
                self._organisation_by_name = organisation_by_name
                self._applied_share_by_partition.clear()
                self._apply_all_shares(now)
            case LeaseRenewed(sent_at):
                until = sent_at + self.lease
                self._lease_until = max(self._lease_until, until)
            case LeaseLost():
                self._is_lease_lost = True
            case EligibleHoldersChanged(holders):
                self._eligible_holders = holders
            case _:
                return self._handle_table_event(event, now)
        return []

    def may_grant(self, now: float) -> bool:
        """Tell whether this node's lease is valid by this node's clock."""
        return now < self._lease_until and not self._is_lease_lost

    def usable_share(self, partition: int, now: float) -> int:
        """Return the share of a partition that this node may use, in ppm."""
        account = self._account_by_partition.get(partition)
        return account.usable_share(now) if account else 0

    def _handle_table_event(
        self,
        event: HolderEvent,
        now: float,
    ) -> list[HolderAction]:
        match event:
            case ShareRowRead(row):
                self._account(row.partition).observe_row(row, now)
                self._apply_share(row.partition, now)
            case CommitAnswered(change, outcome):
                return self._handle_commit_result(change, outcome, now)
            case HolderGone(holder, successor):
                self._successor_by_gone_holder[holder] = successor
                return self._reclaim(now)
            case RebalanceDue():
                return [*self._rebalance(now), *self._reclaim(now)]
            case _:
                self._apply_all_shares(now)
                return self._retry_commits(now)
        return []

    def _answer_request(
        self, request: TokenRequest, now: float
    ) -> list[HolderAction]:
        bucket = self._bucket_by_organisation.get(request.organisation)
        if bucket is not None:
            self._apply_share(partition_of(request.organisation), now)
            for report in request.reports:
                bucket.apply_report(report, now)
        if not request.wanted or self._is_repeat(request):
            return []
        self._last_grant_id += 1
        tokens = 0
        reason = 'no share'
        if not self.may_grant(now):
            reason = 'no lease'
        elif bucket is not None:
            tokens = bucket.grant(self._last_grant_id, request.wanted, now)
            reason = 'full' if tokens == request.wanted else 'dry'
        grant = TokenGrant(
            self.node,
            request.number,
            request.organisation,
            self._last_grant_id,
            tokens,
            GRANT_TERM_SECONDS,
        )
        return [SendGrant(request.wallet, grant, reason)]

    def _is_repeat(self, request: TokenRequest) -> bool:
        if len(self._request_number_by_origin) >= _MAX_REQUEST_NUMBERS:
            self._request_number_by_origin.clear()
        origin = (request.wallet, request.organisation)
        if request.number <= self._request_number_by_origin.get(origin, 0):
            return True
        self._request_number_by_origin[origin] = request.number
        return False

    def _handle_commit_result(
        self,
        change: ShareChange,
        outcome: CommitOutcome,
        now: float,
    ) -> list[HolderAction]:
        account = self._account(change.partition)
        if outcome is CommitOutcome.COMMITTED:
            account.observe_row(change.row(), now)
            self._apply_share(change.partition, now)
        elif account.change == change:
            # The change was not written, or the result is unknown. The write is
            # retried until a later version of the row has been read.
            retry_at = now + _COMMIT_RETRY_SECONDS
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
                change = plan_handover(
                    account.row, self.node, self._eligible_holders
                )
            elif self._is_selected(partition, Incarnation('')):
                change = plan_first_row(partition, self._eligible_holders)
            if change is not None:
                actions.append(self._begin_change(change, now))
        return actions

    def _reclaim(self, now: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for gone, successor in self._successor_by_gone_holder.items():
            for account in self._account_by_partition.values():
                if account.change is not None:
                    continue
                change = self._plan_reclaim(account.row, gone, successor)
                if change is not None:
                    actions.append(self._begin_change(change, now))
        return actions

    def _plan_reclaim(
        self,
        row: ShareRow,
        gone: Incarnation,
        successor: Incarnation | None,
    ) -> ShareChange | None:
        if not row.share_of(gone):
            return None
        is_selected = successor == self.node
        if successor is None:
            is_selected = self._is_selected(row.partition, gone)
        if not is_selected:
            return None
        return plan_reclaim(row, gone, self._eligible_holders, successor)

    def _is_selected(self, partition: int, gone: Incarnation) -> bool:
        live = self._eligible_holders.data_centre_by_node
        return choose_reclaimer(partition, gone, live) == self.node

    def _begin_change(self, change: ShareChange, now: float) -> HolderAction:
        # This node's share is lowered before the change is sent. Otherwise,
        # this node could go on using the share after the change has taken
        # effect.
        self._account_by_partition[change.partition].begin_change(change)
        self._apply_share(change.partition, now)
        self._retry_at_by_partition[change.partition] = (
            now + _COMMIT_RETRY_SECONDS
        )
        return CommitShares(change)

    def _retry_commits(self, now: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for partition, retry_at in list(self._retry_at_by_partition.items()):
            change = self._account_by_partition[partition].change
            if change is None:
                del self._retry_at_by_partition[partition]
            elif retry_at <= now:
                self._retry_at_by_partition[partition] = (
                    now + _COMMIT_RETRY_SECONDS
                )
                actions.append(CommitShares(change))
        return actions

    def _account(self, partition: int) -> ShareAccount:
        account = self._account_by_partition.get(partition)
        if account is None:
            account = ShareAccount(self.node, partition)
            self._account_by_partition[partition] = account
        return account

    def _apply_all_shares(self, now: float) -> None:
        for partition in self._account_by_partition:
            self._apply_share(partition, now)

    def _apply_share(self, partition: int, now: float) -> None:
        share_ppm = self._account(partition).usable_share(now)
        if self._applied_share_by_partition.get(partition) == share_ppm:
            return
        self._applied_share_by_partition[partition] = share_ppm
        for name in self._bucket_by_organisation:
            if partition_of(name) == partition:
                self._resize_bucket(name, share_ppm, now)
        for name in self._organisation_by_name:
            if name in self._bucket_by_organisation:
                continue
            if partition_of(name) == partition:
                self._bucket_by_organisation[name] = TokenBucket(now)
                self._resize_bucket(name, share_ppm, now)

    def _resize_bucket(self, name: str, share_ppm: int, now: float) -> None:
        organisation = self._organisation_by_name.get(name)
        bucket = self._bucket_by_organisation[name]
        if organisation is None:
            # The bucket of a removed organisation is kept with a capacity of 0,
            # because granted tokens of the bucket may still be outstanding.
            bucket.resize(float(0), float(0), now)
            return
        rate = organisation.rate * share_ppm
        bucket.resize(rate, organisation.burst * share_ppm, now)


def make_holder(node: Incarnation, lease: float = LEASE_SECONDS) -> Holder:
    """Check the lease duration and return a holder without shares.

    Parameters
    ----------
    node : Incarnation
        Node that holds the shares.
    lease : float, default=7200.0
        Seconds for which the node may grant tokens after it sent the last
        successful renewal of its lease.

    Raises
    ------
    ParameterError
        The lease is shorter than the term of a grant.
    """
    check_range('lease', lease, GRANT_TERM_SECONDS)
    return Holder(node, lease)
