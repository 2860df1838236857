"""Writes a large body to the backend server as the server reads it."""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

from mustardshunt.relay._large_body import LargeBody

# Bytes that are written before other work is done.
PIECE_BYTES: Final = 65536


@dataclass(frozen=True, slots=True)
class LargeRequest:
    """Request whose body is written in pieces behind its head.

    Parameters
    ----------
    head : bytes
        Head of the request.
    body : LargeBody
        Body of the request.
    """

    head: bytes
    body: LargeBody


class BodyUpload:
    """Body that is being written to one connection.

    Parameters
    ----------
    body : LargeBody
        The body. If it is closed before it is written, the connection is
        aborted, since the server cannot get the rest.
    transport : asyncio.Transport
        Connection to the backend server.
    """

    __slots__ = ('_body', '_drained', '_sent', '_transport', 'is_complete')

    def __init__(self, body: LargeBody, transport: asyncio.Transport) -> None:
        self._body = body
        self._transport = transport
        self._sent = 0
        self._drained: asyncio.Future[None] | None = None
        self.is_complete = False

    def pause(self) -> None:
        """Stop writing: the server reads more slowly."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Go on with writing."""
        drained = self._drained
        self._drained = None
        if drained is not None and not drained.done():
            drained.set_result(None)

    async def run(self, answer: asyncio.Future[Any]) -> None:
        """Write the body, or as much as is written when the call ends.

        Parameters
        ----------
        answer : asyncio.Future
            Done when the call has ended, with or without an answer.
        """
        body = self._body
        while not answer.done():
            if body.is_closed:
                self._transport.abort()
                return
            if self._drained is not None:
                await asyncio.wait(
                    (answer, self._drained), return_when=asyncio.FIRST_COMPLETED
                )
                continue
            if self._sent == len(body):
                self.is_complete = True
                body.finish_sending()
                return
            with body.view(self._sent, PIECE_BYTES) as piece:
                self._transport.write(piece)
                self._sent += len(piece)
            await asyncio.sleep(0)
