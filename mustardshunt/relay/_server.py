"""HTTP server for callers: one task for each connection."""

import asyncio
import http
from collections import deque
from typing import Any, Final, Protocol

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from loguru import logger

from mustardshunt.base import VmAddress
from mustardshunt.policy import RequestLimits
from mustardshunt.relay._messages import (
    STATUS_WITHOUT_BODY,
    HttpRequest,
    HttpResponse,
    RequestHandler,
)

# Connections that wait to be accepted; a caller whose first packet is dropped
# sends it again only after seconds.
BACKLOG: Final = 1024
# How often connections are checked for time-outs.
SWEEP_SECONDS: Final = 0.5
_STATUS_LINE: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class LimitSource(Protocol):
    """Tells the bounds for callers that are in force."""

    def __call__(self) -> RequestLimits:
        """Return the bounds."""
        ...


class BadRequestError(Exception):
    """A request that is answered without being passed on.

    Parameters
    ----------
    status : int
        HTTP status of the reply.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class HttpServer:
    """Serves connections of callers.

    Parameters
    ----------
    handler : RequestHandler
        Answers the requests.
    limits : LimitSource
        Tells the bounds for callers.
    """

    def __init__(self, handler: RequestHandler, limits: LimitSource) -> None:
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def listen(self, address: VmAddress) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, loop),
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        self._sweeper = asyncio.create_task(self._sweep(), name='http sweeper')

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections on which no request is being served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def active_requests(self) -> int:
        """Return how many requests are being read or served."""
        return sum(not connection.is_idle for connection in self._connections)

    def close(self) -> None:
        """Close everything at once."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: '_Connection') -> None:
        """Count a connection."""
        self._connections.add(connection)

    def discard(self, connection: '_Connection') -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            limits = self.limits()
            for connection in list(self._connections):
                connection.check_timeouts(loop.time(), limits)


class _Connection(BaseProtocol):
    """One connection and its task."""

    __slots__ = (
        '_head_bytes',
        '_is_broken',
        '_messages',
        '_payload',
        '_server',
        '_since',
        '_task',
        '_wake',
        'is_idle',
    )

    def __init__(
        self,
        server: HttpServer,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(loop)
        limits = server.limits()
        self._parser: Any = HttpRequestParser(
            self,
            loop,
            # Bodies are kept whole, so the reader never pauses.
            limits.max_body_bytes,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )
        self._server = server
        self._messages: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._payload: StreamReader | None = None
        self._wake: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_broken = 0
        self._since = loop.time()
        self._head_bytes = 0
        self.is_idle = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.add(self)
        self._task = self._loop.create_task(self._run(), name='caller')

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._server.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_reading(self) -> None:
        """Go on reading: bodies are kept whole and bounded elsewhere."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, since reading never pauses."""

    def data_received(self, data: bytes) -> None:
        if self._is_broken:
            return
        if self.is_idle:
            self.is_idle = False
            self._since = self._loop.time()
        try:
            messages, _, _ = self._parser.feed_data(data)
        except LineTooLong:
            self._is_broken = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            messages = ()
        except HttpProcessingError:
            self._is_broken = http.HTTPStatus.BAD_REQUEST
            messages = ()
        if messages:
            self._head_bytes = 0
            self._messages.extend(messages)
        elif self._payload is None:
            self._head_bytes += len(data)
            self._check_head()
        else:
            self._check_body(self._payload)
        self._notify()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is on it."""
        if self.is_idle and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now: float, limits: RequestLimits) -> None:
        """Close the connection when its caller is too slow."""
        age = now - self._since
        if self.is_idle:
            if age > limits.idle_timeout:
                self.close_if_idle()
            return
        is_reading_head = self._payload is None and self._wake is not None
        if is_reading_head and age > limits.header_timeout:
            self._is_broken = http.HTTPStatus.REQUEST_TIMEOUT
            self._notify()

    def _check_head(self) -> None:
        if self._head_bytes > self._server.limits().max_header_bytes:
            self._is_broken = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _check_body(self, payload: StreamReader) -> None:
        if payload.total_bytes > self._server.limits().max_body_bytes:
            self._is_broken = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def _notify(self) -> None:
        wake = self._wake
        if wake is None or wake.done():
            return
        payload = self._payload
        if payload is None or payload.is_eof() or self._is_broken:
            wake.set_result(None)

    async def _run(self) -> None:
        try:
            await self._serve_requests()
        except BadRequestError as refusal:
            self._write(HttpResponse(refusal.status, b'', b''), is_last=True)
        except (ConnectionError, asyncio.CancelledError):
            # The caller has gone; the handler has been told by cancelling.
            self.abort()
        except Exception:
            logger.exception('a request ended with an internal error')
            self._write(HttpResponse(500, b'', b''), is_last=True)
        finally:
            if self.transport is not None:
                self.transport.close()

    async def _serve_requests(self) -> None:
        while self.transport is not None:
            message, payload = await self._next_message()
            body = await self._read_body(message, payload)
            request = HttpRequest(
                message.method,
                message.path,
                message.raw_headers,
                message.headers,
                body,
            )
            reply = await self._server.handler.handle(request)
            is_last = message.should_close or self._server.is_closing
            self._write(reply, is_last, message.method == 'HEAD')
            if is_last:
                return
            if self._paused:
                await self._drain_helper()
            self._since = self._loop.time()
            self.is_idle = not self._messages

    async def _next_message(self) -> tuple[RawRequestMessage, StreamReader]:
        while not self._messages:
            if self._is_broken:
                raise BadRequestError(self._is_broken)
            await self._wait()
        return self._messages.popleft()

    async def _read_body(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
    ) -> bytes:
        if payload is EMPTY_PAYLOAD:
            return b''
        length = message.headers.get('Content-Length', '0')
        if int(length) > self._server.limits().max_body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if message.headers.get('Expect') and self.transport is not None:
            self.transport.write(_CONTINUE)
        self._payload = payload
        while not payload.is_eof():
            if self._is_broken:
                raise BadRequestError(self._is_broken)
            await self._wait()
        self._payload = None
        return payload.read_nowait(-1)

    async def _wait(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _write(
        self,
        reply: HttpResponse,
        is_last: bool,
        is_head: bool = False,
    ) -> None:
        if self.transport is None:
            return
        parts = [_status_line(reply.status), reply.head]
        has_body = not is_head and reply.status not in STATUS_WITHOUT_BODY
        if reply.status not in STATUS_WITHOUT_BODY:
            parts.append(b'Content-Length: %d\r\n' % len(reply.body))
        parts.append(b'Connection: close\r\n\r\n' if is_last else b'\r\n')
        if has_body:
            parts.append(reply.body)
        self.transport.write(b''.join(parts))


def _status_line(status: int) -> bytes:
    line = _STATUS_LINE.get(status)
    return line or f'HTTP/1.1 {status} Status\r\n'.encode()
