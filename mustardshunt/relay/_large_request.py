"""Keeps the large body of a request that arrives from a caller."""

import http
from typing import Final

from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.relay._large_body import LargeBody, take_large_body
from mustardshunt.relay._request_parser import RequestParser

# Most bytes that one read of a connection adds to a body. A body of unstated
# length moves to the room for large ones while it still fits into the account.
MAX_RECEIVED_BYTES: Final = 256 * 1024


class LargeRequestMemory:
    """Takes the room for the large bodies of one connection, one at a time.

    Parameters
    ----------
    memory : MemoryAccount
        Account beside which a large body is kept.
    parser : RequestParser
        Parser of the connection.
    """

    __slots__ = ('_body', '_memory', '_parser')

    def __init__(self, memory: MemoryAccount, parser: RequestParser) -> None:
        self._memory = memory
        self._parser = parser
        self._body: LargeBody | None = None

    @property
    def arriving_bytes(self) -> int:
        """Room that the body being received has taken, 0 for none."""
        if self._body is None or not self._parser.has_large_body:
            return 0
        return self._body.size

    def is_growing_large(self) -> bool:
        """Tell whether a body of unstated length needs other room now."""
        largest_body = self._memory.largest_body
        arriving_bytes = self._parser.arriving_bytes
        if arriving_bytes + MAX_RECEIVED_BYTES <= largest_body:
            return False
        if self._memory.large_bodies.largest:
            return not self._parser.has_large_body
        # There is no room for such a body at any time.
        return arriving_bytes > largest_body

    def keep(self, size: int) -> None:
        """Keep the body that arrives as a large one, or refuse it.

        Parameters
        ----------
        size : int
            Length of the body, 0 if it is unstated.
        """
        room = self._memory.large_bodies
        size = size or room.largest
        body = take_large_body(room, size, is_repeatable=True)
        if body is not None:
            self._body = body
            self._parser.keep_large(body)
            return
        self._memory.record_refusal(HeldPart.REQUESTS, size)
        if 0 < size <= room.largest:
            self._parser.refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._parser.refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def close(self) -> None:
        """Return the room: the connection is closed."""
        if self._body is not None:
            self._body.close()
