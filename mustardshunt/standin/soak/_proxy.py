"""Loopback proxy that injects faults into the connections through it."""

import asyncio
import enum
from typing import Final

from mustardshunt.base import VmAddress

_CHUNK_BYTES: Final = 65536
DELAY_SECONDS: Final = 0.15


class ConnectionFault(enum.Enum):
    """Fault that a proxy injects into its connections."""

    NONE = 'none'
    # Bytes in both directions are delayed.
    DELAY = 'delay'
    # Open connections and new connections are reset.
    RESET = 'reset'
    # Bytes from the target to the client are dropped.
    ONE_WAY = 'one-way'
    # All bytes are dropped on connections that are open when the fault begins,
    # until these connections are closed. New connections work.
    BLACKHOLE = 'silence'


class FaultProxy:
    """Forwards connections to one address, with a fault if one is set.

    Parameters
    ----------
    address : VmAddress
        Address on which the proxy listens.
    target : VmAddress
        Address to which the proxy connects.
    """

    def __init__(self, address: VmAddress, target: VmAddress) -> None:
        self.address = address
        self._target = target
        self._fault = ConnectionFault.NONE
        self._blackholed: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._serve,
            self.address.host,
            self.address.port,
        )

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_fault(self, fault: ConnectionFault) -> None:
        """Replace the current fault by another fault, or by ``NONE``."""
        self._fault = fault
        if fault is ConnectionFault.RESET:
            self._reset_all()
        elif fault is ConnectionFault.BLACKHOLE:
            self._blackholed |= self._writers

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host,
                self._target.port,
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        await asyncio.gather(
            self._pump(reader, target_writer, is_response=False),
            self._pump(target_reader, writer, is_response=True),
            return_exceptions=True,
        )
        self._writers -= writers
        self._blackholed -= writers
        for open_writer in writers:
            open_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                writer.close()
                return
            if self._is_dropped(writer, is_response):
                continue
            if self._fault is ConnectionFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(chunk)
            await writer.drain()

    def _is_dropped(
        self, writer: asyncio.StreamWriter, is_response: bool
    ) -> bool:
        if writer in self._blackholed:
            return True
        return is_response and self._fault is ConnectionFault.ONE_WAY
