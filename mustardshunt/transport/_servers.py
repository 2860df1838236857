"""HTTP servers of a node, for callers and for the backend server."""

import asyncio
from collections.abc import Awaitable
from typing import Any, Final, Protocol, TypeAlias

from aiohttp import web
from loguru import logger

from mustardshunt.base import (
    Answer,
    Effect,
    Reason,
    Refusal,
    VmAddress,
)
from mustardshunt.transport._connection_guard import (
    ConnectionGuard,
    make_backend_guard,
    make_caller_guard,
)
from mustardshunt.transport._http import (
    HEADER_CALL,
    RenderedResponse,
    refusal_answer,
    render_answer,
)
from mustardshunt.transport._http_server import HttpServer
from mustardshunt.transport._requests import (
    CallerRequest,
    ChildRequest,
    Heartbeat,
    has_unread_body,
    make_request,
    parse_caller_request,
    parse_heartbeat,
    read_body,
)

_KEEP_ALIVE_SECONDS: Final = 75.0
_MAX_HEARTBEAT_BYTES: Final = 4096

Reply: TypeAlias = Answer | Refusal


class CallerService(Protocol):
    """Handles the requests that callers send to the node."""

    async def answer(self, incoming: CallerRequest) -> Reply:
        """Return the complete answer, or a refusal."""
        ...

    @property
    def closes_connections(self) -> bool:
        """Whether the server closes a caller's connection after its response.

        Callers then connect to another node, for example while this node stops.
        """
        ...


class BackendService(Protocol):
    """Handles the child calls and the heartbeats of the backend server."""

    async def answer_child(self, incoming: ChildRequest) -> Reply:
        """Return the complete answer to a child call, or a refusal."""
        ...

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat, which reports the backend server's state."""
        ...


class CallerServer:
    """HTTP server for callers.

    Parameters
    ----------
    service : CallerService
        Handles the requests.
    max_body_bytes : int
        Largest request body that is accepted.
    max_header_bytes : int
        Longest header line that is accepted.
    """

    def __init__(
        self,
        service: CallerService,
        max_body_bytes: int,
        max_header_bytes: int,
    ) -> None:
        self._service = service
        self._max_body_bytes = max_body_bytes
        self._guard = make_caller_guard(max_body_bytes)
        self._listener = _Listener(self._handle, self._guard, max_header_bytes)

    async def start(self, address: VmAddress) -> None:
        """Start to accept connections of callers.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        await self._listener.start(address)

    async def close_listener(self) -> None:
        """Close the listening socket; open connections stay open."""
        await self._listener.close()

    async def stop(self, seconds: float) -> None:
        """Close each connection once its running request is answered.

        Parameters
        ----------
        seconds : float
            Longest time to wait for running requests.
        """
        await self._listener.stop(seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        outcome = await _refuse_on_error(self._answer(request))
        if isinstance(outcome, Refusal):
            outcome = refusal_answer(outcome)
        closes = self._service.closes_connections or has_unread_body(request)
        content = render_answer(outcome, closes, request.method)
        return RenderedResponse(content, closes)

    async def _answer(self, request: web.BaseRequest) -> Reply:
        with self._guard.hold_body() as holding:
            body = await read_body(request, self._max_body_bytes, holding)
            if isinstance(body, Refusal):
                return body
            incoming = parse_caller_request(request, body)
            if isinstance(incoming, Refusal):
                return incoming
            return await self._service.answer(incoming)


class BackendListener:
    """HTTP server for the backend server of the same VM.

    Parameters
    ----------
    service : BackendService
        Handles the child calls and the heartbeats.
    max_body_bytes : int
        Largest request body that is accepted.
    max_header_bytes : int
        Longest header line that is accepted.
    """

    def __init__(
        self,
        service: BackendService,
        max_body_bytes: int,
        max_header_bytes: int,
    ) -> None:
        self._service = service
        self._max_body_bytes = max_body_bytes
        self._guard = make_backend_guard(max_body_bytes)
        self._listener = _Listener(self._handle, self._guard, max_header_bytes)

    async def start(self, address: VmAddress) -> None:
        """Start to accept connections of the backend server.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        await self._listener.start(address)

    async def stop(self, seconds: float) -> None:
        """Close each connection once its running request is answered.

        Parameters
        ----------
        seconds : float
            Longest time to wait for running requests.
        """
        await self._listener.stop(seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/announce' and HEADER_CALL not in request.headers:
            outcome = await self._receive_heartbeat(request)
        else:
            outcome = await _refuse_on_error(self._answer_child(request))
        if isinstance(outcome, Refusal):
            outcome = refusal_answer(outcome)
        closes = has_unread_body(request)
        content = render_answer(outcome, closes, request.method)
        return RenderedResponse(content, closes)

    async def _answer_child(self, request: web.BaseRequest) -> Reply:
        with self._guard.hold_body() as holding:
            body = await read_body(request, self._max_body_bytes, holding)
            if isinstance(body, Refusal):
                return body
            reference = request.headers.get(HEADER_CALL)
            incoming = ChildRequest(make_request(request, body), reference)
            return await self._service.answer_child(incoming)

    async def _receive_heartbeat(self, request: web.BaseRequest) -> Reply:
        with self._guard.hold_body() as holding:
            body = await read_body(request, _MAX_HEARTBEAT_BYTES, holding)
        if isinstance(body, Refusal):
            return body
        heartbeat = parse_heartbeat(body)
        if isinstance(heartbeat, Refusal):
            return heartbeat
        self._service.handle_heartbeat(heartbeat)
        return Answer(204, (), b'')


class _Listener:
    """Low-level aiohttp server, with one task per connection."""

    def __init__(
        self, handler: Any, guard: ConnectionGuard, max_header_bytes: int
    ) -> None:
        self._server = HttpServer(
            handler,
            guard,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=_KEEP_ALIVE_SECONDS,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
        )
        self._listener: asyncio.Server | None = None

    async def start(self, address: VmAddress) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server,
            address.host,
            address.port,
            backlog=1024,
        )

    async def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def stop(self, seconds: float) -> None:
        await self.close()
        self._server.pre_shutdown()
        await self._server.shutdown(seconds)


async def _refuse_on_error(reply: Awaitable[Reply]) -> Reply:
    """Return the reply, or a refusal when an internal error occurs.

    The connection stays usable after the error.
    """
    try:
        return await reply
    except Exception:
        logger.exception(
            'internal error in a request; answering with a refusal'
        )
        return Refusal(Reason.INTERNAL, Effect.UNKNOWN)
