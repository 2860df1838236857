"""Connections to the backend server: one task for each."""

import asyncio
import enum
import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol, TypeAlias

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mustardshunt.base import VmAddress
from mustardshunt.relay._messages import RawHeaders

CONNECT_SECONDS: Final = 1.0
# Idle connections are given up at this part of the time after which the
# backend server closes them, so that no request meets the close.
USED_KEEP_ALIVE: Final = 0.7
# Idle time when the backend server states none.
DEFAULT_KEEP_ALIVE: Final = 5.0
# Forms of the header whose time is kept.
KEEP_ALIVES_KEPT: Final = 64
_FIRST_FINAL_STATUS: Final = 200
_TIMEOUT_PARAMETER: Final = 'timeout='


class FailureKind(enum.StrEnum):
    """How a call ended without an answer."""

    REFUSED = 'refused'
    LOST = 'lost'
    INVALID = 'invalid'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A whole answer of the backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    raw_headers : tuple of (bytes, bytes)
        Headers as received.
    body : bytes
        Whole body.
    """

    status: int
    raw_headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """A call that the backend server did not answer.

    Parameters
    ----------
    kind : FailureKind
        How it ended.
    has_begun : bool
        Whether any byte of it may have reached the backend server.
    """

    kind: FailureKind
    has_begun: bool


BackendOutcome: TypeAlias = BackendAnswer | BackendFailure


class BackendJob(Protocol):
    """An admitted call on its way to the backend server."""

    @property
    def expects_body(self) -> bool:
        """Whether the answer may have a body; not so for ``HEAD``."""
        ...

    def render(self) -> bytes:
        """Return the request as bytes."""
        ...

    def matches(self, message: RawResponseMessage) -> bool:
        """Tell whether an answer belongs to this call."""
        ...

    def finish(self, outcome: BackendOutcome) -> None:
        """Take the outcome; called exactly once."""
        ...


class BackendConnectionPool:
    """Connections to one backend server, the last used first.

    Parameters
    ----------
    address : VmAddress
        Where the backend server listens.
    max_body_bytes : int
        Largest answer that is taken.
    on_refused : callable
        Called when nobody listens at the address.
    """

    def __init__(
        self,
        address: VmAddress,
        max_body_bytes: int,
        on_refused: Callable[[], None],
    ) -> None:
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.on_refused = on_refused
        self.opened = 0
        self.idle: list[_Connection] = []
        self._connections: set[_Connection] = set()

    def submit(self, job: BackendJob) -> '_Connection':
        """Send a job on an idle connection, or open another one."""
        loop = asyncio.get_running_loop()
        while self.idle and job.expects_body:
            connection = self.idle.pop()
            if connection.give(job, loop.time()):
                return connection
        connection = _Connection(self, loop, job)
        self.opened += 1
        self._connections.add(connection)
        connection.start()
        return connection

    def discard(self, connection: '_Connection') -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self, now: float) -> None:
        """Close the connections that were idle for too long."""
        for connection in list(self.idle):
            if connection.idle_until <= now:
                self.idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Close all connections; the calls on them fail."""
        self.idle.clear()
        for connection in list(self._connections):
            connection.abort()


class _Connection(BaseProtocol):
    """One connection and its task."""

    __slots__ = (
        '_answer',
        '_is_reusable',
        '_is_spoiled',
        '_job',
        '_keep_alive',
        '_message',
        '_payload',
        '_pool',
        '_task',
        '_wake',
        'idle_until',
    )

    def __init__(
        self,
        pool: BackendConnectionPool,
        loop: asyncio.AbstractEventLoop,
        job: BackendJob,
    ) -> None:
        super().__init__(loop)
        self._parser: Any = HttpResponseParser(
            self,
            loop,
            pool.max_body_bytes,
            read_until_eof=True,
            auto_decompress=False,
            response_with_body=job.expects_body,
        )
        self._is_reusable = job.expects_body
        self._pool = pool
        self._job: BackendJob | None = job
        self._message: RawResponseMessage | None = None
        self._payload: StreamReader | None = None
        self._answer: asyncio.Future[BackendOutcome] | None = None
        self._wake: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_spoiled = False
        self._keep_alive = DEFAULT_KEEP_ALIVE
        self.idle_until = 0.0

    def start(self) -> None:
        """Start the connection's task."""
        self._task = self._loop.create_task(self._run(), name='backend')

    def give(self, job: BackendJob, now: float) -> bool:
        """Send the next job; False when the connection cannot take it."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.idle_until <= now:
            self.abort()
            return False
        self._send(job)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
        return True

    def cancel(self, job: BackendJob) -> None:
        """Give up a job by closing its connection."""
        if self._job is not job:
            return
        self._settle(BackendFailure(FailureKind.CANCELLED, has_begun=True))
        if self._answer is None and self._task is not None:
            self._task.cancel()
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def pause_reading(self) -> None:
        """Go on reading: bodies are kept whole and bounded elsewhere."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, since reading never pauses."""

    def data_received(self, data: bytes) -> None:
        if self._answer is None or self._answer.done():
            # Nothing was asked: these bytes belong to no call.
            self._is_spoiled = True
            self.abort()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError:
            self._is_spoiled = True
            self._settle(BackendFailure(FailureKind.INVALID, has_begun=True))
            return
        for message, payload in messages:
            self._take(message, payload)
        self._check_complete()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        if exc is None:
            self._end_of_stream()
        self._settle(BackendFailure(FailureKind.LOST, has_begun=True))
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _take(self, message: RawResponseMessage, payload: StreamReader) -> None:
        if message.code < _FIRST_FINAL_STATUS:
            return
        job = self._job
        if self._message is not None or job is None or not job.matches(message):
            # A late or an extra answer; the next one may follow it.
            self._is_spoiled = True
            return
        self._message = message
        self._payload = payload

    def _check_complete(self) -> None:
        payload = self._payload
        message = self._message
        if message is None or payload is None:
            return
        if payload is not EMPTY_PAYLOAD and not payload.is_eof():
            if payload.total_bytes > self._pool.max_body_bytes:
                self._settle(BackendFailure(FailureKind.INVALID, True))
                self.abort()
            return
        body = b'' if payload is EMPTY_PAYLOAD else payload.read_nowait(-1)
        self._settle(BackendAnswer(message.code, message.raw_headers, body))

    def _end_of_stream(self) -> None:
        try:
            self._parser.feed_eof()
        except HttpProcessingError:
            # The answer is cut short and so stays incomplete.
            return
        if self._answer is not None and not self._answer.done():
            self._check_complete()

    def _settle(self, outcome: BackendOutcome) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(outcome)

    def _send(self, job: BackendJob) -> None:
        self._job = job
        self._message = None
        self._payload = None
        self._answer = self._loop.create_future()
        if self.transport is not None:
            self.transport.write(job.render())

    async def _run(self) -> None:
        try:
            if await self._connect():
                await self._serve_jobs()
        except asyncio.CancelledError:
            self._fail(FailureKind.CANCELLED, has_begun=False)
        finally:
            self._pool.discard(self)
            self.abort()

    async def _connect(self) -> bool:
        address = self._pool.address
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await self._loop.create_connection(
                    lambda: self,
                    address.host,
                    address.port,
                )
        except ConnectionRefusedError:
            self._pool.on_refused()
            self._fail(FailureKind.REFUSED, has_begun=False)
            return False
        except (OSError, TimeoutError):
            self._fail(FailureKind.REFUSED, has_begun=False)
            return False
        return True

    async def _serve_jobs(self) -> None:
        if self._job is not None:
            self._send(self._job)
        while self._answer is not None:
            outcome = await self._answer
            job = self._job
            self._job = None
            self._answer = None
            is_reusable = self._can_be_reused(outcome)
            if is_reusable:
                self.idle_until = self._loop.time() + self._keep_alive
                self._pool.idle.append(self)
            if job is not None:
                job.finish(outcome)
            if not is_reusable:
                return
            if self._answer is None:
                await self._wait()

    async def _wait(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _can_be_reused(self, outcome: BackendOutcome) -> bool:
        message = self._message
        if self._is_spoiled or self.transport is None or message is None:
            return False
        if not self._is_reusable:
            return False
        if not isinstance(outcome, BackendAnswer) or message.should_close:
            return False
        stated = message.headers.get('Keep-Alive')
        if stated is not None:
            self._keep_alive = _keep_alive_seconds(stated)
        return self._keep_alive > 0

    def _fail(self, kind: FailureKind, has_begun: bool) -> None:
        job = self._job
        self._job = None
        if job is not None:
            job.finish(BackendFailure(kind, has_begun))


@functools.lru_cache(maxsize=KEEP_ALIVES_KEPT)
def _keep_alive_seconds(text: str) -> float:
    for part in text.split(','):
        stated = part.strip().lower()
        if not stated.startswith(_TIMEOUT_PARAMETER):
            continue
        try:
            return float(stated.removeprefix(_TIMEOUT_PARAMETER)) * (
                USED_KEEP_ALIVE
            )
        except ValueError:
            return DEFAULT_KEEP_ALIVE
    return DEFAULT_KEEP_ALIVE
