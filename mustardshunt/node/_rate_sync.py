"""Exchanges token requests, grants and share rows with other nodes.

A holder is a node that holds a share of the organisations' rates. The
organisations are divided into partitions. The share row of a partition lists
the holders and the share of each holder.
"""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import (
    Clock,
    Incarnation,
    MemberRecord,
    MemberState,
)
from mustardshunt.node._peer_sender import PeerSender
from mustardshunt.node._rate_limiter import RateLimiter
from mustardshunt.rate import (
    PARTITIONS,
    CommitShares,
    EligibleHolders,
    EligibleHoldersChanged,
    GrantArrived,
    Holder,
    HolderAction,
    HolderEvent,
    RateLimitsChanged,
    ReadRow,
    RebalanceDue,
    SendGrant,
    ShareRow,
    ShareRowRead,
    Tick,
    TokenGrant,
    TokenRequest,
    TokenRequestArrived,
)
from mustardshunt.sheet import DataCentreState, Sheet
from mustardshunt.transport import Link

WALLET_TICK_SECONDS: Final = 0.02
HOLDER_TICK_SECONDS: Final = 0.5
_REBALANCE_INTERVAL_SECONDS: Final = 1.0
# Shares are rebalanced only if the nodes that may hold shares have not changed
# for this time. After a change, the rebalancing waits.
_STABLE_SECONDS: Final = 3.0
_HOLDER_STATES: Final = frozenset((
    MemberState.COLD,
    MemberState.READY,
    MemberState.SUSPECT,
))


@dataclass(frozen=True, slots=True)
class ShareRowsRequestFrame:
    """Requests the share rows of all partitions from a peer."""


class RateSync:
    """Passes token requests, grants and share rows to their components.

    The components are the holder of this node, its rate limiter, the peers and
    the share table on the platform.

    Parameters
    ----------
    own : Incarnation
        This node.
    holder : Holder
        Grants tokens of this node's shares and decides when shares move.
    rate_limiter : RateLimiter
        Spends tokens for the requests that enter at this node.
    sender : PeerSender
        Sends frames to peers.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Incarnation,
        holder: Holder,
        rate_limiter: RateLimiter,
        sender: PeerSender,
        clock: Clock,
    ) -> None:
        self._own = own
        self._holder = holder
        self._rate_limiter = rate_limiter
        self._peer_sender = sender
        self._clock = clock
        self.table_operations: asyncio.Queue[CommitShares | ReadRow] = (
            asyncio.Queue()
        )
        self._row_by_partition: dict[int, ShareRow] = {}
        self._eligible_holders = EligibleHolders({})
        self._holders_changed_at = float('-inf')

    def apply_sheet(self, sheet: Sheet) -> None:
        """Apply the organisations' rates of a sheet that has become active."""
        event = RateLimitsChanged(sheet.organisation_by_name)
        self.handle(event)
        self._rate_limiter.handle(event)

    def update_holders(
        self,
        records: Sequence[MemberRecord],
        sheet: Sheet,
        is_leaving: bool,
    ) -> None:
        """Update the nodes that may hold shares.

        Parameters
        ----------
        records : sequence of MemberRecord
            Records of all live members.
        sheet : Sheet
            Active sheet. Nodes in data centres that the sheet lists as out of
            service get no shares.
        is_leaving : bool
            Whether this node is stopping. A stopping node may hold no shares.
        """
        data_centre_by_node = {
            record.incarnation: record.data_centre
            for record in records
            if record.state in _HOLDER_STATES
        }
        if is_leaving:
            data_centre_by_node.pop(self._own, None)
        out_of_service = frozenset(
            name
            for name, state in sheet.state_by_data_centre.items()
            if state is DataCentreState.OUT
        )
        holders = EligibleHolders(data_centre_by_node, out_of_service)
        if holders == self._eligible_holders:
            return
        self._eligible_holders = holders
        self._holders_changed_at = self._clock.now()
        event = EligibleHoldersChanged(holders)
        self.handle(event)
        self._rate_limiter.handle(event)

    def handle(self, event: HolderEvent) -> None:
        """Pass an event to this node's holder and carry out the actions."""
        self._apply(self._holder.handle(event, self._clock.now()))

    def handle_token_request(self, _: Link, request: TokenRequest) -> None:
        """Pass a token request of another node to this node's holder."""
        self.handle(TokenRequestArrived(request))

    def handle_grant(self, _: Link, grant: TokenGrant) -> None:
        """Pass the tokens that another node grants to the rate limiter."""
        self._rate_limiter.handle(GrantArrived(grant))

    def handle_row(self, _: Link, row: ShareRow) -> None:
        """Store and forward a neighbour's share row if the row is newer."""
        self.update_row(row)

    def handle_rows_request(
        self, link: Link, _: 'ShareRowsRequestFrame'
    ) -> None:
        """Send all known share rows to a peer that has no share rows."""
        for row in self._row_by_partition.values():
            if row.version:
                link.send(row)

    def handle_open(self, link: Link) -> None:
        """Request the share rows from a new peer if this node has no rows."""
        if not any(row.version for row in self._row_by_partition.values()):
            link.send(ShareRowsRequestFrame())

    def send_token_request(
        self, holder: Incarnation, request: TokenRequest
    ) -> None:
        """Send a token request of this node to a node that holds a share."""
        if holder == self._own:
            self.handle(TokenRequestArrived(request))
            return
        # Without a link, the request is dropped. The token cache then sends a
        # request to the next holder after a timeout.
        self._peer_sender.send(holder, request)

    async def run_rebalance(self) -> None:
        """Rebalance the shares periodically.

        Nothing is moved shortly after the set of eligible holders has changed.
        """
        while True:
            await asyncio.sleep(_REBALANCE_INTERVAL_SECONDS)
            if self._clock.now() - self._holders_changed_at >= _STABLE_SECONDS:
                self.handle(RebalanceDue())

    async def transfer_shares(self, seconds: float) -> None:
        """Transfer all shares of this node to other nodes at a planned stop.

        Parameters
        ----------
        seconds : float
            Longest time for the transfer. Other nodes reclaim the shares that
            are left afterwards.
        """
        deadline = self._clock.now() + seconds
        while self._holds_shares() and self._clock.now() < deadline:
            self.handle(RebalanceDue())
            await asyncio.sleep(HOLDER_TICK_SECONDS)

    async def run_token_cache_ticks(self) -> None:
        """Tick the token cache periodically while the cache is active.

        At each tick, the cache checks for token requests without a reply.
        """
        while True:
            await self._rate_limiter.wait_until_active()
            await asyncio.sleep(WALLET_TICK_SECONDS)
            self._rate_limiter.tick()

    def tick_holder(self) -> None:
        """Tick the holder, which applies raised shares and retries commits."""
        self.handle(Tick())

    def list_holders(self) -> set[Incarnation]:
        """Return the nodes that hold a share in any partition."""
        return {
            holder
            for row in self._row_by_partition.values()
            for holder in row.share_by_holder
        }

    def total_share_ppm(self) -> int:
        """Return the sum of the shares that this node may use now.

        Returns
        -------
        int
            Sum over all partitions, in parts per million of a partition.
        """
        now = self._clock.now()
        return sum(
            self._holder.usable_share(partition, now)
            for partition in range(PARTITIONS)
        )

    def _holds_shares(self) -> bool:
        now = self._clock.now()
        return any(
            self._holder.usable_share(partition, now)
            for partition in range(PARTITIONS)
        )

    def update_row(self, row: ShareRow) -> None:
        """Store a share row that is newer than the known row of its partition.

        The first row of a partition is only stored. A later row is also
        forwarded to all neighbours.
        """
        former = self._row_by_partition.get(row.partition)
        if former is not None and row.version <= former.version:
            return
        self._row_by_partition[row.partition] = row
        event = ShareRowRead(row)
        self.handle(event)
        self._rate_limiter.handle(event)
        if former is not None:
            self._peer_sender.broadcast(row)

    def _apply(self, actions: Iterable[HolderAction]) -> None:
        for action in actions:
            if not isinstance(action, SendGrant):
                self.table_operations.put_nowait(action)
                continue
            if action.requester == self._own:
                self._rate_limiter.handle(GrantArrived(action.grant))
                continue
            self._peer_sender.send(action.requester, action.grant)
