"""Share rows: how the rates of each partition are divided over nodes.

A share is the part of a rate, in parts per million, that one node may spend. A
node that has a share is a holder.
"""

import enum
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Incarnation, check_range
from mustardshunt.stores._contents import decode_content
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    Row,
    TableService,
    Write,
)
from mustardshunt.stores._verified_writes import commit_verified

# Largest sum of the shares of a partition, in parts per million.
FULL_SHARE_PPM: Final = 1_000_000
_PREFIX: Final = 'shares/'


class CommitOutcome(enum.StrEnum):
    """Outcome of a conditional write of a share row.

    After ``CONFLICT`` the row has not been changed by this write and never will
    be. After ``UNKNOWN`` the write may have taken effect, or may still do so.
    """

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredShareRow:
    """Share row of one partition, as it was read from the table.

    Parameters
    ----------
    partition : int
        Number of the partition.
    version : int
        Version of the row, 0 if the partition has no row yet.
    share_by_holder : mapping of Incarnation to int
        Share of each node that holds one, in parts per million.
    """

    partition: int
    version: int
    share_by_holder: Mapping[Incarnation, int]


class ShareRowStore:
    """Reads the rows ``shares/<partition>``, and writes them conditionally.

    Parameters
    ----------
    table : TableService
        Table service with the rows.
    incarnation : Incarnation
        Identifies the run of the node that writes. Each write contains the
        incarnation and a sequence number. After a lost answer the node can thus
        tell its own write from another node's write of equal shares.
    """

    def __init__(self, table: TableService, incarnation: Incarnation) -> None:
        self._table = table
        self._incarnation = incarnation
        self._write_count = 0

    async def read(self, partition: int) -> StoredShareRow:
        """Return a partition's row, an empty row of version 0 if there is none.

        Raises
        ------
        PlatformUnavailableError
            The row could not be read.
        """
        row = await self._table.read_row(_row_key(partition))
        if row is None:
            return StoredShareRow(partition, 0, {})
        return _decode(partition, row)

    async def list_all(self) -> Sequence[StoredShareRow]:
        """Return the share rows of all partitions that have a row.

        Raises
        ------
        PlatformUnavailableError
            The rows could not be read.
        """
        return [
            _decode(int(row.key.removeprefix(_PREFIX)), row)
            for row in await self._table.list_rows(_PREFIX)
        ]

    async def compare_and_set(
        self,
        expected: StoredShareRow,
        share_by_holder: Mapping[Incarnation, int],
    ) -> CommitOutcome:
        """Write a partition's shares unless the row changed since it was read.

        Parameters
        ----------
        expected : StoredShareRow
            Row as it was read.
        share_by_holder : mapping of Incarnation to int
            New shares.

        Returns
        -------
        CommitOutcome
            Whether the shares were written, or that this is unknown.

        Raises
        ------
        ParameterError
            The shares sum to more than ``FULL_SHARE_PPM``.
        PlatformUnavailableError
            Nothing was written.
        """
        share_sum = sum(share_by_holder.values())
        check_range('sum of the shares', share_sum, 0, FULL_SHARE_PPM)
        self._write_count += 1
        body = {
            'parts': dict(sorted(share_by_holder.items())),
            'writer': f'{self._incarnation}-{self._write_count}',
        }
        key = _row_key(expected.partition)
        write = Write(key, expected.version, json.dumps(body))
        try:
            await commit_verified(self._table, write)
        except ConflictError:
            return CommitOutcome.CONFLICT
        except OutcomeUnknownError:
            return CommitOutcome.UNKNOWN
        return CommitOutcome.COMMITTED


def _row_key(partition: int) -> str:
    return f'{_PREFIX}{partition}'


def _decode(partition: int, row: Row) -> StoredShareRow:
    share_by_holder = decode_content(
        row,
        'a share row',
        lambda body: {
            Incarnation(holder): int(share)
            for holder, share in body['parts'].items()
        },
    )
    return StoredShareRow(partition, row.version, share_by_holder)
