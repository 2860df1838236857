"""Start and stop of the HTTP servers of stand-ins."""

import asyncio
import signal
import sys

from aiohttp import web

# Time that open requests have to finish when a stand-in stops.
_SHUTDOWN_TIMEOUT_SECONDS = 0.2


class ServerHandle:
    """A running HTTP server.

    Parameters
    ----------
    runner : aiohttp.web.AppRunner
        Runner that was set up and serves requests.
    port : int
        Port on which the server listens.
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
    """Start an HTTP server on an address.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 lets the system choose a free port.
    cancel_on_close : bool, default=False
        Whether to cancel the handler of a request when the client closes
        the connection.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
        handler_cancellation=cancel_on_close,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return ServerHandle(runner, runner.addresses[0][1])


def watch_stop_signals() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


def print_ready_line(name: str, host: str, port: int) -> None:
    """Print a line that tells the parent process that the server listens."""
    sys.stdout.write(f'{name} ready on {host}:{port}\n')
    sys.stdout.flush()


async def serve_until_stopped(
    app: web.Application,
    host: str,
    port: int,
    name: str,
) -> None:
    """Run an HTTP server until SIGTERM or SIGINT.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 lets the system choose a free port.
    name : str
        Name of the server in the printed ready line.
    """
    stopped = watch_stop_signals()
    server = await start_server(app, host, port)
    print_ready_line(name, host, server.port)
    await stopped.wait()
    await server.stop()
