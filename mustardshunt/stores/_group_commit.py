"""Group commit: single writes of many calls in one transaction."""

import asyncio
from collections.abc import Sequence

from mustardshunt.base import check_range
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)

# Bounds of one transaction, well below the platform's 16 MiB.
_MAX_WRITES = 64
_MAX_CHARACTERS = 1024 * 1024


class _Group:
    """Writes that share a transaction, and who waits for each."""

    def __init__(self) -> None:
        self.write_by_key: dict[str, Write] = {}
        self.future_by_key: dict[str, asyncio.Future[None]] = {}
        self._characters = 0

    def takes(self, write: Write) -> bool:
        """Tell whether there is room, and no other write of the row."""
        return (
            write.key not in self.write_by_key
            and len(self.write_by_key) < _MAX_WRITES
            and self._characters < _MAX_CHARACTERS
        )

    def add(self, write: Write) -> asyncio.Future[None]:
        """Add a write and return the future of its outcome."""
        future = asyncio.get_running_loop().create_future()
        self.write_by_key[write.key] = write
        self.future_by_key[write.key] = future
        self._characters += len(write.content or '')
        return future

    def finish(
        self,
        writes: Sequence[Write],
        error: Exception | None,
    ) -> None:
        """Report the outcome of some of the writes."""
        for write in writes:
            future = self.future_by_key[write.key]
            # A waiting call may have been cancelled meanwhile.
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)

    def interrupt(self) -> None:
        """Report an unknown outcome to all who still wait."""
        error = OutcomeUnknownError('the group commit was interrupted')
        self.finish(list(self.write_by_key.values()), error)


class GroupCommitTable:
    """Table service that puts single writes together.

    Transactions with several writes, and reads, pass through unchanged.

    Parameters
    ----------
    table : TableService
        Table behind it.
    window : float
        Seconds for which a group collects writes.
    """

    def __init__(self, table: TableService, window: float) -> None:
        self._table = table
        self._window = window
        self._open: _Group | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        return await self._table.read_row(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, by key."""
        return await self._table.list_rows(prefix)

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none.

        A write that shares a transaction with one that conflicts is committed
        without it, so each caller gets the outcome of its own write. Ending
        the wait does not withdraw the write.
        """
        if len(writes) != 1:
            return await self._table.commit(writes)
        write = writes[0]
        if self._open is None or not self._open.takes(write):
            self._open = _Group()
            self._start(self._open)
        return await self._open.add(write)

    async def close(self) -> None:
        """Wait until all groups are committed."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, group: _Group) -> None:
        task = asyncio.create_task(self._run_group(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Nobody waits for ever, also when the task is cancelled.
        task.add_done_callback(lambda _: group.interrupt())

    async def _run_group(self, group: _Group) -> None:
        await asyncio.sleep(self._window)
        if self._open is group:
            self._open = None
        await self._commit(group, list(group.write_by_key.values()))

    async def _commit(self, group: _Group, writes: Sequence[Write]) -> None:
        try:
            await self._table.commit(writes)
        except ConflictError as conflict:
            if len(writes) == 1:
                return group.finish(writes, conflict)
            # Halving finds one conflict among 64 in 6 rounds; one commit for
            # each write would cost the platform 64.
            middle = len(writes) // 2
            await asyncio.gather(
                self._commit(group, writes[:middle]),
                self._commit(group, writes[middle:]),
            )
        except (PlatformUnavailableError, OutcomeUnknownError) as error:
            group.finish(writes, error)
        else:
            group.finish(writes, None)
        return None


def make_group_commit_table(
    table: TableService,
    window: float = 0.005,
) -> GroupCommitTable:
    """Make a table that groups single writes.

    Parameters
    ----------
    table : TableService
        Table behind it.
    window : float, default=0.005
        Seconds for which a group collects writes.
    """
    check_range('window', window, 0.0, 1.0)
    return GroupCommitTable(table, window)
