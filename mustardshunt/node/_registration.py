"""Registers the node on the platform, and finds first peers at the start."""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger

from mustardshunt.base import (
    Clock,
    Incarnation,
    MemberRecord,
    MemberState,
    MustardshuntError,
    VmAddress,
)
from mustardshunt.membership import AddressSearch, OpenLink, RecordsArrived
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.stores import (
    ConflictError,
    VmLease,
    VmRecord,
    VmRegistry,
)
from mustardshunt.transport import LinkPool

LEASE_RENEWAL_INTERVAL_SECONDS: Final = 20.0
_CHECK_SECONDS: Final = 1.0
_PROBE_SECONDS: Final = 0.3
_FIRST_SEQUENCE: Final = 0


class Registration:
    """Row of this node, which is also the lease of its shares.

    Parameters
    ----------
    registry : VmRegistry
        Rows of the nodes.
    members : MemberSync
        Fleet of this node.
    boot_id : str
        Kernel's identity of this start of the VM.
    take_renewal : callable
        Takes the time at which a successful renewal was sent.
    take_loss : callable
        Is told that the row is gone.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        registry: VmRegistry,
        members: MemberSync,
        boot_id: str,
        take_renewal: Callable[[float], None],
        take_loss: Callable[[], None],
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._members = members
        self._boot_id = boot_id
        self._take_renewal = take_renewal
        self._take_loss = take_loss
        self._metrics = metrics
        self._clock = clock
        self._lease: VmLease | None = None
        self._renewed_at = float('-inf')
        self._is_lost = False

    async def run(self) -> None:
        """Register, and renew the lease again and again."""
        while not self._is_lost:
            if self._is_due():
                await self.renew()
            await asyncio.sleep(_CHECK_SECONDS)

    async def renew(self) -> None:
        """Write the row once."""
        sent_at = self._clock.now()
        record = self._make_record()
        try:
            if self._lease is None:
                self._lease = await self._registry.write(record)
            else:
                self._lease = await self._registry.renew(self._lease, record)
        except ConflictError:
            logger.error('the row of this node is gone, its shares are lost')
            self._is_lost = True
            self._take_loss()
        except MustardshuntError as error:
            self._metrics.count_event(f'lease-{error.code.value}')
        else:
            self._renewed_at = sent_at
            self._take_renewal(sent_at)

    async def deregister(self) -> None:
        """Delete the row at a planned stop."""
        if self._lease is None:
            return
        try:
            await self._registry.delete(self._lease)
        except MustardshuntError as error:
            self._metrics.count_event(f'lease-{error.code.value}')

    def _is_due(self) -> bool:
        if (
            self._clock.now() - self._renewed_at
            >= LEASE_RENEWAL_INTERVAL_SECONDS
        ):
            return True
        return self._lease is None or self._lease.record != self._make_record()

    def _make_record(self) -> VmRecord:
        own = self._members.own
        return VmRecord(
            own.incarnation,
            own.address,
            own.data_centre,
            own.service,
            self._boot_id,
            0,
        )


class PeerDiscovery:
    """Finds the first peers of a node that starts.

    The platform's rows name them. While it is away, the addresses of the
    data centre's own range are tried.

    Parameters
    ----------
    registry : VmRegistry
        Rows of the nodes.
    search : AddressSearch
        Order in which addresses are tried.
    members : MemberSync
        Fleet of this node.
    links : LinkPool
        Links of this node.
    metrics : NodeMetrics
        Counters.
    """

    def __init__(
        self,
        registry: VmRegistry,
        search: AddressSearch,
        members: MemberSync,
        links: LinkPool,
        metrics: NodeMetrics,
    ) -> None:
        self._registry = registry
        self._search = search
        self._members = members
        self._links = links
        self._metrics = metrics

    async def run(self) -> None:
        """Look for peers until there is a link to one."""
        while True:
            if not self._members.list_neighbours():
                await self._look()
            await asyncio.sleep(_CHECK_SECONDS)

    async def _look(self) -> None:
        try:
            leases = await self._registry.list_all()
        except MustardshuntError as error:
            self._metrics.count_event(f'first-peers-{error.code.value}')
            await self._try_addresses()
            return
        records = tuple(_make_member(lease.record) for lease in leases)
        self._members.handle(RecordsArrived(records))

    async def _try_addresses(self) -> None:
        logger.info('the platform is away, peers are looked for by address')
        pending = {self._start(action) for action in self._search.start()}
        while pending:
            done, pending = await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                address, record = task.result()
                if record is not None:
                    self._search.stop()
                    self._members.handle(RecordsArrived((record,)))
                    continue
                following = self._search.record_failed(address)
                pending |= {self._start(action) for action in following}

    def _start(
        self,
        action: OpenLink,
    ) -> 'asyncio.Task[tuple[VmAddress, MemberRecord | None]]':
        return asyncio.create_task(self._probe(action.address))

    async def _probe(
        self,
        address: VmAddress,
    ) -> tuple[VmAddress, MemberRecord | None]:
        hello = await self._links.probe(address, _PROBE_SECONDS)
        if hello is None:
            return address, None
        record = VmRecord(
            Incarnation(hello.incarnation),
            VmAddress(hello.host, hello.port),
            hello.data_centre,
            '',
            '',
            0,
        )
        return address, _make_member(record)


def _make_member(record: VmRecord) -> MemberRecord:
    """Return the least that is known of a node before it is heard."""
    return MemberRecord(
        record.incarnation,
        _FIRST_SEQUENCE,
        record.data_centre,
        record.service,
        MemberState.JOINING,
        record.address,
    )
