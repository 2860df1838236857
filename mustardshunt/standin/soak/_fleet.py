"""Small deployment of real node processes behind fault proxies."""

import asyncio
import base64
import contextlib
import functools
import itertools
import json
import os
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import aiohttp

from mustardshunt.base import VmAddress
from mustardshunt.standin._start_command import start_command
from mustardshunt.standin.sidecar_backend_server import (
    ReceivedRequest,
    SidecarBackendServer,
)
from mustardshunt.standin.soak._invariants import (
    DRAIN_SECONDS,
    LIMIT_WINDOW_SECONDS,
    REQUEST_LIMIT,
    Execution,
    History,
    ProcessEnd,
)
from mustardshunt.standin.soak._proxy import ConnectionFault, FaultProxy
from mustardshunt.standin.store_server import StoreServer

SERVICE: Final = 'stock'
KEY_PREFIX: Final = 'soak-key'
ORGANISATIONS: Final = ('aquarium', 'troupe')
CAPPED_ORGANISATION: Final = 'troupe'
CAP_RATE: Final = 20.0
CAP_BURST: Final = 10.0
ANSWER_BODY: Final = b'whole answer ' * 800
GRACE_SECONDS: Final = 4
# Ports of a node, its backend server and its proxies; they are the same on the
# loopback address of each node.
_PORTS: Final = {
    'callers': 21000,
    'peers': 21001,
    'ready': 21002,
    'control': 21003,
    'metrics': 21004,
    'server': 21005,
    'server_proxy': 21006,
    'store_proxy': 21007,
    'peers_proxy': 21008,
}
_RESTART_SECONDS: Final = 0.3
_SERVER_RESTART_SECONDS: Final = 1.0
# Requests with this text in their path crash each backend server.
CRASH_MARKER: Final = 'poison'
_REPEAT_SECONDS: Final = 0.2
_TIMEOUT_SECONDS: Final = 3.0
# Prefix of the loopback addresses. The prefix depends on the process id, so
# that soaks that run at the same time do not use the same addresses.
_NETWORK: Final = f'127.{128 + os.getpid() // 250 % 64}.{os.getpid() % 250}'
STORE_ADDRESS: Final = VmAddress(f'{_NETWORK}.250', 21000)


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node, its backend server and its proxies.

    Parameters
    ----------
    name : str
        Name of the node.
    host : str
        Loopback address of the node.
    """

    name: str
    host: str

    def address(self, port: str) -> VmAddress:
        """Return the address for a port name, such as ``callers``.

        Raises
        ------
        KeyError
            No port has this name.
        """
        return VmAddress(self.host, _PORTS[port])


class SoakNode:
    """One node process, its backend server, and the proxies around them.

    Parameters
    ----------
    addresses : NodeAddresses
        Addresses of the node, the backend server and the proxies.
    directory : Path
        Directory of the settings file and the log.
    history : History
        Records the executions at the backend server.
    """

    def __init__(
        self, addresses: NodeAddresses, directory: Path, history: History
    ) -> None:
        self.addresses = addresses
        self._directory = directory
        self._history = history
        self._process: asyncio.subprocess.Process | None = None
        self._process_starts = 0
        self._watch: asyncio.Task[None] | None = None
        self._server: SidecarBackendServer | None = None
        self._server_starts = 0
        self._is_first_start = True
        address = addresses.address
        self.proxy_by_name = {
            'server': FaultProxy(address('server_proxy'), address('server')),
            'store': FaultProxy(address('store_proxy'), STORE_ADDRESS),
            'peers': FaultProxy(address('peers_proxy'), address('peers')),
        }

    async def start(self) -> None:
        """Start the proxies, the backend server and the node."""
        for proxy in self.proxy_by_name.values():
            await proxy.start()
        await self.start_process()
        await self.start_server()

    async def start_process(self) -> None:
        """Start the node process."""
        path = self._directory / f'{self.addresses.name}.ini'
        path.write_text(self._format_settings())
        self._is_first_start = False
        log = (self._directory / f'{self.addresses.name}.log').open('ab')
        self._process_starts += 1
        self._process = await asyncio.create_subprocess_exec(
            *start_command(),
            env={**os.environ, 'MUSTARDSHUNT_SETTINGS': str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self._watch = asyncio.create_task(self._start_again(self._process))

    async def restart(self, number: signal.Signals) -> None:
        """Stop the process with a signal and start another one.

        A process that still runs after 4 s gets SIGKILL.
        """
        process = self._process
        if process is None:
            return
        self._process = None
        self._record_disruption()
        self._send_signal(process, number)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            self._send_signal(process, signal.SIGKILL)
            await process.wait()
        await asyncio.sleep(_RESTART_SECONDS)
        await self.start_process()
        self._record_disruption()

    async def pause(self, seconds: float) -> None:
        """Suspend the process for some seconds."""
        process = self._process
        if process is None:
            return
        self._record_disruption()
        self._send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._send_signal(process, signal.SIGCONT)
        self._record_disruption()

    def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its settings."""
        if self._process is not None:
            self._send_signal(self._process, signal.SIGHUP)

    async def start_server(self) -> None:
        """Start a new instance of the backend server."""
        self._server_starts += 1
        instance = f'i-{self.addresses.name}-{self._server_starts}'
        server = SidecarBackendServer(
            instance,
            SERVICE,
            self.addresses.address('server'),
            self.addresses.address('control'),
        )
        server.behaviour.body = ANSWER_BODY
        server.behaviour.service_time = 0.01
        server.behaviour.crash_marker = CRASH_MARKER
        server.behaviour.restart_time = _SERVER_RESTART_SECONDS
        server.on_request = functools.partial(self._record_execution, server)
        server.on_crash = self._record_crash
        await server.start()
        self._server = server

    async def crash_server(self, seconds: float) -> None:
        """Crash the backend server and start a new instance after a delay."""
        server = self._server
        if server is None:
            return
        self._server = None
        await server.stop()
        await asyncio.sleep(seconds)
        await self.start_server()

    async def replace_server(self, seconds: float) -> None:
        """Drain the backend server for some seconds, then replace its instance.

        Records in the history when the node confirmed the draining state.
        """
        server = self._server
        if server is None:
            return
        self._server = None
        before = server.acknowledged_heartbeats
        server.state = 'draining'
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(0.1)
            # The first heartbeat that the node acknowledges after the change
            # may still report the earlier state, because it was in flight. The
            # second heartbeat reports the draining state.
            if server.acknowledged_heartbeats >= before + 2:
                confirmed_at_by_instance = (
                    self._history.drain_confirmed_at_by_instance
                )
                confirmed_at_by_instance.setdefault(
                    server.instance, loop.time()
                )
        await server.stop()
        await self.start_server()

    async def limit_server(self, seconds: float) -> None:
        """Let the backend server name a limit for some seconds, once."""
        server = self._server
        if server is None or server.behaviour.extra_headers:
            return
        if server.instance in self._history.limit_ended_at_by_instance:
            return
        server.behaviour.extra_headers = {'Server-Limit': str(REQUEST_LIMIT)}
        await asyncio.sleep(LIMIT_WINDOW_SECONDS + seconds)
        self._history.limit_ended_at_by_instance[server.instance] = (
            asyncio.get_running_loop().time()
        )
        server.behaviour.extra_headers = {}

    async def announce_leaving(self, seconds: float) -> None:
        """Let the backend server say in its answers that it leaves.

        Its heartbeats say that it is ready until another instance replaces it.
        """
        server = self._server
        if server is None:
            return
        self._server = None
        server.behaviour.extra_headers = {'Server-Leaving': '1'}
        await asyncio.sleep(DRAIN_SECONDS + seconds)
        await server.stop()
        await self.start_server()

    async def stop(self) -> None:
        """Stop the node process, the backend server and the proxies."""
        process = self._process
        self._process = None
        if self._watch is not None:
            self._watch.cancel()
        if process is not None:
            self._send_signal(process, signal.SIGCONT)
            self._send_signal(process, signal.SIGKILL)
            await process.wait()
        if self._server is not None:
            await self._server.stop()
        for proxy in self.proxy_by_name.values():
            proxy.stop()

    async def _start_again(self, process: asyncio.subprocess.Process) -> None:
        """Start another process if this one ends by itself."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        returncode = await process.wait()
        if self._process is not process:
            return
        end = ProcessEnd(
            self.addresses.name, returncode, loop.time() - started_at
        )
        self._history.process_ends.append(end)
        await asyncio.sleep(_RESTART_SECONDS)
        if self._process is process:
            await self.start_process()

    def clear_faults(self) -> None:
        """End the faults of all proxies."""
        for proxy in self.proxy_by_name.values():
            proxy.set_fault(ConnectionFault.NONE)

    def _record_execution(
        self, server: SidecarBackendServer, request: ReceivedRequest
    ) -> None:
        # A server that a request has crashed goes on under another instance.
        now = asyncio.get_running_loop().time()
        execution = Execution(now, server.instance, request)
        self._history.executions.append(execution)

    def _record_crash(self, path: str) -> None:
        now = asyncio.get_running_loop().time()
        self._history.crashes_at_by_path.setdefault(path, []).append(now)

    def _record_disruption(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.disrupted_at_by_node[self.addresses.name] = now

    def _send_signal(
        self,
        process: asyncio.subprocess.Process,
        number: signal.Signals,
    ) -> None:
        # Only processes started here are signalled, and only while they run.
        if process.returncode is None:
            process.send_signal(number)

    def _format_settings(self) -> str:
        addresses = self.addresses
        listen = '\n'.join(
            f'{name} = {addresses.address(name)}'
            for name in ('callers', 'peers', 'ready', 'control', 'metrics')
        )
        return (
            f'[node]\nname = {addresses.name}\ndata_centre = z\n'
            f'service = {SERVICE}\n'
            f'backend_server = {addresses.address("server_proxy")}\n'
            f'first_start = {str(self._is_first_start).lower()}\n'
            f'memory_mb = 300\nlog_level = INFO\n'
            f'[listen]\n{listen}\n'
            f'[platform]\naddress = {addresses.address("store_proxy")}\n'
            f'heartbeat = 200ms\n'
            f'[bounds]\ngrace = {GRACE_SECONDS}s\n'
        )


class SoakFleet:
    """Store, nodes and backend servers of one soak test.

    Parameters
    ----------
    count : int
        Number of nodes.
    """

    def __init__(self, count: int) -> None:
        self.history = History(ANSWER_BODY)
        self.store = StoreServer()
        self.store.rewrite_value = self._route_peers_through_proxy
        self.version = 1
        self.directory = Path(tempfile.mkdtemp(prefix='mustardshunt-soak-'))
        self.nodes = [
            SoakNode(
                NodeAddresses(f'node-{number}', f'{_NETWORK}.{number + 1}'),
                self.directory,
                self.history,
            )
            for number in range(count)
        ]

    async def start(self) -> None:
        """Start the store, the nodes and their backend servers."""
        await self.store.start(STORE_ADDRESS)
        self.put_policy()
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def stop(self) -> None:
        """Stop the nodes, their backend servers and the store."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.store.stop()

    def put_policy(self) -> None:
        """Write the next policy version to the store, as an operator does."""
        self.version += 1
        self.store.put('op', 'config', _policy(self.version))

    async def return_store_from_copy(self, age: float, seconds: float) -> None:
        """Let the store go away and come back from a copy.

        The operator writes the newest policy again, and then the next one.

        Parameters
        ----------
        age : float
            Age of the copy in seconds.
        seconds : float
            Time for which the store is away.
        """
        copy = self.store.take_copy()
        await asyncio.sleep(age)
        self.store.is_down = True
        await asyncio.sleep(seconds)
        self.store.return_from(copy)
        self.store.put('op', 'config', _policy(self.version))
        self.put_policy()
        self.store.is_down = False

    async def repeat_crashing_request(self, name: str, seconds: float) -> None:
        """Send a request that crashes backend servers to each node in turn.

        Parameters
        ----------
        name : str
            Name that makes the request a new one.
        seconds : float
            Time for which it is repeated.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number in itertools.count():
                node = self.nodes[number % len(self.nodes)]
                await self._send_crashing_request(
                    session, node, f'{name}-{number}', name
                )
                await asyncio.sleep(_REPEAT_SECONDS)
                if loop.time() > until:
                    return

    async def find_outdated_nodes(self) -> list[str]:
        """Return the nodes that do not use the newest policy version."""
        expected = f'mustardshunt_policy_version {float(self.version)}'
        outdated = []
        async with aiohttp.ClientSession() as session:
            for node in self.nodes:
                url = f'http://{node.addresses.address("metrics")}/metrics'
                async with session.get(url) as response:
                    if expected not in await response.text():
                        outdated.append(node.addresses.name)
        return outdated

    async def _send_crashing_request(
        self,
        session: aiohttp.ClientSession,
        node: SoakNode,
        request_id: str,
        name: str,
    ) -> None:
        url = f'http://{node.addresses.address("callers")}/read/{CRASH_MARKER}'
        headers = {
            'Host': 'h.example',
            'Mustardshunt-Request-Id': request_id,
            'Mustardshunt-Deadline-Ms': '1500',
            'Authorization': f'Bearer {KEY_PREFIX}-{ORGANISATIONS[0]}',
        }
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(f'{url}-{name}', headers=headers) as reply:
                await reply.read()

    def _route_peers_through_proxy(
        self, table: str, key: str, value: str
    ) -> str:
        entry: dict[str, Any] = json.loads(base64.b64decode(value))
        for node in self.nodes:
            if node.addresses.name == key:
                entry['port'] = node.addresses.address('peers_proxy').port
        return base64.b64encode(json.dumps(entry).encode()).decode()


def _policy(version: int) -> dict[str, Any]:
    route = {
        'host': 'h.example',
        'timeout': '2000ms',
        'target_latency': '500ms',
        'priority': 0,
        'service': SERVICE,
        'max_attempts': 2,
    }
    return {
        'version': version,
        'routes': {
            'read': {**route, 'prefix': '/read/', 'kind': 'idempotent'},
            'order': {**route, 'prefix': '/order/', 'kind': 'non_idempotent'},
        },
        'services': {
            SERVICE: {
                'health_path': '/healthz',
                'max_connections': 64,
                'warmup': '1s',
                'cold_per_s': 50.0,
            },
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
        'tenants': {
            name: {
                'api_keys': [f'{KEY_PREFIX}-{name}'],
                'rate_per_s': CAP_RATE if name == CAPPED_ORGANISATION else 0,
                'burst': CAP_BURST if name == CAPPED_ORGANISATION else 0,
            }
            for name in ORGANISATIONS
        },
    }
