"""Stand-in of a backend server on the platform."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from aiohttp import ClientError, ClientSession, web

from mustardshunt.base import VmAddress

HEARTBEAT_SECONDS: Final = 0.2


@dataclass(slots=True)
class ReceivedRequest:
    """What a backend server has seen of one request.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    headers : dict of str to str
        Headers as received.
    body : bytes
        Whole body.
    """

    request_id: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class ServerBehaviour:
    """How a backend server behaves.

    Parameters
    ----------
    service_time : float
        Seconds for each request.
    drops_answers : bool
        Whether it runs requests and closes the connection then.
    sheds : bool
        Whether it turns all requests away.
    body : bytes
        Body of its answers.
    """

    service_time: float = 0.0
    drops_answers: bool = False
    sheds: bool = False
    body: bytes = b'whole answer'
    extra_headers: dict[str, str] = field(default_factory=dict)


class SidecarBackendServer:
    """A backend server that reports to the node beside it.

    Parameters
    ----------
    instance : str
        Names this run of the server.
    service : str
        Its service.
    address : VmAddress
        Where it listens.
    control : VmAddress
        Where its node takes heartbeats.
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
        self.cold_remaining_ms = 0
        self.acknowledged_heartbeats = 0
        self._control = control
        self._sequence = 0
        self._runner: web.ServerRunner | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for requests and begin to report."""
        server = web.Server(self._serve)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.address.host,
            self.address.port,
        )
        await site.start()
        self._beats = asyncio.create_task(self._report(), name='heartbeats')

    async def stop(self) -> None:
        """Crash: stop listening and reporting."""
        if self._beats is not None:
            self._beats.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def deregister(self) -> int:
        """Tell the node that this run leaves; returns the status."""
        async with (
            ClientSession() as session,
            session.delete(self._url()) as response,
        ):
            return response.status

    async def _report(self) -> None:
        async with ClientSession() as session:
            while True:
                with contextlib.suppress(ClientError):
                    await self._beat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _beat(self, session: ClientSession) -> None:
        self._sequence += 1
        content = {
            'service': self.service,
            'address': str(self.address),
            'zone': 'z',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining': f'{self.cold_remaining_ms}ms',
            'sequence': self._sequence,
            'born': 1,
        }
        async with session.put(self._url(), json=content) as response:
            self.acknowledged_heartbeats += int(response.ok)

    def _url(self) -> str:
        return f'http://{self._control}/instances/{self.instance}'

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get('Mustardshunt-Expect-Instance')
        request_id = request.headers.get('Mustardshunt-Request-Id', '')
        echo = {'Mustardshunt-Request-Id': request_id}
        if expected not in {None, self.instance}:
            return web.Response(status=421, headers=echo)
        if self.behaviour.sheds:
            not_run = {**echo, 'Mustardshunt-Not-Executed': '1'}
            return web.Response(status=503, headers=not_run)
        body = await request.read()
        self.on_request(
            ReceivedRequest(request_id, dict(request.headers), body)
        )
        await asyncio.sleep(self.behaviour.service_time)
        if self.behaviour.drops_answers and request.transport is not None:
            request.transport.abort()
        return web.Response(
            body=self.behaviour.body,
            headers={
                **echo,
                'Mustardshunt-Response-Stamp': self.instance,
                **self.behaviour.extra_headers,
            },
        )
