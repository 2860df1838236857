"""Finds holders that are gone for good, so that their shares can be moved.

A holder is a node that holds a share of the organisations' rates.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from loguru import logger

from mustardshunt.base import Clock, Incarnation, MustardshuntError
from mustardshunt.node._confirm_sync import ConfirmSync
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.node._peer_sender import PeerSender
from mustardshunt.node._rate_sync import RateSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.rate import HolderGone, LeaseLost, make_lease_watch
from mustardshunt.stores import ConfigStore, VmLease, VmRegistry
from mustardshunt.transport import Link

_MIN_INTERVAL_SECONDS: Final = 2.0
# Must be shorter than 120 s, which is twice the margin of the lease watch. The
# lease watch treats 120 s without a read as a gap. After a gap, the watch finds
# no lease expired for the time of one margin.
MAX_RECLAIM_INTERVAL_SECONDS: Final = 90.0
# The reporter of a data centre reads all rows; a row has 258 bytes. The
# interval between reads grows with the number of nodes. With 940 nodes, the
# interval is 90 s and the reporter reads 2.7 KB/s.
_SECONDS_PER_MEMBER: Final = 0.096
# Within this time, repeated reports that the same holder is gone are ignored.
_GONE_RETENTION_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class VmRows:
    """Stores on the platform that show which nodes are gone.

    Parameters
    ----------
    registry : VmRegistry
        Rows and leases of the nodes.
    store : ConfigStore
        Nodes that operators have declared gone.
    """

    registry: VmRegistry
    store: ConfigStore


class Reclaimer:
    """Deletes the rows of holders that are gone, and reports the holders.

    A row is deleted when its lease has expired, when an operator has declared
    the VM gone, or when another node has started in the same VM. Without the
    row, the holder cannot renew the lease, so other nodes may get the shares.

    Parameters
    ----------
    rows : VmRows
        Rows of the nodes.
    rates : RateSync
        Moves the shares of holders that are gone.
    members : MemberSync
        Members that are known to this node.
    confirm : ConfirmSync
        Selects the reporter, the node of a data centre that looks for expired
        leases.
    sender : PeerSender
        Sends frames to peers.
    boot_id : str
        Boot id of the VM.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        rows: VmRows,
        rates: RateSync,
        members: MemberSync,
        confirm: ConfirmSync,
        sender: PeerSender,
        boot_id: str,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._registry = rows.registry
        self._store = rows.store
        self._lease_watch = make_lease_watch()
        self._rates = rates
        self._members = members
        self._confirm = confirm
        self._peer_sender = sender
        self._boot_id = boot_id
        self._metrics = metrics
        self._clock = clock
        self._reported_at_by_holder: dict[Incarnation, float] = {}
        self._has_replaced_former = False

    async def run(self) -> None:
        """Look periodically for holders that are gone; report such holders."""
        while True:
            try:
                await self._find_gone()
            except MustardshuntError as error:
                self._metrics.count_event(f'reclaim-{error.code.value}')
            members = len(self._members.list_live())
            seconds = members * _SECONDS_PER_MEMBER
            await asyncio.sleep(
                min(
                    max(seconds, _MIN_INTERVAL_SECONDS),
                    MAX_RECLAIM_INTERVAL_SECONDS,
                ),
            )

    def handle_gone(self, _: Link, event: HolderGone) -> None:
        """Apply and forward a neighbour's report that a holder is gone."""
        self._report_gone(event)

    async def _find_gone(self) -> None:
        if not self._has_replaced_former:
            await self._replace_former(await self._registry.list_all())
            self._has_replaced_former = True
        if not self._confirm.is_reporter:
            return
        leases = await self._registry.list_all()
        now = self._clock.now()
        lease_by_holder = {lease.record.incarnation: lease for lease in leases}
        for holder, lease in lease_by_holder.items():
            self._lease_watch.observe(holder, lease.version, now)
        for expired in self._lease_watch.find_expired(now):
            await self._delete(lease_by_holder[expired.holder], 'lapsed')
        declared_gone = await self._store.list_gone()
        for holder, lease in lease_by_holder.items():
            if holder in declared_gone:
                await self._delete(lease, 'declared')
        for holder in self._rates.list_holders():
            if holder not in lease_by_holder:
                self._report_gone(HolderGone(holder))

    async def _replace_former(self, leases: Sequence[VmLease]) -> None:
        """Delete the rows of former nodes in this VM.

        The former nodes had the address at which this node listens now, and
        the VM has not rebooted since. So the processes of the former nodes
        have ended.
        """
        own = self._members.own
        for lease in leases:
            record = lease.record
            is_former = (
                record.address == own.address
                and record.incarnation != own.incarnation
                and record.boot_id == self._boot_id
            )
            if is_former and self._boot_id:
                await self._delete(lease, 'succeeded', own.incarnation)

    async def _delete(
        self,
        lease: VmLease,
        reason: str,
        successor: Incarnation | None = None,
    ) -> None:
        holder = lease.record.incarnation
        await self._registry.delete(lease)
        self._lease_watch.forget(holder)
        logger.info(
            'row of node {} deleted, its shares may be moved: {}',
            holder,
            reason,
        )
        self._report_gone(HolderGone(holder, successor))

    def _report_gone(self, event: HolderGone) -> None:
        now = self._clock.now()
        for holder, reported_at in list(self._reported_at_by_holder.items()):
            if now - reported_at > _GONE_RETENTION_SECONDS:
                self._reported_at_by_holder.pop(holder)
        if event.holder in self._reported_at_by_holder:
            return
        self._reported_at_by_holder[event.holder] = now
        if event.holder == self._members.own.incarnation:
            logger.error(
                'this node, incarnation {}, was declared gone; it grants no '
                'more tokens of its shares',
                event.holder,
            )
            self._rates.handle(LeaseLost())
        self._rates.handle(event)
        self._peer_sender.broadcast(event)
