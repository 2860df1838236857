"""HTTP server for callers, with one task per connection."""

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

# Number of connections that may wait to be accepted. When this many wait, the
# kernel drops the SYN packet of a new connection, and the caller sends the
# packet again only after seconds.
BACKLOG: Final = 1024
# Interval at which the connections of callers are checked for time-outs.
SWEEP_INTERVAL_SECONDS: Final = 0.5
_STATUS_LINE: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class LimitSource(Protocol):
    """Returns the limits on requests that apply now."""

    def __call__(self) -> RequestLimits:
        """Return the limits on the size and the duration of requests."""
        ...


class BadRequestError(Exception):
    """Request that is refused before it reaches the handler.

    Parameters
    ----------
    status : int
        HTTP status code of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class HttpServer:
    """Accepts connections of callers and serves the requests on them.

    Parameters
    ----------
    handler : RequestHandler
        Returns the response to each request.
    limits : LimitSource
        Returns the limits on the size and the duration of requests.
    """

    def __init__(self, handler: RequestHandler, limits: LimitSource) -> None:
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def listen(self, address: VmAddress) -> None:
        """Start accepting connections.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, loop),
            address.host,
            address.port,
            backlog=BACKLOG,
        )
        self._sweeper = asyncio.create_task(self._sweep(), name='http sweeper')

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections on which no request is being served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def active_requests(self) -> int:
        """Return the number of requests that are being received or served."""
        return sum(not connection.is_idle for connection in self._connections)

    def close(self) -> None:
        """Close the listening socket and abort all connections."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: '_Connection') -> None:
        """Register an open connection, so that ``close`` can close it."""
        self._connections.add(connection)

    def discard(self, connection: '_Connection') -> None:
        """Remove a closed connection from the open connections."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            limits = self.limits()
            for connection in list(self._connections):
                connection.check_timeouts(loop.time(), limits)


class _Connection(BaseProtocol):
    """One connection of a caller and the task that serves it."""

    __slots__ = (
        '_error_status',
        '_head_bytes',
        '_messages',
        '_payload',
        '_server',
        '_task',
        '_timer_start',
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
            # Buffer limit of the parser. A body is buffered completely, so
            # reading is never paused.
            limits.max_body_bytes,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )
        self._server = server
        self._messages: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._payload: StreamReader | None = None
        self._wake: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._error_status = 0
        self._timer_start = loop.time()
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
        """Do nothing: bodies are buffered, and their size is limited."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, since reading is never paused."""

    def data_received(self, data: bytes) -> None:
        if self._error_status:
            return
        if self.is_idle:
            self.is_idle = False
            self._timer_start = self._loop.time()
        try:
            messages, _, _ = self._parser.feed_data(data)
        except LineTooLong:
            self._error_status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            messages = ()
        except HttpProcessingError:
            self._error_status = http.HTTPStatus.BAD_REQUEST
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
        """Close the connection unless a request is being read or served."""
        if self.is_idle and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now: float, limits: RequestLimits) -> None:
        """Close an idle connection, or refuse a request head that is too slow.

        Parameters
        ----------
        now : float
            Time of the event loop in seconds.
        limits : RequestLimits
            Limits that apply now.
        """
        age = now - self._timer_start
        if self.is_idle:
            if age > limits.idle_timeout:
                self.close_if_idle()
            return
        is_reading_head = self._payload is None and self._wake is not None
        if is_reading_head and age > limits.header_timeout:
            self._error_status = http.HTTPStatus.REQUEST_TIMEOUT
            self._notify()

    def _check_head(self) -> None:
        if self._head_bytes > self._server.limits().max_header_bytes:
            self._error_status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def _check_body(self, payload: StreamReader) -> None:
        if payload.total_bytes > self._server.limits().max_body_bytes:
            self._error_status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def _notify(self) -> None:
        wake = self._wake
        if wake is None or wake.done():
            return
        payload = self._payload
        if payload is None or payload.is_eof() or self._error_status:
            wake.set_result(None)

    async def _run(self) -> None:
        try:
            await self._serve_requests()
        except BadRequestError as error:
            self._write(HttpResponse(error.status, b'', b''), is_last=True)
        except (ConnectionError, asyncio.CancelledError):
            # The caller disconnected: this task was cancelled, and the handler
            # with it.
            self.abort()
        except Exception:
            logger.exception(
                'internal error in a request; answering 500 and closing the '
                'connection'
            )
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
            response = await self._server.handler.handle(request)
            is_last = message.should_close or self._server.is_closing
            self._write(response, is_last, message.method == 'HEAD')
            if is_last:
                return
            if self._paused:
                await self._drain_helper()
            self._timer_start = self._loop.time()
            self.is_idle = not self._messages

    async def _next_message(self) -> tuple[RawRequestMessage, StreamReader]:
        while not self._messages:
            if self._error_status:
                raise BadRequestError(self._error_status)
            await self._wait_for_data()
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
            if self._error_status:
                raise BadRequestError(self._error_status)
            await self._wait_for_data()
        self._payload = None
        return payload.read_nowait(-1)

    async def _wait_for_data(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _write(
        self,
        response: HttpResponse,
        is_last: bool,
        is_head: bool = False,
    ) -> None:
        if self.transport is None:
            return
        parts = [_status_line(response.status), response.head]
        has_body = not is_head and response.status not in STATUS_WITHOUT_BODY
        if response.status not in STATUS_WITHOUT_BODY:
            parts.append(b'Content-Length: %d\r\n' % len(response.body))
        parts.append(b'Connection: close\r\n\r\n' if is_last else b'\r\n')
        if has_body:
            parts.append(response.body)
        self.transport.write(b''.join(parts))


def _status_line(status: int) -> bytes:
    line = _STATUS_LINE.get(status)
    return line or f'HTTP/1.1 {status} Status\r\n'.encode()
