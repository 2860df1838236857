"""Partition rows: which holder owns what part of the rates."""

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

# Parts per million that all shares of a partition make together.
FULL_SHARE_PPM: Final = 1_000_000
_PREFIX: Final = 'shares/'


class CommitOutcome(enum.StrEnum):
    """What became of a change of a partition row."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredShareRow:
    """Shares of one partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    version : int
        Version of the row; 0 when there is none yet.
    share_by_holder : mapping of Incarnation to int
        Share of each holder in parts per million.
    """

    partition: int
    version: int
    share_by_holder: Mapping[Incarnation, int]


class ShareRowStore:
    """Rows ``shares/<partition>``, changed by compare-and-set only.

    Parameters
    ----------
    table : TableService
        Table.
    incarnation : Incarnation
        Writer. Each write carries it with a number, so that after a lost
        answer two writers of equal shares are told apart.
    """

    def __init__(self, table: TableService, incarnation: Incarnation) -> None:
        self._table = table
        self._incarnation = incarnation
        self._writes = 0

    async def read(self, partition: int) -> StoredShareRow:
        """Return a partition's row; version 0 when there is none.

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
        """Return all rows that there are.

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
        """Change a partition's shares unless somebody else was first.

        Parameters
        ----------
        expected : StoredShareRow
            Row as it was read.
        share_by_holder : mapping of Incarnation to int
            New shares.

        Returns
        -------
        CommitOutcome
            ``CONFLICT`` when this change has not taken effect and will not;
            ``UNKNOWN`` when it may have, or may still do so.

        Raises
        ------
        ParameterError
            The shares exceed the whole.
        PlatformUnavailableError
            Nothing was written.
        """
        whole = sum(share_by_holder.values())
        check_range('sum of the shares', whole, 0, FULL_SHARE_PPM)
        self._writes += 1
        body = {
            'parts': dict(sorted(share_by_holder.items())),
            'writer': f'{self._incarnation}-{self._writes}',
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
    parts_by_incarnation = decode_content(
        row,
        'a partition row',
        lambda body: {
            Incarnation(name): int(parts)
            for name, parts in body['parts'].items()
        },
    )
    return StoredShareRow(partition, row.version, parts_by_incarnation)
