"""Connections between nodes that carry frames."""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Final

from mustardshunt.base import VmAddress
from mustardshunt.relay._frames import Frame, FrameSplitter, encode_frame

CONNECT_SECONDS: Final = 1.0
# A peer that does not read makes its link useless long before this; the
# bytes count for the memory of the node.
MAX_UNSENT_BYTES: Final = 32 * 1024 * 1024
_READ_BYTES: Final = 65536


class FrameStream:
    """One connection that carries frames both ways.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._transport = writer.transport
        self.heard_at = asyncio.get_running_loop().time()
        self._now = asyncio.get_running_loop().time
        connection = writer.get_extra_info('socket')
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return not self._transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Send a frame; nothing happens on a closed connection."""
        if self._transport.is_closing():
            return
        self._writer.write(encode_frame(frame))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield frames until the connection ends.

        Raises
        ------
        FrameError
            The peer sends something else.
        """
        splitter = FrameSplitter()
        while True:
            try:
                received = await self._reader.read(_READ_BYTES)
            except ConnectionError:
                return
            if not received:
                return
            self.heard_at = self._now()
            for frame in splitter.feed(received):
                yield frame

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()


async def dial(address: VmAddress) -> FrameStream:
    """Open a connection to a node.

    Raises
    ------
    OSError or TimeoutError
        The node cannot be reached.
    """
    async with asyncio.timeout(CONNECT_SECONDS):
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
            limit=_READ_BYTES * 4,
        )
    return FrameStream(reader, writer)
