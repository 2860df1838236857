"""Baseline of the benchmark: a proxy process that only forwards requests."""

import asyncio
import sys
from typing import Final

from aiohttp import ClientSession, ClientTimeout, TCPConnector, web

from mustardshunt.standin._serving import serve_until_stopped

_HOP_BY_HOP_HEADERS: Final = frozenset((
    'connection',
    'content-length',
    'host',
    'keep-alive',
    'transfer-encoding',
))


class BareHop:
    """Forwards every request to one target.

    Parameters
    ----------
    session : ClientSession
        Open HTTP session.
    target : str
        Base URL to forward to.
    """

    def __init__(self, session: ClientSession, target: str) -> None:
        self._session = session
        self._target = target

    async def forward(self, request: web.Request) -> web.Response:
        """Forward one request and return the complete response."""
        async with self._session.request(
            request.method,
            self._target + request.path_qs,
            headers=_end_to_end_headers(request),
            data=await request.read(),
        ) as response:
            return web.Response(
                status=response.status,
                headers=_end_to_end_headers(response),
                body=await response.read(),
            )


async def run_bare_hop(host: str, port: int, target: str) -> None:
    """Forward requests until the process is stopped.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    target : str
        Base URL to forward to.
    """
    async with ClientSession(
        connector=TCPConnector(limit=0),
        timeout=ClientTimeout(total=30),
    ) as session:
        app = web.Application()
        hop = BareHop(session, target)
        app.router.add_route('*', '/{tail:.*}', hop.forward)
        await serve_until_stopped(app, host, port, 'bare hop')


def _end_to_end_headers(message: web.Request | object) -> dict[str, str]:
    headers = getattr(message, 'headers', {})
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    }


def main() -> None:
    """Run the proxy; the arguments are the host, the port and the base URL."""
    host, port, target = sys.argv[1:]
    asyncio.run(run_bare_hop(host, int(port), target))


if __name__ == '__main__':
    main()
