"""HTTP servers of a node: for callers and for its backend server."""

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

_KEEPALIVE_SECONDS: Final = 75.0
_MAX_ANNOUNCEMENT_BYTES: Final = 4096

Reply: TypeAlias = Answer | Refusal


class CallerService(Protocol):
    """Answers the requests of callers."""

    async def answer(self, incoming: CallerRequest) -> Reply:
        """Return the whole answer, or why there is none."""
        ...

    @property
    def closes_connections(self) -> bool:
        """Whether callers should connect to another node."""
        ...


class BackendService(Protocol):
    """Serves what the backend server asks of its node."""

    async def answer_child(self, incoming: ChildRequest) -> Reply:
        """Return the whole answer to a child call, or why there is none."""
        ...

    def handle_heartbeat(self, announcement: Heartbeat) -> None:
        """Take what the backend server says of itself."""
        ...


class CallerServer:
    """HTTP server for callers.

    Parameters
    ----------
    service : CallerService
        Answers the requests.
    max_body_bytes : int
        Largest request body.
    max_header_bytes : int
        Largest header line.
    """

    def __init__(
        self,
        service: CallerService,
        max_body_bytes: int,
        max_header_bytes: int,
    ) -> None:
        self._service = service
        self._max_body_bytes = max_body_bytes
        self._listener = _Listener(self._handle, max_header_bytes)

    async def start(self, address: VmAddress) -> None:
        """Listen for callers."""
        await self._listener.start(address)

    async def close_listener(self) -> None:
        """Accept no more connections; open ones go on."""
        await self._listener.close()

    async def stop(self, seconds: float) -> None:
        """Close the connections once their requests are answered."""
        await self._listener.stop(seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        outcome = await _guard(self._answer(request))
        if isinstance(outcome, Refusal):
            outcome = refusal_answer(outcome)
        closes = self._service.closes_connections or has_unread_body(request)
        content = render_answer(outcome, closes, request.method)
        return RenderedResponse(content, closes)

    async def _answer(self, request: web.BaseRequest) -> Reply:
        body = await read_body(request, self._max_body_bytes)
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
        Serves the requests.
    max_body_bytes : int
        Largest request body.
    max_header_bytes : int
        Largest header line.
    """

    def __init__(
        self,
        service: BackendService,
        max_body_bytes: int,
        max_header_bytes: int,
    ) -> None:
        self._service = service
        self._max_body_bytes = max_body_bytes
        self._listener = _Listener(self._handle, max_header_bytes)

    async def start(self, address: VmAddress) -> None:
        """Listen for the backend server."""
        await self._listener.start(address)

    async def stop(self, seconds: float) -> None:
        """Close the connections once their requests are answered."""
        await self._listener.stop(seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == '/announce' and HEADER_CALL not in request.headers:
            outcome = await self._announce(request)
        else:
            outcome = await _guard(self._answer_child(request))
        if isinstance(outcome, Refusal):
            outcome = refusal_answer(outcome)
        closes = has_unread_body(request)
        content = render_answer(outcome, closes, request.method)
        return RenderedResponse(content, closes)

    async def _answer_child(self, request: web.BaseRequest) -> Reply:
        body = await read_body(request, self._max_body_bytes)
        if isinstance(body, Refusal):
            return body
        reference = request.headers.get(HEADER_CALL)
        incoming = ChildRequest(make_request(request, body), reference)
        return await self._service.answer_child(incoming)

    async def _announce(self, request: web.BaseRequest) -> Reply:
        body = await read_body(request, _MAX_ANNOUNCEMENT_BYTES)
        if isinstance(body, Refusal):
            return body
        announcement = parse_heartbeat(body)
        if isinstance(announcement, Refusal):
            return announcement
        self._service.handle_heartbeat(announcement)
        return Answer(204, (), b'')


class _Listener:
    """Low-level aiohttp server; one task for each connection."""

    def __init__(self, handler: Any, max_header_bytes: int) -> None:
        self._server = HttpServer(
            handler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=_KEEPALIVE_SECONDS,
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


async def _guard(work: Awaitable[Reply]) -> Reply:
    """Turn a fault of the node into a refusal; its connection goes on."""
    try:
        return await work
    except Exception:
        logger.exception('a request could not be answered')
        return Refusal(Reason.INTERNAL, Effect.UNKNOWN)
