"""Registers the node on the platform, and finds the node's first peers."""

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
_CHECK_INTERVAL_SECONDS: Final = 1.0
_PROBE_TIMEOUT_SECONDS: Final = 0.3
_UNKNOWN_SEQUENCE: Final = 0


class Registration:
    """Writes this node's row to the platform and renews the row.

    The row is also the lease of the node's shares.

    Parameters
    ----------
    registry : VmRegistry
        Rows of the nodes.
    members : MemberSync
        Members that are known to this node.
    boot_id : str
        Boot id of the VM.
    on_renewed : callable
        Is called after each successful renewal, with the time at which the
        renewal was sent, in seconds.
    on_lost : callable
        Is called once, when a renewal finds that the row has been deleted.
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
        on_renewed: Callable[[float], None],
        on_lost: Callable[[], None],
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._members = members
        self._boot_id = boot_id
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._metrics = metrics
        self._clock = clock
        self._lease: VmLease | None = None
        self._renewed_at = float('-inf')
        self._is_lost = False

    async def run(self) -> None:
        """Register the node, and renew the lease until the lease is lost."""
        while not self._is_lost:
            if self._is_due():
                await self.renew()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    async def renew(self) -> None:
        """Write the row of this node, which renews the lease."""
        sent_at = self._clock.now()
        record = self._make_record()
        try:
            if self._lease is None:
                self._lease = await self._registry.write(record)
            else:
                self._lease = await self._registry.renew(self._lease, record)
        except ConflictError:
            logger.error(
                'row of node {} is gone from the platform, its lease is lost; '
                'it grants no more tokens of its shares',
                record.incarnation,
            )
            self._is_lost = True
            self._on_lost()
        except MustardshuntError as error:
            self._metrics.count_event(f'lease-{error.code.value}')
        else:
            self._renewed_at = sent_at
            self._on_renewed(sent_at)

    async def deregister(self) -> None:
        """Delete the row of this node at a planned stop."""
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
    """Finds the first peers of a starting node.

    The peers are read from the rows on the platform. If the rows cannot be
    read, the addresses of the data centre's network are probed.

    Parameters
    ----------
    registry : VmRegistry
        Rows of the nodes.
    search : AddressSearch
        Chooses the addresses to probe and their order.
    members : MemberSync
        Members that are known to this node.
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
        """Look for peers whenever no link to a peer is open."""
        while True:
            if not self._members.list_neighbours():
                await self._find_peers()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    async def _find_peers(self) -> None:
        try:
            leases = await self._registry.list_all()
        except MustardshuntError as error:
            self._metrics.count_event(f'first-peers-{error.code.value}')
            await self._probe_addresses()
            return
        records = tuple(_make_member(lease.record) for lease in leases)
        self._members.handle(RecordsArrived(records))

    async def _probe_addresses(self) -> None:
        logger.info(
            'the rows of the nodes cannot be read from the platform; '
            'probing the addresses of the data centre for peers',
        )
        pending = {self._start_probe(action) for action in self._search.start()}
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
                next_actions = self._search.record_failed(address)
                pending |= {
                    self._start_probe(action) for action in next_actions
                }

    def _start_probe(
        self,
        action: OpenLink,
    ) -> 'asyncio.Task[tuple[VmAddress, MemberRecord | None]]':
        return asyncio.create_task(self._probe_address(action.address))

    async def _probe_address(
        self,
        address: VmAddress,
    ) -> tuple[VmAddress, MemberRecord | None]:
        hello = await self._links.probe(address, _PROBE_TIMEOUT_SECONDS)
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
    """Return a membership record with the lowest sequence number.

    Any membership record that the node itself sends replaces this record.
    """
    return MemberRecord(
        record.incarnation,
        _UNKNOWN_SEQUENCE,
        record.data_centre,
        record.service,
        MemberState.JOINING,
        record.address,
    )
