"""A body that is kept once in the process, whatever passes it on."""

import hashlib
import mmap
from typing import Final

from mustardshunt.memory import LargeBodyRoom

_DIGEST_BYTES: Final = 16


class LargeBody:
    """Body of a request that takes the room for large bodies.

    The bytes are kept in one private mapping. Its pages take memory as they are
    written, and are returned to the operating system when the body is closed,
    which the heap does not guarantee.

    Parameters
    ----------
    room : LargeBodyRoom
        Room that the body has taken; it is returned when the body is closed.
    size : int
        Most bytes that the body may have.
    is_repeatable : bool
        Whether the body must be kept when it has been passed on, since the
        request may be sent again.
    """

    __slots__ = (
        '_digest',
        '_length',
        '_mapping',
        '_room',
        '_view',
        'is_closed',
        'is_repeatable',
        'size',
    )

    def __init__(
        self, room: LargeBodyRoom, size: int, is_repeatable: bool
    ) -> None:
        self._room = room
        self._mapping = mmap.mmap(
            -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        self._view = memoryview(self._mapping)
        self._length = 0
        # A digest of the whole body at once would block the event loop.
        self._digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self.size = size
        self.is_closed = False
        self.is_repeatable = is_repeatable

    def __len__(self) -> int:
        return self._length

    def append(self, piece: bytes) -> bool:
        """Add bytes; they are dropped if the body is closed.

        Returns
        -------
        bool
            False if they do not fit.
        """
        if self.is_closed:
            return True
        end = self._length + len(piece)
        if end > self.size:
            return False
        self._mapping.seek(self._length)
        self._mapping.write(piece)
        self._length = end
        if self.is_repeatable:
            self._digest.update(piece)
        return True

    def view(self, start: int, size: int) -> memoryview:
        """Return at most ``size`` bytes from an offset on.

        The view must be released before the body can be closed.

        Raises
        ------
        ValueError
            The body is closed.
        """
        end = min(start + size, self._length)
        return self._view[start:end].toreadonly()

    def digest(self) -> bytes:
        """Return a digest of the bytes, of a body that is repeatable."""
        return self._digest.digest()

    def finish_sending(self) -> None:
        """Close the body unless it may be sent again."""
        if not self.is_repeatable:
            self.close()

    def close(self) -> None:
        """Return the memory and the room; nothing can be read any more."""
        if self.is_closed:
            return
        self.is_closed = True
        self._view.release()
        self._mapping.close()
        self._room.release()


def take_large_body(
    room: LargeBodyRoom, size: int, is_repeatable: bool
) -> LargeBody | None:
    """Take the room for large bodies; return None if it cannot be taken.

    Parameters
    ----------
    room : LargeBodyRoom
        Room of the process.
    size : int
        Bytes of the body, or the most that it may have.
    is_repeatable : bool
        Whether the body must be kept when it has been passed on.
    """
    if not room.reserve(size):
        return None
    return LargeBody(room, size, is_repeatable)
