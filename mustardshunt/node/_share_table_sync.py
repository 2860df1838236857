"""Partition rows of the shares on the platform."""

import asyncio
from typing import Final

from mustardshunt.base import MustardshuntError, RandomSource
from mustardshunt.node._rate_sync import RateSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.rate import (
    PARTITIONS,
    CommitAnswered,
    CommitOutcome,
    CommitShares,
    ShareRow,
)
from mustardshunt.stores import ShareRowStore, StoredShareRow

# All rows have about 60 KB. Changes are flooded, and a holder that meets a
# conflict reads the row, so reading all only mends what a flood has missed.
SHARE_READ_INTERVAL_SECONDS: Final = 120.0
# Without the rows the wallet has no holder to ask.
_READ_AGAIN_SECONDS: Final = 20.0
_READ_SPREAD: Final = 0.2


class ShareTableSync:
    """Reads and writes the partition rows for the holder and the wallet.

    Parameters
    ----------
    rows : ShareRowStore
        Partition rows on the platform.
    rates : RateSync
        Takes the rows, and asks for changes.
    metrics : NodeMetrics
        Counters.
    random : RandomSource
        Spreads the reads of the nodes.
    """

    def __init__(
        self,
        rows: ShareRowStore,
        rates: RateSync,
        metrics: NodeMetrics,
        random: RandomSource,
    ) -> None:
        self._rows = rows
        self._rates = rates
        self._metrics = metrics
        self._random = random

    async def run_read(self) -> None:
        """Read all rows from the platform again and again."""
        while True:
            seconds = _READ_AGAIN_SECONDS
            if await self.read():
                seconds = SHARE_READ_INTERVAL_SECONDS
            spread = _READ_SPREAD * (2 * self._random.random() - 1)
            await asyncio.sleep(seconds * (1 + spread))

    async def read(self) -> bool:
        """Read all rows from the platform once.

        Returns
        -------
        bool
            False when the platform is away.
        """
        try:
            found = await self._rows.list_all()
        except MustardshuntError as error:
            self._metrics.count_event(f'shares-{error.code.value}')
            return False
        row_by_partition = {row.partition: row for row in found}
        for partition in range(PARTITIONS):
            row = row_by_partition.get(partition)
            if row is None:
                row = StoredShareRow(partition, 0, {})
            self._rates.update_row(_to_share_row(row))
        return True

    async def run_operations(self) -> None:
        """Write and read rows as the holder asks, one after the other."""
        while True:
            work = await self._rates.table_operations.get()
            if isinstance(work, CommitShares):
                await self._commit(work)
            else:
                await self._read_one(work.partition)

    async def _commit(self, action: CommitShares) -> None:
        change = action.change
        expected = StoredShareRow(
            change.partition,
            change.expected_version,
            {},
        )
        try:
            found = await self._rows.compare_and_set(
                expected,
                change.share_by_holder,
            )
        except MustardshuntError as error:
            self._metrics.count_event(f'shares-{error.code.value}')
            outcome = CommitOutcome.UNKNOWN
        else:
            outcome = CommitOutcome(found.value)
            self._metrics.count_event(f'shares-{outcome.value}')
        self._rates.handle(CommitAnswered(change, outcome))
        if outcome is CommitOutcome.COMMITTED:
            self._rates.update_row(change.row())

    async def _read_one(self, partition: int) -> None:
        try:
            row = await self._rows.read(partition)
        except MustardshuntError as error:
            self._metrics.count_event(f'shares-{error.code.value}')
            return
        self._rates.update_row(_to_share_row(row))


def _to_share_row(row: StoredShareRow) -> ShareRow:
    return ShareRow(row.partition, row.version, row.share_by_holder)
