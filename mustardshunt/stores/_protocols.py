"""Interfaces of the platform's table service and object store."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mustardshunt.base import ErrorCode, MustardshuntError


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    Parameters
    ----------
    key : str
        Key of the row, with ``/`` between its parts.
    version : int
        Number of writes of the row so far, 1 after the first.
    content : str
        JSON text of the row.
    """

    key: str
    version: int
    content: str


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a transaction.

    The write takes effect only if the row has the expected version.

    Parameters
    ----------
    key : str
        Key of the row.
    expected_version : int
        Version that the row must have, 0 if the row must be absent.
    content : str or None
        New JSON text of the row; None deletes the row.
    """

    key: str
    expected_version: int
    content: str | None


class ConflictError(MustardshuntError):
    """A row had another version than expected; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.VERSION_CONFLICT, message)


class PlatformUnavailableError(MustardshuntError):
    """The platform could not be reached; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class OutcomeUnknownError(MustardshuntError):
    """There was no answer to a write, which may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNKNOWN, message)


class TableService(Protocol):
    """Table service of the platform.

    A transaction takes effect only if all its rows have the expected versions.
    """

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent.

        Raises
        ------
        PlatformUnavailableError
            The row could not be read.
        """
        ...

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, sorted by key.

        Raises
        ------
        PlatformUnavailableError
            The rows could not be read.
        """
        ...

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none.

        Raises
        ------
        ConflictError
            A row had another version than its write expected.
        PlatformUnavailableError
            The platform could not be reached; nothing was written.
        OutcomeUnknownError
            It is not known whether the rows were written.
        """
        ...


class ObjectStore(Protocol):
    """Object store of the platform, which holds bytes under keys."""

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, None when it is absent.

        Raises
        ------
        PlatformUnavailableError
            The object could not be read.
        """
        ...

    async def write_object(self, key: str, content: bytes) -> None:
        """Write an object; the same write may be repeated.

        Raises
        ------
        PlatformUnavailableError
            The platform could not be reached; nothing was written.
        OutcomeUnknownError
            It is not known whether the object was written.
        """
        ...
