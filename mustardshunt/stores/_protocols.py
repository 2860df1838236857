"""What the project needs of the platform."""

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
        Key, with ``/`` between its parts.
    version : int
        1 at the first write, one more at each later write.
    content : str
        JSON text.
    """

    key: str
    version: int
    content: str


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    key : str
        Key of the row.
    expected_version : int
        Version that the row must have; 0 when it must be absent.
    content : str or None
        JSON text; None deletes the row.
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
    """The answer was lost; the write may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNKNOWN, message)


class TableService(Protocol):
    """Transactional table service of the platform."""

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        ...

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, by key."""
        ...

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none.

        Raises
        ------
        ConflictError
            A row had another version.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the rows were written.
        """
        ...


class ObjectStore(Protocol):
    """Object store of the platform."""

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, None when it is absent."""
        ...

    async def write_object(self, key: str, content: bytes) -> None:
        """Write an object; repeating the same write is harmless."""
        ...
