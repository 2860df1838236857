"""Finds holders that are gone for good, so that their shares can be moved."""

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

_FIRST_SECONDS: Final = 2.0
# Below two margins of the lease watch, which would take it for a gap.
MAX_RECLAIM_INTERVAL_SECONDS: Final = 90.0
# The reporter of a data centre reads all rows, 258 bytes each; at 940 nodes
# that makes one read in 90 s, 2.7 KB/s.
_SECONDS_PER_MEMBER: Final = 0.096
_REMEMBER_SECONDS: Final = 600.0


@dataclass(frozen=True, slots=True)
class VmRows:
    """Rows on the platform that tell which nodes are gone.

    Parameters
    ----------
    registry : VmRegistry
        Rows of the nodes.
    store : ConfigStore
        VMs that operators have declared gone.
    """

    registry: VmRegistry
    store: ConfigStore


class Reclaimer:
    """Declares holders gone whose row on the platform is deleted.

    A row is deleted when its lease has lapsed, when an operator has declared
    the VM gone, or when its successor in the same VM has started. After that
    the holder cannot renew, and its shares may be moved.

    Parameters
    ----------
    rows : VmRows
        Rows of the nodes.
    rates : RateSync
        Moves the shares.
    members : MemberSync
        Fleet of this node.
    confirm : ConfirmSync
        Names the reporter of the data centre, which does this work.
    sender : PeerSender
        Sends frames to peers.
    boot_id : str
        Kernel's identity of this start of the VM.
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
        self._watch = make_lease_watch()
        self._rates = rates
        self._members = members
        self._confirm = confirm
        self._peer_sender = sender
        self._boot_id = boot_id
        self._metrics = metrics
        self._clock = clock
        self._told_at_by_holder: dict[Incarnation, float] = {}
        self._has_succeeded = False

    async def run(self) -> None:
        """Look for holders that are gone again and again."""
        while True:
            try:
                await self._look()
            except MustardshuntError as error:
                self._metrics.count_event(f'reclaim-{error.code.value}')
            members = len(self._members.list_live())
            seconds = members * _SECONDS_PER_MEMBER
            await asyncio.sleep(
                min(max(seconds, _FIRST_SECONDS), MAX_RECLAIM_INTERVAL_SECONDS),
            )

    def handle_gone(self, _: Link, event: HolderGone) -> None:
        """Take from a neighbour that a holder is gone."""
        self._tell(event)

    async def _look(self) -> None:
        if not self._has_succeeded:
            await self._succeed(await self._registry.list_all())
            self._has_succeeded = True
        if not self._confirm.is_reporter:
            return
        leases = await self._registry.list_all()
        now = self._clock.now()
        lease_by_holder = {lease.record.incarnation: lease for lease in leases}
        for holder, lease in lease_by_holder.items():
            self._watch.observe(holder, lease.version, now)
        for expired in self._watch.find_expired(now):
            await self._delete(lease_by_holder[expired.holder], 'lapsed')
        declared = await self._store.list_gone()
        for holder, lease in lease_by_holder.items():
            if holder in declared:
                await self._delete(lease, 'declared')
        for holder in self._rates.list_holders():
            if holder not in lease_by_holder:
                self._tell(HolderGone(holder))

    async def _succeed(self, leases: Sequence[VmLease]) -> None:
        """Take over from the former node of this VM.

        This node listens on the address, and the kernel has not been started
        anew, so the former process has ended.
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
        self._watch.forget(holder)
        logger.info('node {} is gone: {}', holder, reason)
        self._tell(HolderGone(holder, successor))

    def _tell(self, event: HolderGone) -> None:
        now = self._clock.now()
        for holder, told_at in list(self._told_at_by_holder.items()):
            if now - told_at > _REMEMBER_SECONDS:
                self._told_at_by_holder.pop(holder)
        if event.holder in self._told_at_by_holder:
            return
        self._told_at_by_holder[event.holder] = now
        if event.holder == self._members.own.incarnation:
            logger.error('this node was declared gone, its shares are lost')
            self._rates.handle(LeaseLost())
        self._rates.handle(event)
        self._peer_sender.broadcast(event)
