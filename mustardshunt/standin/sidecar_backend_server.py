"""Stand-in for a backend server beside a sidecar node.

The backend server sends heartbeats to this node.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from aiohttp import ClientError, ClientSession, web

from mustardshunt.base import VmAddress

HEARTBEAT_SECONDS: Final = 0.2
HEALTH_PATH: Final = '/healthz'


@dataclass(slots=True)
class ReceivedRequest:
    """One request as a backend server received it.

    Parameters
    ----------
    request_id : str
        Id of the request.
    headers : dict of str to str
        Request headers as received.
    body : bytes
        Complete request body.
    """

    request_id: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ServerBehaviour:
    """Behaviour of a backend server, changed by tests while it runs.

    Parameters
    ----------
    service_time : float
        Seconds that each request takes.
    drops_answers : bool
        Whether the server runs a request and then closes the connection
        without a response.
    failure_share : float
        Share of the requests that are answered with 500, spread evenly.
    sheds : bool
        Whether the server refuses all requests with 503.
    body : bytes
        Body of the responses.
    extra_headers : dict of str to str
        Further headers of the responses.
    crash_marker : str
        Requests with this text in their path crash the server, empty for none.
    restart_time : float
        Seconds after which a crashed server starts again, under a new id.
    """

    service_time: float = 0.0
    drops_answers: bool = False
    failure_share: float = 0.0
    sheds: bool = False
    body: bytes = b'whole answer'
    extra_headers: dict[str, str] = field(default_factory=dict)
    crash_marker: str = ''
    restart_time: float = 1.5


class SidecarBackendServer:
    """A backend server that sends heartbeats to the node beside it.

    Parameters
    ----------
    instance : str
        Id of this process of the backend server.
    service : str
        Service that the backend server offers.
    address : VmAddress
        Address on which the backend server listens.
    control : VmAddress
        Address at which the node receives heartbeats.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: VmAddress,
        control: VmAddress,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self.behaviour = ServerBehaviour()
        self.received_requests: list[ReceivedRequest] = []
        self.on_request: Callable[[ReceivedRequest], None] = (
            self.received_requests.append
        )
        self.state = 'ready'
        self.slots = 8
        self.version = 'v1'
        self.started_at = 1
        self._due_failures = 0.0
        self.cold_remaining_ms = 0
        self.acknowledged_heartbeats = 0
        self.health_checks = 0
        self.crash_count = 0
        self.on_crash: Callable[[str], None] = _ignore_crash
        self._node_address = control
        self._heartbeat_sequence = 0
        self._runner: web.ServerRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for requests and start to send heartbeats."""
        server = web.Server(self._serve)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.address.host,
            self.address.port,
        )
        await site.start()
        self._heartbeat_task = asyncio.create_task(
            self._send_heartbeats(), name='heartbeats'
        )

    async def stop(self) -> None:
        """Stop listening and sending heartbeats, as in a crash."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._stop_serving()

    async def _stop_serving(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def pause_heartbeats(self) -> None:
        """Send no more heartbeats; requests are served as before."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def report(self, state: str, sequence: int) -> None:
        """Send one heartbeat, such as one that was delayed on its way.

        Parameters
        ----------
        state : str
            Reported state, ``ready`` or ``draining``.
        sequence : int
            Reported sequence number.
        """
        self.state = state
        self._heartbeat_sequence = sequence - 1
        async with ClientSession() as session:
            await self._send_heartbeat(session)

    async def deregister(self) -> int:
        """Deregister this instance at the node and return the HTTP status."""
        async with (
            ClientSession() as session,
            session.delete(self._instance_url()) as response,
        ):
            return response.status

    async def _send_heartbeats(self) -> None:
        async with ClientSession() as session:
            while True:
                with contextlib.suppress(ClientError):
                    await self._send_heartbeat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, session: ClientSession) -> None:
        self._heartbeat_sequence += 1
        content = {
            'service': self.service,
            'address': str(self.address),
            'zone': 'z',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining': f'{self.cold_remaining_ms}ms',
            'sequence': self._heartbeat_sequence,
            'born': self.started_at,
        }
        async with session.put(self._instance_url(), json=content) as response:
            self.acknowledged_heartbeats += int(response.ok)

    def _instance_url(self) -> str:
        return f'http://{self._node_address}/instances/{self.instance}'

    def _answer_check(self) -> web.Response:
        self.health_checks += 1
        return web.Response(
            status=200 if self.state == 'ready' else 503,
            headers={
                'Mustardshunt-Instance-Id': self.instance,
                'Mustardshunt-Cold-Ms': str(self.cold_remaining_ms),
            },
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == HEALTH_PATH:
            return self._answer_check()
        expected = request.headers.get('Mustardshunt-Expect-Instance')
        request_id = request.headers.get('Mustardshunt-Request-Id', '')
        id_header = {'Mustardshunt-Request-Id': request_id}
        if expected not in {None, self.instance}:
            return web.Response(status=421, headers=id_header)
        marker = self.behaviour.crash_marker
        if marker and marker in request.path:
            if request.transport is not None:
                request.transport.abort()
            self._crash(request.path)
            return web.Response()
        if self.behaviour.sheds:
            not_run = {**id_header, 'Mustardshunt-Not-Executed': '1'}
            return web.Response(
                status=503, headers={**not_run, **self.behaviour.extra_headers}
            )
        body = await request.read()
        self.on_request(
            ReceivedRequest(request_id, dict(request.headers), body)
        )
        await asyncio.sleep(self.behaviour.service_time)
        if self.behaviour.drops_answers and request.transport is not None:
            request.transport.abort()
        self._due_failures += self.behaviour.failure_share
        status = 200
        if self._due_failures >= 1:
            self._due_failures -= 1
            status = 500
        return web.Response(
            status=status,
            body=self.behaviour.body,
            headers={
                **id_header,
                'Mustardshunt-Response-Stamp': self.instance,
                **self.behaviour.extra_headers,
            },
        )

    def _crash(self, path: str) -> None:
        if self._restart_task is None or self._restart_task.done():
            self.crash_count += 1
            self.on_crash(path)
            self._restart_task = asyncio.create_task(
                self._restart(), name='restart'
            )

    async def _restart(self) -> None:
        await self._stop_serving()
        await asyncio.sleep(self.behaviour.restart_time)
        self.instance = f'{self.instance.split(".")[0]}.{self.crash_count}'
        self._heartbeat_sequence = 0
        await self.start()


def _ignore_crash(path: str) -> None:
    """Do nothing when a request crashes the server."""
