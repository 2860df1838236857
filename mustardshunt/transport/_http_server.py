"""HTTP server on aiohttp that answers invalid requests with refusals."""

import asyncio
from typing import Any, Final, cast

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from loguru import logger

from mustardshunt.base import Effect, Reason, Refusal
from mustardshunt.connections import Admission
from mustardshunt.transport._connection_guard import ConnectionGuard
from mustardshunt.transport._http import (
    RenderedResponse,
    bad_request,
    refusal_answer,
    render_answer,
)

_FIRST_SERVER_ERROR_STATUS: Final = 500
# Bytes that are received and parsed at once.
RECEIVED_BYTES: Final = 4096
# Time for which bytes behind an invalid request are read and discarded.
LINGER_SECONDS: Final = 1.0


class HttpServer(web.Server):
    """Server that handles each connection with an ``HttpConnection``.

    Parameters
    ----------
    handler : callable
        Returns the response to each request.
    guard : ConnectionGuard
        Bounds the connections.
    **options : object
        Options of aiohttp's server.
    """

    def __init__(
        self, handler: Any, guard: ConnectionGuard, **options: Any
    ) -> None:
        super().__init__(handler, read_bufsize=RECEIVED_BYTES, **options)
        self._guard = guard

    def __call__(self) -> web.RequestHandler:
        """Return the protocol object for a new connection."""
        return HttpConnection(
            self, self._guard, loop=self._loop, **self._kwargs
        )


class HttpConnection(web.RequestHandler):
    """Answers a request that is not valid HTTP with a refusal.

    aiohttp quotes the request in its error texts and in its log. The request
    may contain an API key, so neither the texts nor the log of aiohttp are used
    here.

    Parameters
    ----------
    manager : HttpServer
        Server of the connection.
    guard : ConnectionGuard
        Decides whether the connection is served.
    **options : object
        Options of aiohttp's protocol.
    """

    __slots__ = ('_guard', '_has_failed', '_idle_since')

    def __init__(
        self, manager: HttpServer, guard: ConnectionGuard, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._guard = guard
        self._has_failed = False
        self._idle_since: float | None = None

    @property
    def idle_since(self) -> float | None:
        """Time since which nothing has been received, None while in use."""
        is_used = self._current_request is not None or self._messages
        return None if is_used else self._idle_since

    def give_way(self) -> bool:
        """Close the connection for a new one."""
        if self.transport is None:
            return False
        self.transport.abort()
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection unless too many are open."""
        super().connection_made(transport)
        self._idle_since = self._loop.time()
        # The parser makes an object of each chunk before the body is read.
        cast(Any, transport).max_size = RECEIVED_BYTES
        if self._guard.table.admit(self) is not Admission.SERVED:
            self.give_way()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give the place of the connection to another one."""
        self._guard.table.discard(self)
        if self._has_failed or self._current_request is not None:
            self._guard.garbage.add_connection()
        super().connection_lost(exc)
        # The connection is part of reference cycles: what it still refers to
        # stays until the next full garbage collection.
        self._messages.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, but none behind an invalid request.

        The parser would quote all of them in an error each time.
        """
        if self._has_failed:
            return
        self._idle_since = self._loop.time()
        super().data_received(data)
        if self._messages:
            last = self._messages[-1][0]
            if not isinstance(last, RawRequestMessage):
                self._has_failed = True
                # The traceback refers to the connection and to the bytes.
                last.exc.__traceback__ = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a refusal of the request; the connection is then closed.

        Raises
        ------
        ConnectionError
            A part of another response was already sent on the connection.
        """
        logger.debug(
            'HTTP request failed with {}, status {}; closing the connection',
            type(exc).__name__,
            status,
        )
        if request.writer.output_size > 0:
            raise ConnectionError(
                'cannot send a refusal: a part of another response was sent'
            )
        refusal = Refusal(Reason.INTERNAL, Effect.UNKNOWN)
        if status < _FIRST_SERVER_ERROR_STATUS:
            refusal = bad_request('the request is not valid HTTP')
        content = render_answer(
            refusal_answer(refusal),
            close=True,
            method=request.method,
        )
        return LastResponse(content)


class LastResponse(RenderedResponse):
    """Response after which what the client still sends is discarded.

    A socket that is closed with unread bytes resets the connection, and the
    client may lose the response.

    Parameters
    ----------
    content : bytes
        Head and body of the response.
    """

    def __init__(self, content: bytes) -> None:
        super().__init__(content, close=True)
        self._connection: Any = None

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Store the request, whose connection the response is written to."""
        self._connection = request.protocol
        await super().prepare(request)

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the response, and wait until the client has read it."""
        await super().write_eof(data)
        connection = self._connection
        if connection is not None and connection.transport is not None:
            cast(asyncio.Transport, connection.transport).write_eof()
            await asyncio.sleep(LINGER_SECONDS)
