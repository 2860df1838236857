"""Conditional writes that determine their outcome after a lost answer."""

from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)

# After this many lost answers in a row the outcome stays unknown; callers try
# again in their next period.
_MAX_ATTEMPTS = 3


async def commit_verified(table: TableService, write: Write) -> None:
    """Commit one write, and read the row when its answer was lost.

    A copy of the write may still be on its way when the row is read. The write
    is therefore sent again: its condition lets only one of the copies take
    effect, and the answer to the second copy tells whether the row has changed.

    Parameters
    ----------
    table : TableService
        Table service to write to.
    write : Write
        Write to commit. Its content must differ from what any other writer
        would write at the same version.

    Raises
    ------
    ConflictError
        Another writer was first, or the row was deleted. This write has not
        taken effect, or its row was deleted afterwards.
    PlatformUnavailableError
        Nothing was written.
    OutcomeUnknownError
        The write may have taken effect, or may still do so.
    """
    unknown_error: OutcomeUnknownError | None = None
    for _ in range(_MAX_ATTEMPTS):
        failure = await attempt_write(table, write, unknown_error)
        if failure is None:
            return
        if isinstance(failure, OutcomeUnknownError):
            unknown_error = failure
        if unknown_error is None:
            raise failure
        if await _is_written(table, write, unknown_error):
            return
    raise unknown_error or OutcomeUnknownError(
        f'row {write.key!r}: outcome unknown after {_MAX_ATTEMPTS} attempts',
    )


async def attempt_write(
    table: TableService,
    write: Write,
    unknown_error: OutcomeUnknownError | None,
) -> ConflictError | OutcomeUnknownError | None:
    """Commit one write.

    Parameters
    ----------
    table : TableService
        Table service to write to.
    write : Write
        Write to commit.
    unknown_error : OutcomeUnknownError or None
        Error of an earlier attempt whose outcome is unknown.

    Returns
    -------
    ConflictError, OutcomeUnknownError or None
        None when the write took effect; an error when only the row can tell
        whether it did.

    Raises
    ------
    PlatformUnavailableError
        Nothing was written, now or by an earlier attempt.
    OutcomeUnknownError
        Nothing was written now, but the outcome of an earlier attempt is
        unknown.
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
    """Read a row to determine the outcome of a write.

    Parameters
    ----------
    table : TableService
        Table service to read from.
    key : str
        Key of the row.
    unknown_error : OutcomeUnknownError or None
        Error of the write if its outcome is unknown.

    Returns
    -------
    Row or None
        None when the row is absent.

    Raises
    ------
    PlatformUnavailableError
        The read failed, and no outcome is unknown.
    OutcomeUnknownError
        The read failed, and the outcome of the write stays unknown.
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
    unknown_error: OutcomeUnknownError,
) -> bool:
    row = await read_after_unknown(table, write.key, unknown_error)
    if row is None:
        return _is_written_if_absent(write)
    if row.version == write.expected_version:
        return False
    if row.version != write.expected_version + 1:
        # The row was written again since, so its content no longer tells
        # whether this write took effect.
        raise unknown_error
    if row.content == write.content:
        return True
    raise ConflictError(
        f'row {write.key!r}: version {row.version} is by another writer',
    )


def _is_written_if_absent(write: Write) -> bool:
    if write.content is None:
        return True
    if write.expected_version:
        raise ConflictError(
            f'row {write.key!r} was deleted, expected version '
            f'{write.expected_version}',
        )
    return False
