"""Start and stop of a stand-in's HTTP server."""

import asyncio
import signal
import sys

from aiohttp import web

# Seconds that open requests get when a stand-in stops.
_SHUTDOWN_TIMEOUT = 0.2


class ServerHandle:
    """A running HTTP server.

    Parameters
    ----------
    runner : aiohttp.web.AppRunner
        Started runner.
    port : int
        Port it listens on.
    """

    def __init__(self, runner: web.AppRunner, port: int) -> None:
        self._runner = runner
        self.port = port

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()


async def start_server(
    app: web.Application,
    host: str,
    port: int,
    *,
    cancel_on_close: bool = False,
) -> ServerHandle:
    """Listen on an address.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    host : str
        Address.
    port : int
        Port; 0 takes a free one.
    cancel_on_close : bool, default=False
        Whether a request ends when its client closes the connection.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT,
        handler_cancellation=cancel_on_close,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return ServerHandle(runner, runner.addresses[0][1])


def watch_stop_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def print_ready_line(name: str, host: str, port: int) -> None:
    """Print the line that tells a starter that the process listens."""
    sys.stdout.write(f'{name} ready on {host}:{port}\n')
    sys.stdout.flush()


async def serve_until_stopped(
    app: web.Application,
    host: str,
    port: int,
    name: str,
) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    host : str
        Address.
    port : int
        Port; 0 takes a free one.
    name : str
        Name in the ready line.
    """
    stopped = watch_stop_signals()
    server = await start_server(app, host, port)
    print_ready_line(name, host, server.port)
    await stopped.wait()
    await server.stop()
