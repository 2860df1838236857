"""TCP proxy that drops traffic or closes connections on request."""

import asyncio
import socket

from mustardshunt.base import VmAddress


def free_port(host: str = '127.0.0.1') -> int:
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


class FaultProxy:
    """Forwards TCP connections to an address.

    ``drop_traffic`` drops all further bytes on the connections that are open,
    without closing these connections; new connections work. ``disconnect``
    closes all open connections. Until ``restore`` is called, each new
    connection is closed too.
    """

    def __init__(self, target: VmAddress) -> None:
        self.address = VmAddress('127.0.0.1', free_port())
        self._target = target
        self._dropping_writers: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_disconnected = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve,
            self.address.host,
            self.address.port,
        )

    async def stop(self) -> None:
        self.disconnect()
        self._server.close()
        await self._server.wait_closed()

    def drop_traffic(self) -> None:
        self._dropping_writers |= self._writers

    def disconnect(self) -> None:
        self._is_disconnected = True
        for writer in list(self._writers):
            writer.transport.abort()

    def restore(self) -> None:
        self._is_disconnected = False

    async def _serve(self, reader, writer) -> None:
        if self._is_disconnected:
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
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
            return_exceptions=True,
        )
        for open_writer in (writer, target_writer):
            self._writers.discard(open_writer)
            open_writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        while True:
            chunk = await reader.read(65536)
            if not chunk:
                writer.close()
                return
            if writer in self._dropping_writers:
                continue
            writer.write(chunk)
            await writer.drain()
