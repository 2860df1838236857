"""Group commit: joins the single writes of many calls in one transaction."""

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

# Limits of one transaction, far below the 16 MiB that the platform accepts.
_MAX_WRITES = 64
_MAX_CONTENT_CHARACTERS = 1024 * 1024


class _Group:
    """Writes of one transaction, each with a future for the write's outcome."""

    def __init__(self) -> None:
        self.write_by_key: dict[str, Write] = {}
        self.future_by_key: dict[str, asyncio.Future[None]] = {}
        self._content_characters = 0

    def has_room_for(self, write: Write) -> bool:
        """Return whether a write may join the group.

        The group must be below its size limits and must not hold a write of the
        same row.
        """
        return (
            write.key not in self.write_by_key
            and len(self.write_by_key) < _MAX_WRITES
            and self._content_characters < _MAX_CONTENT_CHARACTERS
        )

    def add(self, write: Write) -> asyncio.Future[None]:
        """Add a write, and return a future for the write's outcome."""
        future = asyncio.get_running_loop().create_future()
        self.write_by_key[write.key] = write
        self.future_by_key[write.key] = future
        self._content_characters += len(write.content or '')
        return future

    def finish(
        self,
        writes: Sequence[Write],
        error: Exception | None,
    ) -> None:
        """Report one outcome to the calls that wait for some of the writes."""
        for write in writes:
            future = self.future_by_key[write.key]
            # A future is already done when the call that waited for it was
            # cancelled.
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)

    def abandon(self) -> None:
        """Report an unknown outcome to all calls that still wait."""
        error = OutcomeUnknownError(
            'the group commit ended before its outcome was known'
        )
        self.finish(list(self.write_by_key.values()), error)


class GroupCommitTable:
    """Table service that joins the writes of many calls in one transaction.

    Only calls with exactly one write are joined. Reads, and transactions with
    several writes, are passed on unchanged.

    Parameters
    ----------
    table : TableService
        Table service that the groups are committed to.
    window : float
        Seconds for which a group collects writes.
    """

    def __init__(self, table: TableService, window: float) -> None:
        self._table = table
        self._window = window
        self._open_group: _Group | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        return await self._table.read_row(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, sorted by key."""
        return await self._table.list_rows(prefix)

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none; a single write is committed with its group.

        When one write of a group conflicts, the other writes are committed
        without the conflicting write. Each caller thus gets the outcome of the
        caller's own write. Cancelling a call does not cancel the write.

        Raises
        ------
        ConflictError
            A row had another version than its write expected.
        PlatformUnavailableError
            The platform could not be reached; nothing was written.
        OutcomeUnknownError
            It is not known whether the rows were written.
        """
        if len(writes) != 1:
            return await self._table.commit(writes)
        write = writes[0]
        if self._open_group is None or not self._open_group.has_room_for(write):
            self._open_group = _Group()
            self._start_commit(self._open_group)
        return await self._open_group.add(write)

    async def close(self) -> None:
        """Wait until all groups are committed or have failed."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_commit(self, group: _Group) -> None:
        task = asyncio.create_task(self._commit_after_window(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # If the task is cancelled, the calls of its group must not wait for
        # ever.
        task.add_done_callback(lambda _: group.abandon())

    async def _commit_after_window(self, group: _Group) -> None:
        await asyncio.sleep(self._window)
        if self._open_group is group:
            self._open_group = None
        await self._commit(group, list(group.write_by_key.values()))

    async def _commit(self, group: _Group, writes: Sequence[Write]) -> None:
        try:
            await self._table.commit(writes)
        except ConflictError as conflict:
            if len(writes) == 1:
                return group.finish(writes, conflict)
            # Halving finds one conflicting write among 64 in 6 rounds. The
            # alternative would be 64 transactions with one write each.
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
    """Make a table service that commits single writes in groups.

    Parameters
    ----------
    table : TableService
        Table service that the groups are committed to.
    window : float, default=0.005
        Seconds for which a group collects writes, at most 1.

    Raises
    ------
    ParameterError
        The window is out of range.
    """
    check_range('window', window, 0.0, 1.0)
    return GroupCommitTable(table, window)
