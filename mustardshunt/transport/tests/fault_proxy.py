"""A relay between two processes that can go silent or cut connections."""

import asyncio
import socket

from mustardshunt.base import VmAddress


def free_port(host: str = '127.0.0.1') -> int:
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


class FaultProxy:
    """Forwards TCP connections to an address.

    ``drop_traffic`` drops the bytes of the connections that are open at that
    time and leaves them open; new ones work. ``disconnect`` closes all and
    refuses new ones until ``restore``.
    """

    def __init__(self, target: VmAddress) -> None:
        self.address = VmAddress('127.0.0.1', free_port())
        self._target = target
        self._silent: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_cut = False
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
        self._silent |= self._writers

    def disconnect(self) -> None:
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def restore(self) -> None:
        self._is_cut = False

    async def _serve(self, reader, writer) -> None:
        if self._is_cut:
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
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer),
            self._pump(far_reader, writer),
            return_exceptions=True,
        )
        for each in (writer, far_writer):
            self._writers.discard(each)
            each.transport.abort()

    async def _pump(self, reader, writer) -> None:
        while True:
            chunk = await reader.read(65536)
            if not chunk:
                writer.close()
                return
            if writer in self._silent:
                continue
            writer.write(chunk)
            await writer.drain()
