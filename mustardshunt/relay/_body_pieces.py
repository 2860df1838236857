"""Pieces of a body that is being received."""

from typing import Final

from mustardshunt.relay._large_body import LargeBody
from mustardshunt.relay._messages import PIECE_OVERHEAD_BYTES

# Pieces below this size are joined as they arrive, so that a body in chunks of
# one byte takes about as much memory as any other.
SMALL_PIECE_BYTES: Final = 2048
# Size at which joined pieces are kept as one.
JOINED_BYTES: Final = 65536


class BodyPieces:
    """Keeps the pieces of a body until the body is complete.

    Examples
    --------
    >>> pieces = BodyPieces()
    >>> for piece in (b'ab', b'c', b'd'):
    ...     _ = pieces.append(piece)
    >>> pieces.size, pieces.take()
    (4, b'abcd')
    """

    __slots__ = ('_joined', '_pieces', 'large', 'size')

    def __init__(self) -> None:
        self.size = 0
        self._pieces: list[bytes] = []
        self._joined: bytearray | None = None
        # Keeps the body if it is a large one.
        self.large: LargeBody | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the pieces take in the account."""
        if self.large is not None:
            return 0
        return self.size + PIECE_OVERHEAD_BYTES * len(self._pieces)

    def append(self, piece: bytes) -> bool:
        """Add the next piece.

        Returns
        -------
        bool
            False if it does not fit into a large body.
        """
        self.size += len(piece)
        if self.large is not None:
            return self.large.append(piece)
        self._add(piece)
        return True

    def keep_large(self, body: LargeBody) -> None:
        """Keep the body as a large one, with what has arrived of it.

        Parameters
        ----------
        body : LargeBody
            Empty body with room for what has arrived.
        """
        if self._joined is not None:
            self._keep_joined()
        for piece in self._pieces:
            body.append(piece)
        self._pieces = []
        self.large = body

    def _add(self, piece: bytes) -> None:
        if len(piece) >= SMALL_PIECE_BYTES or not self._pieces:
            if self._joined is not None:
                self._keep_joined()
            self._pieces.append(piece)
            return
        if self._joined is None:
            self._joined = bytearray()
        self._joined += piece
        if len(self._joined) >= JOINED_BYTES:
            self._keep_joined()

    def take(self) -> bytes:
        """Return the whole body, and keep nothing; empty for a large one."""
        if self._joined is not None:
            self._keep_joined()
        body = b''.join(self._pieces)
        self._pieces = []
        self.size = 0
        return body

    def take_large(self) -> LargeBody | None:
        """Return the body if it is a large one; it is not closed here."""
        body = self.large
        self.large = None
        return body

    def drop_large(self) -> None:
        """Close a large body."""
        if self.large is not None:
            self.large.close()

    def _keep_joined(self) -> None:
        if self._joined is not None:
            self._pieces.append(bytes(self._joined))
        self._joined = None
