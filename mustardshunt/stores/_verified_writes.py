"""Conditional writes whose outcome is determined after a lost answer."""

from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)

# After this many attempts without a known outcome, the outcome is reported as
# unknown. Callers try again in their next period.
_MAX_ATTEMPTS = 3


async def commit_verified(table: TableService, write: Write) -> None:
    """Commit one write; read the row if the answer to the write was lost.

    When the row is read, the write may still be on its way. If the row is
    unchanged, the write is therefore sent again. The condition of the write
    lets only one of the copies take effect, and the answer to the second copy
    tells whether the row has changed.

    Parameters
    ----------
    table : TableService
        Table service to write to.
    write : Write
        Write to commit. No other writer may write the same content at the same
        version: the content shows whose write took effect.

    Raises
    ------
    ConflictError
        Another writer changed the row first, or the row was deleted. Either
        this write has not taken effect, or the row was deleted afterwards.
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
    """Try once to commit a write.

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
        None when the write took effect. An error when the row must be read to
        find out whether the write took effect.

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
    """Return a row from which the outcome of a write can be determined.

    Parameters
    ----------
    table : TableService
        Table service to read from.
    key : str
        Key of the row.
    unknown_error : OutcomeUnknownError or None
        Error of the write if the write's outcome is unknown, else None.

    Returns
    -------
    Row or None
        None when the row is absent.

    Raises
    ------
    PlatformUnavailableError
        The read failed, and the outcome of no earlier write is unknown.
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
        # Another write followed, so the row's content no longer tells whether
        # this write took effect.
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
