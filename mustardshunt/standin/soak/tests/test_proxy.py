"""A proxy must inject the set fault and work normally without a fault."""

import asyncio
import os

import pytest

from mustardshunt.base import VmAddress
from mustardshunt.standin.soak import ConnectionFault, FaultProxy
from mustardshunt.standin.soak._proxy import DELAY_SECONDS

HOST = f'127.{192 + os.getpid() // 250 % 60}.{os.getpid() % 250}.1'
TARGET = VmAddress(HOST, 21100)
ADDRESS = VmAddress(HOST, 21101)
# Longest wait for an echo. It is longer than the delays in both directions
# together.
ECHO_TIMEOUT_SECONDS = 4 * DELAY_SECONDS


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


class EchoConnection:
    """A connection through the proxy to the echo server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def request_echo(self) -> bytes:
        """Send a byte and return its echo.

        Returns no bytes if no echo comes in time.
        """
        self._writer.write(b'x')
        try:
            async with asyncio.timeout(ECHO_TIMEOUT_SECONDS):
                return await self._reader.read(1)
        except (TimeoutError, ConnectionError):
            return b''


async def open_echo_connection() -> EchoConnection:
    return EchoConnection(
        *await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
    )


@pytest.mark.parametrize(
    ('fault', 'open_echoes', 'new_echoes'),
    [
        (ConnectionFault.NONE, True, True),
        (ConnectionFault.DELAY, True, True),
        (ConnectionFault.RESET, False, False),
        (ConnectionFault.ONE_WAY, False, False),
        (ConnectionFault.BLACKHOLE, False, True),
    ],
)
async def test_fault_affects_open_and_new_connections(
    fault: ConnectionFault, open_echoes: bool, new_echoes: bool
):
    """A fault must affect the connections of its kind and no others.

    A blackhole fault, for example, must leave new connections alone. After each
    fault, new connections must work.
    """
    server = await asyncio.start_server(echo, TARGET.host, TARGET.port)
    proxy = FaultProxy(ADDRESS, TARGET)
    await proxy.start()
    try:
        observed = await observe_echoes(proxy, fault)
    finally:
        proxy.stop()
        server.close()
    assert observed == [True, open_echoes, new_echoes, True]


async def observe_echoes(
    proxy: FaultProxy, fault: ConnectionFault
) -> list[bool]:
    connection = await open_echo_connection()
    before = bool(await connection.request_echo())
    proxy.set_fault(fault)
    open_echoes = bool(await connection.request_echo())
    new_echoes = bool(await (await open_echo_connection()).request_echo())
    proxy.set_fault(ConnectionFault.NONE)
    after = bool(await (await open_echo_connection()).request_echo())
    return [before, open_echoes, new_echoes, after]
