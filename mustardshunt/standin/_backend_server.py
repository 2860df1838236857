"""Fake backend server: sends heartbeats, runs calls, makes child calls."""

import asyncio
import contextlib
import dataclasses
import hashlib
import os
import random
import secrets
import sys
from typing import Annotated, Any, Final

import cappa
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from mustardshunt.base import check_range
from mustardshunt.standin._announcer import Announcer
from mustardshunt.standin._backend_load import (
    BackendLoad,
    ExpiredError,
    LoadModel,
    ShedError,
)
from mustardshunt.standin._serving import (
    print_ready_line,
    start_server,
    watch_stop_signals,
)

_CALL_HEADER: Final = 'Mustardshunt-Call'
_TIMEOUT_HEADER: Final = 'Mustardshunt-Timeout-Ms'
# Timeout in seconds of a call whose request does not state a timeout.
_DEFAULT_TIMEOUT_SECONDS: Final = 10.0
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_CRASH_EXIT_STATUS: Final = 70


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServerOptions:
    """Runs a fake backend server.

    Parameters
    ----------
    service : str
        Service that the backend server offers.
    host : str, default='127.0.0.1'
        Address to listen on.
    port : int, default=0
        Port to listen on; 0 lets the system choose a free port.
    node : str, default=''
        Address of the node's backend listener as host:port. If empty, the
        backend server sends no heartbeats and makes no child calls.
    service_time : float, default=0.005
        Seconds that a call takes, child calls not included.
    slots : int, default=20
        Most calls that run at the same time.
    max_waiting : int, default=1000
        Most calls that wait for a slot; further calls are shed with 503.
    cold_start : float, default=0.0
        Seconds after the process start during which calls take longer.
    failure_rate : float, default=0.0
        Fraction of calls that fail with 500 after they ran.
    children : list of str, default=[]
        Child calls that each call makes one after the other, written as
        "METHOD /target".
    crash_on : str, default=''
        The process crashes when a request body contains this text; empty
        to never crash.
    drain_time : float, default=1.5
        Seconds that pass at least between SIGTERM and the exit.
    drain_limit : float, default=30.0
        Most seconds to wait for calls in flight, counted from the end of
        the drain time.
    seed : int, default=0
        Seed of the random failures.
    log_runs : bool, default=False
        Whether to write the SHA-256 digest of each request body that runs
        to the standard output, so that the runs can be counted after a
        SIGKILL.
    """

    service: Annotated[str, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    port: Annotated[int, cappa.Arg(long=True)] = 0
    node: Annotated[str, cappa.Arg(long=True)] = ''
    service_time: Annotated[float, cappa.Arg(long=True)] = 0.005
    slots: Annotated[int, cappa.Arg(long=True)] = 20
    max_waiting: Annotated[int, cappa.Arg(long=True)] = 1000
    cold_start: Annotated[float, cappa.Arg(long=True)] = 0.0
    failure_rate: Annotated[float, cappa.Arg(long=True)] = 0.0
    children: Annotated[list[str], cappa.Arg(long='--child')] = (
        dataclasses.field(default_factory=list)
    )
    crash_on: Annotated[str, cappa.Arg(long=True)] = ''
    drain_time: Annotated[float, cappa.Arg(long=True)] = 1.5
    drain_limit: Annotated[float, cappa.Arg(long=True)] = 30.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    log_runs: Annotated[bool, cappa.Arg(long=True)] = False


class BackendServer:
    """One fake backend server; created and used in a running event loop.

    Parameters
    ----------
    options : BackendServerOptions
        Behaviour; the values are in their ranges already.
    client : ClientSession
        HTTP session for child calls.
    """

    def __init__(
        self,
        options: BackendServerOptions,
        client: ClientSession,
    ) -> None:
        self._options = options
        self._client = client
        self._start_id = secrets.token_hex(8)
        self._is_draining = False
        self.load = BackendLoad(
            LoadModel(
                options.service_time,
                options.slots,
                options.max_waiting,
                options.cold_start,
                options.failure_rate,
            ),
            random.Random(options.seed),
        )

    @property
    def state(self) -> str:
        """State reported in heartbeats: ``cold``, ``ready`` or ``draining``."""
        if self._is_draining:
            return 'draining'
        return 'cold' if self.load.is_cold else 'ready'

    def make_app(self) -> web.Application:
        """Return the HTTP application with all its routes."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes([
            web.get('/standin/counters', self._read_counters),
            web.post('/standin/turn-cold', self._turn_cold),
            web.get('/{tail:.*}', self._handle_call),
            web.post('/{tail:.*}', self._handle_call),
        ])
        return app

    def describe(self, port: int) -> dict[str, Any]:
        """Return the JSON body of a heartbeat."""
        return {
            'service': self._options.service,
            'address': self._options.host,
            'port': port,
            'state': self.state,
            'start_id': self._start_id,
        }

    def start_drain(self) -> None:
        """Report ``draining`` in all later heartbeats."""
        self._is_draining = True

    async def drain(self) -> None:
        """Wait for the drain time, then until no call is in flight.

        The second wait ends after the drain limit at the latest. New calls are
        still served meanwhile, because the node may have sent them before it
        received the heartbeat that reports ``draining``.
        """
        await asyncio.sleep(self._options.drain_time)
        limit = self._options.drain_limit
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.load.wait_idle(), limit)

    async def _handle_call(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self._options.crash_on and self._options.crash_on.encode() in body:
            # Exits without any cleanup, like a crash in native code.
            os._exit(_CRASH_EXIT_STATUS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _remaining_time(request)
        try:
            async with self.load.slot(deadline):
                return await self._run(request, body, deadline)
        except ShedError:
            return web.json_response({'error': 'shed'}, status=503)
        except ExpiredError:
            return web.json_response({'error': 'expired'}, status=504)

    async def _run(
        self,
        request: web.Request,
        body: bytes,
        deadline: float,
    ) -> web.Response:
        if self._options.log_runs:
            digest = hashlib.sha256(body).hexdigest()
            sys.stdout.write(f'ran {digest}\n')
            sys.stdout.flush()
        runs = await self.load.execute(body)
        children = await self._call_children(request, deadline)
        status = 200
        if self.load.draw_failure():
            status = 500
        elif any(child['status'] != 200 for child in children):
            status = 502
        echo = {
            'service': self._options.service,
            'start_id': self._start_id,
            'method': request.method,
            'target': request.path_qs,
            'runs': runs,
            'headers': {
                name.lower(): text for name, text in request.headers.items()
            },
            'body': body.decode(errors='replace'),
            'children': children,
        }
        return web.json_response(echo, status=status)

    async def _call_children(
        self,
        request: web.Request,
        deadline: float,
    ) -> list[dict[str, Any]]:
        if not self._options.node:
            return []
        call_reference = request.headers.get(_CALL_HEADER, '')
        return [
            await self._call_child(child, call_reference, deadline)
            for child in self._options.children
        ]

    async def _call_child(
        self,
        child: str,
        call_reference: str,
        deadline: float,
    ) -> dict[str, Any]:
        method, _, target = child.partition(' ')
        remaining_seconds = max(
            0.001, deadline - asyncio.get_running_loop().time()
        )
        try:
            async with self._client.request(
                method,
                f'http://{self._options.node}{target}',
                headers={_CALL_HEADER: call_reference},
                timeout=ClientTimeout(total=remaining_seconds),
            ) as response:
                text = await response.text()
                return {'status': response.status, 'body': text}
        except (ClientError, TimeoutError) as error:
            return {'status': 0, 'body': f'{type(error).__name__}: {error}'}

    async def _read_counters(self, request: web.Request) -> web.Response:
        return web.json_response({
            'state': self.state,
            **dataclasses.asdict(self.load.counters()),
            'runs_by_digest': self.load.runs_by_digest(),
        })

    async def _turn_cold(self, request: web.Request) -> web.Response:
        self.load.turn_cold()
        return web.Response(status=204)


async def run_backend_server(options: BackendServerOptions) -> None:
    """Serve calls until SIGTERM or SIGINT, then drain and stop."""
    _check_options(options)
    stopped = watch_stop_signals()
    async with ClientSession() as client:
        backend_server = BackendServer(options, client)
        server = await start_server(
            backend_server.make_app(),
            options.host,
            options.port,
            cancel_on_close=True,
        )
        print_ready_line('backend server', options.host, server.port)
        announcer = Announcer(client, options.node)
        heartbeat_task = asyncio.create_task(
            announcer.run(lambda: backend_server.describe(server.port)),
        )
        await stopped.wait()
        backend_server.start_drain()
        announcer.send_now()
        await backend_server.drain()
        heartbeat_task.cancel()
        await server.stop()


def main() -> None:
    """Run a backend server with the options of the command line."""
    asyncio.run(run_backend_server(cappa.parse(BackendServerOptions)))


def _check_options(options: BackendServerOptions) -> None:
    check_range('service_time', options.service_time, 0.0, 60.0)
    check_range('slots', options.slots, 1, 100_000)
    check_range('max_waiting', options.max_waiting, 0, 1_000_000)
    check_range('cold_start', options.cold_start, 0.0, 3600.0)
    check_range('failure_rate', options.failure_rate, 0.0, 1.0)
    check_range('drain_time', options.drain_time, 0.0, 60.0)
    check_range('drain_limit', options.drain_limit, 0.0, 600.0)


def _remaining_time(request: web.Request) -> float:
    text = request.headers.get(_TIMEOUT_HEADER, '')
    return int(text) / 1000 if text.isdecimal() else _DEFAULT_TIMEOUT_SECONDS
