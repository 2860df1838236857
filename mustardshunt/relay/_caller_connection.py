"""One connection of a caller, with the task that serves it."""

import asyncio
import http
from collections import deque
from dataclasses import dataclass
from typing import Final, Protocol, cast

from loguru import logger

from mustardshunt.memory import SMALL_BYTES, MemoryAccount
from mustardshunt.policy import RequestLimits
from mustardshunt.relay._caller_memory import CallerMemory
from mustardshunt.relay._head_memory import SMALL_HEAD_BYTES
from mustardshunt.relay._messages import (
    STATUS_WITHOUT_BODY,
    HttpRequest,
    HttpResponse,
    RequestHandler,
)
from mustardshunt.relay._request_intake import RequestIntake
from mustardshunt.relay._request_parser import ParsedRequest, RequestParser
from mustardshunt.relay._response_head import render_response_head
from mustardshunt.relay._timed_connection import TimedConnection

# Requests of one connection that are handled side by side. The callers of one
# connection thus never take more than a small part of a backend server.
MAX_CONCURRENT_REQUESTS: Final = 8
# Bytes of responses that wait for an earlier response, or that the caller has
# not read. Above this size, no further request is handled early.
MAX_HELD_RESPONSE_BYTES: Final = 1024 * 1024
# Time for which a refused caller's further bytes are read and discarded.
LINGER_SECONDS: Final = 1.0
# Response headers of a body for which there is no room. Room is returned as
# soon as other bodies have been passed on.
_NO_ROOM_HEAD: Final = b'Retry-After: 1\r\n'
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Takes the place of an answered request while others behind it are handled.
_ANSWERED: Final = ParsedRequest(
    HttpRequest('', '', (), {}, b''), should_close=False, head_bytes=0
)


class ConnectionOwner(Protocol):
    """Server to which the connections of callers belong."""

    handler: RequestHandler
    memory: MemoryAccount
    is_closing: bool
    requests_in_progress: int

    def limits(self) -> RequestLimits:
        """Return the limits on requests that apply now."""
        ...

    def add(self, connection: 'CallerConnection') -> None:
        """Register an open connection."""
        ...

    def discard(self, connection: 'CallerConnection') -> None:
        """Remove a closed connection."""
        ...


class _RefusedRequestError(Exception):
    """Request that is refused before it reaches the handler."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(frozen=True, slots=True)
class _StartedRequest:
    """Request that is handled while an earlier one is not answered yet."""

    parsed: ParsedRequest
    task: asyncio.Task[HttpResponse]


class CallerConnection(TimedConnection):
    """Reads the requests of one caller and writes their responses in order.

    A repeatable request is handled while earlier repeatable requests are still
    being handled. Any other request is handled only when all requests before it
    have been answered, and no request behind it is handled before its response
    has been written. A request behind one that ends the connection is not
    handled, since its caller sends it again on another connection.

    Parameters
    ----------
    owner : ConnectionOwner
        Server to which the connection belongs.
    loop : asyncio.AbstractEventLoop
        Event loop of the process.
    """

    __slots__ = (
        '_can_overlap',
        '_current',
        '_drain_waiter',
        '_is_reading_paused',
        '_loop',
        '_owner',
        '_started',
        '_task',
        'intake',
    )

    def __init__(
        self,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._owner = owner
        self._loop = loop
        self._parser = RequestParser(owner.limits)
        self.intake = RequestIntake(self._parser)
        self.memory = CallerMemory(owner.memory, self.intake, self._wake_task)
        self._transport: asyncio.Transport | None = None
        self._started: deque[_StartedRequest] = deque()
        self._current: ParsedRequest | None = None
        self._can_overlap: bool | None = None
        self._wake: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_reading_paused = False
        self._timer_start = loop.time()
        self._received_at = self._timer_start
        self.is_idle = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self.memory.open(self._transport)
        self._owner.add(self)
        self._task = self._loop.create_task(self._run(), name='caller')

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests of the connection: their caller has left."""
        self._transport = None
        self.memory.close()
        self._owner.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than responses arrive."""
        self._drain_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Continue with the next response."""
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; wake the task if it waits for a request."""
        now = self._loop.time()
        self._received_at = now
        if self._parser.error_status:
            return
        if self.is_idle:
            self.is_idle = False
            self._timer_start = now
        parser = self._parser
        self.intake.feed(data, now)
        if (
            parser.is_receiving
            or parser.queued_bytes
            or self.memory.is_arriving_charged
        ):
            self.memory.charge_request()
        if parser.requests:
            self._start_ahead()
            self._limit_reading()
        elif not parser.error_status and not parser.expects_continue:
            return
        self._wake_task()

    async def _run(self) -> None:
        try:
            await self._serve_requests()
        except _RefusedRequestError as error:
            await self._refuse(error.status)
        except (ConnectionError, asyncio.CancelledError):
            # The caller disconnected: this task was cancelled, and the handler
            # with it.
            self.abort()
        finally:
            for started in self._started:
                started.task.cancel()
            # The connection is part of reference cycles: what it still refers
            # to stays until the next full garbage collection.
            self._started.clear()
            self.intake.close()
            self._current = None
            if self._transport is not None:
                self._transport.close()

    async def _refuse(self, status: int) -> None:
        """Write an error, then discard what the caller still sends.

        If the connection were closed at once, bytes on their way would reset
        it, and the caller might lose the error.
        """
        head = b''
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            head = _NO_ROOM_HEAD
        self._write(HttpResponse(status, head, b''), is_last=True)
        self.intake.close()
        if self._transport is not None:
            self._transport.write_eof()
            self.is_idle = True
            self._timer_start = self._loop.time()
            await asyncio.sleep(LINGER_SECONDS)

    async def _serve_requests(self) -> None:
        while self._transport is not None and not self._transport.is_closing():
            if await self._answer_next():
                # A socket that is closed with unread bytes resets the
                # connection, and what the caller has not acknowledged is lost.
                self.intake.close()
                self._limit_reading()
                limits = self._owner.limits()
                await self.memory.finish_sending(limits.idle_timeout)
                return
            if self._drain_waiter is not None:
                await self._drain_waiter
            self._start_ahead()
            self._limit_reading()
            if self._started or self._parser.requests:
                # Requests that are refused at once would otherwise keep the
                # other connections waiting.
                await asyncio.sleep(0)
                continue
            self._timer_start = self._loop.time()
            self.is_idle = not self._parser.is_receiving

    async def _answer_next(self) -> bool:
        """Write the next response; tell whether it is the last one.

        The bodies are referenced only here, so that an idle connection, or one
        whose caller reads slowly, keeps none of them.
        """
        parsed, response = await self._next_response()
        # What was read is answered before the connection is closed.
        has_more = self._started or self._parser.requests
        is_last = parsed.should_close or (
            self._owner.is_closing and not has_more
        )
        self._write(response, is_last, parsed.request.method == 'HEAD')
        self.memory.release_body(parsed.request)
        if self._current is parsed:
            # The requests behind this one are handled early only if this one
            # may be: nothing else of it is needed.
            self._current = _ANSWERED if self._started else None
        return is_last

    async def _next_response(self) -> tuple[ParsedRequest, HttpResponse]:
        if self._started:
            started = self._started.popleft()
            response = await started.task
            self.memory.remove_ready(response)
            self.memory.heads.end(started.parsed, is_ahead=True)
            return started.parsed, response
        self._current = None
        self._can_overlap = None
        parsed = await self._next_request()
        is_charged = parsed.head_bytes > SMALL_HEAD_BYTES
        if is_charged:
            self.memory.charge_waiting()
            if not self.memory.heads.start(parsed):
                raise _RefusedRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._current = parsed
        self._start_ahead()
        self._limit_reading()
        response = await self._handle(parsed.request)
        if is_charged:
            self.memory.heads.end(parsed)
        return parsed, response

    async def _next_request(self) -> ParsedRequest:
        parser = self._parser
        while not parser.requests:
            if parser.error_status:
                raise _RefusedRequestError(parser.error_status)
            if parser.expects_continue and self._transport is not None:
                parser.expects_continue = False
                self._transport.write(_CONTINUE)
            self._wake = self._loop.create_future()
            await self._wake
            self._wake = None
        return self.intake.take()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self._owner.requests_in_progress += 1
        try:
            return await self._owner.handler.handle(request)
        except Exception:
            logger.exception('internal error in a request; answering 500')
            return HttpResponse(500, b'', b'')
        finally:
            self._owner.requests_in_progress -= 1

    def _start_ahead(self) -> None:
        """Start to handle the received requests that need not wait."""
        requests = self._parser.requests
        while requests and self._may_overlap():
            parsed = requests[0]
            if not self._owner.handler.is_repeatable(parsed.request):
                return
            if not self.memory.heads.start(parsed, is_ahead=True):
                return
            self.intake.take()
            task = self._loop.create_task(
                self._handle(parsed.request), name='pipelined request'
            )
            task.add_done_callback(self.memory.add_ready)
            self._started.append(_StartedRequest(parsed, task))

    def _may_overlap(self) -> bool:
        current = self._current
        if current is None or self._owner.is_closing:
            return False
        if self._can_overlap is None:
            self._can_overlap = (
                not current.should_close
                and self._owner.handler.is_repeatable(current.request)
            )
        if not self._can_overlap:
            return False
        if len(self._started) + 1 >= MAX_CONCURRENT_REQUESTS:
            return False
        return self.memory.unread_bytes <= MAX_HELD_RESPONSE_BYTES

    def _limit_reading(self) -> None:
        if self._transport is None:
            return
        self.memory.charge_waiting()
        is_full = self.intake.must_pause
        if is_full == self._is_reading_paused:
            return
        self._is_reading_paused = is_full
        if is_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _write(
        self,
        response: HttpResponse,
        is_last: bool,
        is_head: bool = False,
    ) -> None:
        if self._transport is None:
            return
        head = render_response_head(response, is_last)
        body = b'' if is_head else response.body
        if response.status in STATUS_WITHOUT_BODY:
            body = b''
        self.memory.sent.written_bytes += len(head) + len(body)
        if len(body) <= SMALL_BYTES:
            self._transport.write(head + body)
        else:
            # Two writes copy the body less often than one.
            self._transport.write(head)
            self._transport.write(body)
        if self._transport.get_write_buffer_size():
            self.memory.charge_unread()
