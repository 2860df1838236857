"""The proxy does what each trouble says."""

import asyncio
import os

import pytest

from mustardshunt.base import VmAddress
from mustardshunt.standin.soak import ConnectionFault, FaultProxy
from mustardshunt.standin.soak._proxy import DELAY_SECONDS

HOST = f'127.{192 + os.getpid() // 250 % 60}.{os.getpid() % 250}.1'
TARGET = VmAddress(HOST, 21100)
ADDRESS = VmAddress(HOST, 21101)
# Longer than a delay of both directions.
SHORT_SECONDS = 4 * DELAY_SECONDS


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


class Line:
    """A connection through the proxy."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def ask(self) -> bytes:
        """Return the echo, nothing when none comes."""
        self._writer.write(b'x')
        try:
            async with asyncio.timeout(SHORT_SECONDS):
                return await self._reader.read(1)
        except (TimeoutError, ConnectionError):
            return b''


async def open_line() -> Line:
    return Line(*await asyncio.open_connection(ADDRESS.host, ADDRESS.port))


@pytest.mark.parametrize(
    ('trouble', 'open_answers', 'new_answers'),
    [
        (ConnectionFault.NONE, True, True),
        (ConnectionFault.DELAY, True, True),
        (ConnectionFault.RESET, False, False),
        (ConnectionFault.ONE_WAY, False, False),
        (ConnectionFault.BLACKHOLE, False, True),
    ],
)
async def test_trouble_of_open_and_new_connections(
    trouble: ConnectionFault, open_answers: bool, new_answers: bool
):
    server = await asyncio.start_server(echo, TARGET.host, TARGET.port)
    proxy = FaultProxy(ADDRESS, TARGET)
    await proxy.start()
    try:
        found = await answers_in(proxy, trouble)
    finally:
        proxy.stop()
        server.close()
    assert found == [True, open_answers, new_answers, True]


async def answers_in(proxy: FaultProxy, trouble: ConnectionFault) -> list[bool]:
    line = await open_line()
    before = bool(await line.ask())
    proxy.set_fault(trouble)
    open_answers = bool(await line.ask())
    new_answers = bool(await (await open_line()).ask())
    proxy.set_fault(ConnectionFault.NONE)
    after = bool(await (await open_line()).ask())
    return [before, open_answers, new_answers, after]
