"""Registrations of nodes; each is also the lease of the node's shares."""

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
    """Registration with the version of its row.

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
    """Reads and writes the rows ``vm/<incarnation>``.

    Only the node itself writes its row; others may delete it.

    Parameters
    ----------
    table : TableService
        Table service with the rows.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def write(self, record: VmRecord) -> VmLease:
        """Register an incarnation for the first time.

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

        The lease runs from the time at which the caller sent the renewal, not
        from the time of the answer.

        Parameters
        ----------
        lease : VmLease
            Lease as it was last written.
        record : VmRecord or None, default=None
            New registration; None keeps that of the lease.

        Raises
        ------
        ConflictError
            The row was deleted because the lease lapsed or an operator
            declared the VM gone. Its shares may have another holder, so the
            row is not written again.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the lease was renewed.
        """
        return await self._write(record or lease.record, lease.version)

    async def read(self, incarnation: Incarnation) -> VmLease | None:
        """Return a registration, None when there is none."""
        row = await self._table.read_row(f'{_PREFIX}{incarnation}')
        return None if row is None else _decode(row)

    async def list_data_centre(self, data_centre: str) -> Sequence[VmLease]:
        """Return the registrations of one data centre, by incarnation."""
        return [
            lease
            for lease in await self.list_all()
            if lease.record.data_centre == data_centre
        ]

    async def list_all(self) -> Sequence[VmLease]:
        """Return all registrations, by incarnation."""
        return [_decode(row) for row in await self._table.list_rows(_PREFIX)]

    async def delete(self, lease: VmLease) -> None:
        """Delete a registration unless it was renewed since it was read.

        Raises
        ------
        ConflictError
            The lease was renewed since it was read, or the row is absent.
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
