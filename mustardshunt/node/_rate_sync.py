"""Shares, grants and asks of one node, on its links and on the platform."""

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
_REBALANCE_SECONDS: Final = 1.0
# Shares are moved only when no member has come or gone for this long.
_STABLE_SECONDS: Final = 3.0
_HOLDER_STATES: Final = frozenset((
    MemberState.COLD,
    MemberState.READY,
    MemberState.SUSPECT,
))


@dataclass(frozen=True, slots=True)
class ShareRowsRequestFrame:
    """Asks a peer for the rows of all partitions."""


class RateSync:
    """Carries asks, grants and changes of shares.

    Parameters
    ----------
    own : Incarnation
        This node.
    holder : Holder
        Shares of this node.
    tokens : RateLimiter
        Tokens of this node's callers.
    sender : PeerSender
        Sends frames to peers.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Incarnation,
        holder: Holder,
        tokens: RateLimiter,
        sender: PeerSender,
        clock: Clock,
    ) -> None:
        self._own = own
        self._holder = holder
        self._tokens = tokens
        self._peer_sender = sender
        self._clock = clock
        self.table_operations: asyncio.Queue[CommitShares | ReadRow] = (
            asyncio.Queue()
        )
        self._row_by_partition: dict[int, ShareRow] = {}
        self._fleet = EligibleHolders({})
        self._fleet_changed_at = float('-inf')

    def apply_sheet(self, sheet: Sheet) -> None:
        """Take the rates of a sheet that comes into force."""
        event = RateLimitsChanged(sheet.organisation_by_name)
        self.handle(event)
        self._tokens.handle(event)

    def update_holders(
        self,
        records: Sequence[MemberRecord],
        sheet: Sheet,
        is_leaving: bool,
    ) -> None:
        """Take who may hold shares.

        Parameters
        ----------
        records : sequence of MemberRecord
            All members.
        sheet : Sheet
            Sheet in force, which names the data centres that are out.
        is_leaving : bool
            Whether this node gives its shares away.
        """
        data_centre_by_node = {
            record.incarnation: record.data_centre
            for record in records
            if record.state in _HOLDER_STATES
        }
        if is_leaving:
            data_centre_by_node.pop(self._own, None)
        out = frozenset(
            name
            for name, state in sheet.state_by_data_centre.items()
            if state is DataCentreState.OUT
        )
        fleet = EligibleHolders(data_centre_by_node, out)
        if fleet == self._fleet:
            return
        self._fleet = fleet
        self._fleet_changed_at = self._clock.now()
        event = EligibleHoldersChanged(fleet)
        self.handle(event)
        self._tokens.handle(event)

    def handle(self, event: HolderEvent) -> None:
        """Feed an event to the holder and carry out its actions."""
        self._apply(self._holder.handle(event, self._clock.now()))

    def handle_token_request(self, _: Link, ask: TokenRequest) -> None:
        """Take an ask of another node's wallet."""
        self.handle(TokenRequestArrived(ask))

    def handle_grant(self, _: Link, grant: TokenGrant) -> None:
        """Take a grant of another node's holder."""
        self._tokens.handle(GrantArrived(grant))

    def handle_row(self, _: Link, row: ShareRow) -> None:
        """Take a partition's row from a neighbour."""
        self.update_row(row)

    def handle_rows_request(
        self, link: Link, _: 'ShareRowsRequestFrame'
    ) -> None:
        """Send all rows to a peer that has none."""
        for row in self._row_by_partition.values():
            if row.version:
                link.send(row)

    def handle_open(self, link: Link) -> None:
        """Ask a new peer for rows while the platform gave none."""
        if not any(row.version for row in self._row_by_partition.values()):
            link.send(ShareRowsRequestFrame())

    def send_token_request(
        self, holder: Incarnation, ask: TokenRequest
    ) -> None:
        """Send an ask of this node's wallet."""
        if holder == self._own:
            self.handle(TokenRequestArrived(ask))
            return
        # Without a link the wallet asks the next holder after its timeout.
        self._peer_sender.send(holder, ask)

    async def run_rebalance(self) -> None:
        """Let the holder move shares when the fleet is stable."""
        while True:
            await asyncio.sleep(_REBALANCE_SECONDS)
            if self._clock.now() - self._fleet_changed_at >= _STABLE_SECONDS:
                self.handle(RebalanceDue())

    async def transfer_shares(self, seconds: float) -> None:
        """Give all shares away at a planned stop."""
        give_up = self._clock.now() + seconds
        while self._holds_shares() and self._clock.now() < give_up:
            self.handle(RebalanceDue())
            await asyncio.sleep(HOLDER_TICK_SECONDS)

    async def run_wallet_ticks(self) -> None:
        """Let the wallet notice asks without a reply while it has any."""
        while True:
            await self._tokens.wait_until_active()
            await asyncio.sleep(WALLET_TICK_SECONDS)
            self._tokens.tick()

    def tick_holder(self) -> None:
        """Let the holder notice increments that may accrue."""
        self.handle(Tick())

    def list_holders(self) -> set[Incarnation]:
        """Return all holders that any row names."""
        return {
            holder
            for row in self._row_by_partition.values()
            for holder in row.share_by_holder
        }

    def total_share_ppm(self) -> int:
        """Return the sum of this node's shares in parts per million."""
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
        """Take a partition's row, and pass it on when it is news."""
        known = self._row_by_partition.get(row.partition)
        if known is not None and row.version <= known.version:
            return
        self._row_by_partition[row.partition] = row
        event = ShareRowRead(row)
        self.handle(event)
        self._tokens.handle(event)
        if known is not None:
            self._peer_sender.broadcast(row)

    def _apply(self, actions: Iterable[HolderAction]) -> None:
        for action in actions:
            if not isinstance(action, SendGrant):
                self.table_operations.put_nowait(action)
                continue
            if action.requester == self._own:
                self._tokens.handle(GrantArrived(action.grant))
                continue
            self._peer_sender.send(action.requester, action.grant)
