"""Reads and writes share rows in the platform's table service.

The organisations are divided into partitions. The share row of a partition
lists the nodes that hold shares of these organisations' rates.
"""

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

# All rows together have about 60 KB. Each change is forwarded from node to
# node, and a holder reads a row again after a conflict. So reading all rows is
# needed only for changes that the forwarding has missed.
SHARE_READ_INTERVAL_SECONDS: Final = 120.0
# The interval after a failed read is shorter: without share rows, the token
# cache knows no node to which it can send token requests.
_READ_RETRY_SECONDS: Final = 20.0
_READ_JITTER: Final = 0.2


class ShareTableSync:
    """Reads and writes the share rows for the holder and the token cache.

    Parameters
    ----------
    rows : ShareRowStore
        Share rows on the platform.
    rates : RateSync
        Receives the share rows, and queues the reads and writes to carry out.
    metrics : NodeMetrics
        Counters.
    random : RandomSource
        Source of the jitter between the reads.
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
        """Read all share rows periodically, with jitter."""
        while True:
            seconds = _READ_RETRY_SECONDS
            if await self.read():
                seconds = SHARE_READ_INTERVAL_SECONDS
            jitter = _READ_JITTER * (2 * self._random.random() - 1)
            await asyncio.sleep(seconds * (1 + jitter))

    async def read(self) -> bool:
        """Read all share rows from the platform once, and store newer rows.

        Returns
        -------
        bool
            True when the read succeeded, False when it failed.
        """
        try:
            rows = await self._rows.list_all()
        except MustardshuntError as error:
            self._metrics.count_event(f'shares-{error.code.value}')
            return False
        row_by_partition = {row.partition: row for row in rows}
        for partition in range(PARTITIONS):
            row = row_by_partition.get(partition)
            if row is None:
                row = StoredShareRow(partition, 0, {})
            self._rates.update_row(_to_share_row(row))
        return True

    async def run_operations(self) -> None:
        """Carry out the queued reads and writes one after the other."""
        while True:
            operation = await self._rates.table_operations.get()
            if isinstance(operation, CommitShares):
                await self._commit(operation)
            else:
                await self._read_one(operation.partition)

    async def _commit(self, action: CommitShares) -> None:
        change = action.change
        expected = StoredShareRow(
            change.partition,
            change.expected_version,
            {},
        )
        try:
            result = await self._rows.compare_and_set(
                expected,
                change.share_by_holder,
            )
        except MustardshuntError as error:
            self._metrics.count_event(f'shares-{error.code.value}')
            outcome = CommitOutcome.UNKNOWN
        else:
            outcome = CommitOutcome(result.value)
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
