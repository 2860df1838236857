"""Conditional writes whose outcome is found out after a lost answer."""

from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)

# A platform that loses this many answers in a row is left for the next period.
_ATTEMPTS = 3


async def commit_verified(table: TableService, write: Write) -> None:
    """Commit one write, and after a lost answer find out what became of it.

    A copy of the write may still be under way when the row is read. The write
    is then sent again: its condition lets only one of the copies take effect,
    and the answer to the second tells which row version is there.

    Parameters
    ----------
    table : TableService
        Table to write to.
    write : Write
        Its content must differ from what any other writer would write at the
        same version.

    Raises
    ------
    ConflictError
        Another writer was first, or the row is gone; this write has not taken
        effect, or is undone.
    PlatformUnavailableError
        Nothing was written.
    OutcomeUnknownError
        The write may have taken effect, or may still do so.
    """
    doubt: OutcomeUnknownError | None = None
    for _ in range(_ATTEMPTS):
        failure = await attempt_write(table, write, doubt)
        if failure is None:
            return
        if isinstance(failure, OutcomeUnknownError):
            doubt = failure
        if doubt is None:
            raise failure
        if await _is_written(table, write, doubt):
            return
    raise doubt or OutcomeUnknownError(f'no attempt for {write.key!r}')


async def attempt_write(
    table: TableService,
    write: Write,
    unknown_error: OutcomeUnknownError | None,
) -> ConflictError | OutcomeUnknownError | None:
    """Commit one write; return the error after which the row decides.

    Raises
    ------
    PlatformUnavailableError
        Nothing was written, and there was no doubt.
    OutcomeUnknownError
        Nothing was written now, but an earlier write is in doubt.
    """
    try:
        await table.commit([write])
    except (ConflictError, OutcomeUnknownError) as failure:
        return failure
    except PlatformUnavailableError as error:
        if unknown_error is None:
            raise
        raise unknown_error from error
    return None


async def read_after_unknown(
    table: TableService,
    key: str,
    unknown_error: OutcomeUnknownError | None,
) -> Row | None:
    """Read a row, and report the doubt when it cannot be read.

    Raises
    ------
    PlatformUnavailableError
        The read failed, and there was no doubt.
    OutcomeUnknownError
        The read failed, and an earlier write is in doubt.
    """
    try:
        return await table.read_row(key)
    except PlatformUnavailableError as error:
        if unknown_error is None:
            raise
        raise unknown_error from error


async def _is_written(
    table: TableService,
    write: Write,
    doubt: OutcomeUnknownError,
) -> bool:
    row = await read_after_unknown(table, write.key, doubt)
    if row is None:
        return _is_deleted(write)
    if row.version == write.expected_version:
        return False
    if row.version != write.expected_version + 1:
        # Later writers may have built on this write, or on another one.
        raise doubt
    if row.content == write.content:
        return True
    raise ConflictError(f'row {write.key!r} was written by another')


def _is_deleted(write: Write) -> bool:
    if write.content is None:
        return True
    if write.expected_version:
        raise ConflictError(f'row {write.key!r} is gone')
    return False
