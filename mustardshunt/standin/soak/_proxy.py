"""A loopback proxy that spoils the connections going through it."""

import asyncio
import enum
from typing import Final

from mustardshunt.base import VmAddress

_CHUNK_BYTES: Final = 65536
DELAY_SECONDS: Final = 0.15


class ConnectionFault(enum.Enum):
    """What a proxy does to its connections."""

    NONE = 'none'
    # Bytes of both directions arrive later.
    DELAY = 'delay'
    # Open connections are reset, and so are new ones.
    RESET = 'reset'
    # What the dialled side sends is lost.
    ONE_WAY = 'one-way'
    # Connections that are open now carry nothing for good; new ones work.
    BLACKHOLE = 'silence'


class FaultProxy:
    """Forwards connections to one address.

    Parameters
    ----------
    address : VmAddress
        Where the proxy listens.
    target : VmAddress
        Where it connects to.
    """

    def __init__(self, address: VmAddress, target: VmAddress) -> None:
        self.address = address
        self._target = target
        self._trouble = ConnectionFault.NONE
        self._silent: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._serve,
            self.address.host,
            self.address.port,
        )

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_fault(self, trouble: ConnectionFault) -> None:
        """Begin a trouble, or end it with ``NONE``."""
        self._trouble = trouble
        if trouble is ConnectionFault.RESET:
            self._reset_all()
        elif trouble is ConnectionFault.BLACKHOLE:
            self._silent |= self._writers

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._trouble is ConnectionFault.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host,
                self._target.port,
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        await asyncio.gather(
            self._pump(reader, far_writer, is_answer=False),
            self._pump(far_reader, writer, is_answer=True),
            return_exceptions=True,
        )
        self._writers -= both
        self._silent -= both
        for each in both:
            each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                writer.close()
                return
            if self._is_lost(writer, is_answer):
                continue
            if self._trouble is ConnectionFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(chunk)
            await writer.drain()

    def _is_lost(self, writer: asyncio.StreamWriter, is_answer: bool) -> bool:
        if writer in self._silent:
            return True
        return is_answer and self._trouble is ConnectionFault.ONE_WAY
