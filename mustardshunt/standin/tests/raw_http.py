"""HTTP/1.1 over a plain socket, for requests that HTTP clients refuse."""

import asyncio
from typing import Self

from mustardshunt.standin._local_vm import LocalVm
from mustardshunt.standin.tests.shared_fleet import WAIT_SECONDS, Reply


class RawConnection:
    """A TCP connection to one port of a node."""

    def __init__(self, vm: LocalVm, port: int) -> None:
        self._vm = vm
        self._port = port

    async def __aenter__(self) -> Self:
        self._reader, self._writer = await asyncio.open_connection(
            self._vm.host,
            self._port,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self._writer.close()

    def write(self, content: bytes) -> None:
        self._writer.write(content)

    def end_sending(self) -> None:
        """Close the sending side and keep the receiving side open."""
        self._writer.write_eof()

    async def send_request(self, head: str, body: bytes = b'') -> Reply:
        """Send one request and read its response.

        ``head`` holds the request line and headers, without ``Host``, separated
        by line feeds.
        """
        lines = head.replace('\n', '\r\n')
        self.write(f'{lines}\r\nHost: node\r\n\r\n'.encode() + body)
        return await self.read_reply()

    async def read_reply(self) -> Reply:
        async with asyncio.timeout(WAIT_SECONDS):
            head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
            status_line, *lines = head.strip().split('\r\n')
            text_by_name = {}
            for line in lines:
                name, _, text = line.partition(': ')
                text_by_name[name.lower()] = text
            size = int(text_by_name.get('content-length', '0'))
            body = await self._reader.readexactly(size)
        return Reply(
            int(status_line.split()[1]),
            text_by_name.get('mustardshunt-reason', ''),
            text_by_name.get('mustardshunt-effect', ''),
            body.decode(),
            text_by_name.get('connection', '').lower() == 'close',
        )

    async def read_to_end(self) -> bytes:
        """Read until the node closes the connection, and return the bytes.

        Returns no bytes if the node resets the connection.
        """
        async with asyncio.timeout(WAIT_SECONDS):
            try:
                return await self._reader.read()
            except ConnectionError:
                return b''
