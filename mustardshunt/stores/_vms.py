"""Registrations of nodes.

A registration is also the lease of the node's shares: other nodes may reclaim
the shares when the registration is not renewed in time.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass

from mustardshunt.base import Incarnation, VmAddress
from mustardshunt.stores._contents import decode_content
from mustardshunt.stores._protocols import Row, TableService, Write
from mustardshunt.stores._verified_writes import commit_verified

_PREFIX = 'vm/'


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Registration of a node, as other nodes read it.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the node, new at each start of its process.
    address : VmAddress
        Address at which the node listens for its peers.
    data_centre : str
        Data centre of the node's VM.
    service : str
        Service of the backend server beside the node, empty while there is
        none.
    boot_id : str
        Boot id of the VM's kernel.
    start_counter : int
        Number of starts of the node on its VM since the VM booted.
    """

    incarnation: Incarnation
    address: VmAddress
    data_centre: str
    service: str
    boot_id: str
    start_counter: int


@dataclass(frozen=True, slots=True)
class VmLease:
    """A node's registration, with the version of the registration's row.

    Parameters
    ----------
    record : VmRecord
        Registration that the node wrote.
    version : int
        Version of the row; it rises with each renewal of the lease.
    """

    record: VmRecord
    version: int


class VmRegistry:
    """Reads and writes the registrations, in rows ``vm/<incarnation>``.

    Only the registered node writes its row. Other nodes may delete the row.

    Parameters
    ----------
    table : TableService
        Table service with the rows.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def write(self, record: VmRecord) -> VmLease:
        """Write the first registration of an incarnation; return its lease.

        Raises
        ------
        ConflictError
            The incarnation is registered already.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the row was written.
        """
        return await self._write(record, 0)

    async def renew(
        self,
        lease: VmLease,
        record: VmRecord | None = None,
    ) -> VmLease:
        """Renew a lease, with a new record if the registration has changed.

        The caller must count the lease from the time at which the renewal was
        sent, not from the time of the answer.

        Parameters
        ----------
        lease : VmLease
            Lease that the last successful write returned.
        record : VmRecord or None, default=None
            New registration; None keeps the registration of the lease.

        Raises
        ------
        ConflictError
            The row was deleted because the lease lapsed or an operator declared
            the VM gone. Another node may hold the VM's shares by now, so the
            row is not written again.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the lease was renewed.
        """
        return await self._write(record or lease.record, lease.version)

    async def read(self, incarnation: Incarnation) -> VmLease | None:
        """Return an incarnation's registration, None when there is none."""
        row = await self._table.read_row(f'{_PREFIX}{incarnation}')
        return None if row is None else _decode(row)

    async def list_data_centre(self, data_centre: str) -> Sequence[VmLease]:
        """Return a data centre's registrations, sorted by incarnation."""
        return [
            lease
            for lease in await self.list_all()
            if lease.record.data_centre == data_centre
        ]

    async def list_all(self) -> Sequence[VmLease]:
        """Return all registrations, sorted by incarnation."""
        return [_decode(row) for row in await self._table.list_rows(_PREFIX)]

    async def delete(self, lease: VmLease) -> None:
        """Delete a registration unless the node has renewed the lease.

        Raises
        ------
        ConflictError
            The lease was renewed since ``lease`` was read, or the row is
            absent.
        PlatformUnavailableError
            Nothing was deleted.
        OutcomeUnknownError
            It is not known whether the row was deleted.
        """
        key = f'{_PREFIX}{lease.record.incarnation}'
        await commit_verified(self._table, Write(key, lease.version, None))

    async def _write(self, record: VmRecord, version: int) -> VmLease:
        key = f'{_PREFIX}{record.incarnation}'
        await commit_verified(self._table, Write(key, version, _encode(record)))
        return VmLease(record, version + 1)


def _encode(record: VmRecord) -> str:
    return json.dumps({
        'host': record.address.host,
        'port': record.address.port,
        'data_centre': record.data_centre,
        'service': record.service,
        'boot_id': record.boot_id,
        'start_counter': record.start_counter,
    })


def _decode(row: Row) -> VmLease:
    record = decode_content(
        row,
        'a registration',
        lambda body: VmRecord(
            Incarnation(row.key.removeprefix(_PREFIX)),
            VmAddress(body['host'], body['port']),
            body['data_centre'],
            body['service'],
            body['boot_id'],
            body['start_counter'],
        ),
    )
    return VmLease(record, row.version)
