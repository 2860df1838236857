"""Pool of HTTP connections to the backend server, with a task for each."""

import asyncio
import functools
from collections.abc import Callable
from typing import Final, cast

from mustardshunt.base import VmAddress
from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.relay._answer_memory import AnswerMemory
from mustardshunt.relay._answer_parser import AnswerHead, AnswerParser
from mustardshunt.relay._backend_job import (
    BackendAnswer,
    BackendFailure,
    BackendJob,
    BackendOutcome,
    FailureKind,
)
from mustardshunt.relay._body_upload import BodyUpload, LargeRequest
from mustardshunt.relay._keepalive import enable_keepalive

CONNECT_TIMEOUT_SECONDS: Final = 1.0
# An idle connection is closed after this fraction of the backend server's
# keep-alive timeout. The node thus closes the connection first, and no request
# is sent on a connection that the server is closing.
KEEP_ALIVE_FRACTION: Final = 0.7
# Time after which an idle connection is closed when the answers on it have no
# usable Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_SECONDS: Final = 5.0
# Largest number of Keep-Alive header values whose parsed timeouts are cached.
KEEP_ALIVE_CACHE_SIZE: Final = 64
_TIMEOUT_PARAMETER: Final = 'timeout='


class BackendConnectionPool:
    """Pool of connections to one backend server.

    The next call uses the idle connection that was used most recently.

    Parameters
    ----------
    address : VmAddress
        Address at which the backend server listens.
    max_body_bytes : int
        Largest answer body that is accepted.
    on_refused : callable
        Called without arguments when the address refuses a connection.
    memory : MemoryAccount
        Account to which arriving answers are charged.
    part : HeldPart, default=HeldPart.ANSWERS
        Part of the account that the answers belong to.
    max_connections : int or None, default=None
        Connections above which idle ones are closed for a new one, None for no
        limit.
    """

    def __init__(
        self,
        address: VmAddress,
        max_body_bytes: int,
        on_refused: Callable[[], None],
        memory: MemoryAccount,
        part: HeldPart = HeldPart.ANSWERS,
        max_connections: int | None = None,
    ) -> None:
        self._max_connections = max_connections
        self.part = part
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.on_refused = on_refused
        self.memory = memory
        self.opened = 0
        self.idle: list[_Connection] = []
        self._connections: set[_Connection] = set()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def submit(self, job: BackendJob) -> '_Connection':
        """Send a call on an idle connection, or on a new one.

        A call whose answer has no body always gets a new connection, because
        the HTTP parsers of idle connections expect answers with a body.
        """
        loop = asyncio.get_running_loop()
        while self.idle and job.expects_body:
            connection = self.idle.pop()
            if connection.try_submit(job, loop.time()):
                return connection
        most = self._max_connections
        if self.idle and most is not None and len(self) >= most:
            self.idle.pop(0).abort()
        connection = _Connection(self, loop, job)
        self.opened += 1
        self._connections.add(connection)
        connection.start()
        return connection

    def set_address(self, address: VmAddress) -> None:
        """Open connections to another address; calls in progress go on."""
        if address == self.address:
            return
        self.address = address
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    def discard(self, connection: '_Connection') -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long.

        ``now`` is the current time in seconds.
        """
        for connection in list(self.idle):
            if connection.idle_until <= now:
                self.idle.remove(connection)
                connection.abort()

    def close(self) -> None:
        """Close all connections at once; the calls on them fail as ``lost``."""
        self.idle.clear()
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection to the backend server, with the task that serves it."""

    __slots__ = (
        '_address',
        '_answer',
        '_expects_body',
        '_has_matched',
        '_head',
        '_is_out_of_sync',
        '_is_paused',
        '_job',
        '_keep_alive_seconds',
        '_loop',
        '_memory',
        '_parser',
        '_pool',
        '_should_close',
        '_task',
        '_transport',
        '_upload',
        '_wake',
        'idle_until',
    )

    def __init__(
        self,
        pool: BackendConnectionPool,
        loop: asyncio.AbstractEventLoop,
        job: BackendJob,
    ) -> None:
        self._loop = loop
        self._parser = AnswerParser(self, pool.max_body_bytes, job.expects_body)
        self._memory = AnswerMemory(
            pool.memory, pool.part, self._parser, self._give_up
        )
        self._expects_body = job.expects_body
        self._pool = pool
        self._address = pool.address
        self._job: BackendJob | None = job
        self._head: AnswerHead | None = None
        self._has_matched = False
        self._should_close = False
        self._answer: asyncio.Future[BackendOutcome] | None = None
        self._wake: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._upload: BodyUpload | None = None
        self._is_paused = False
        self._is_out_of_sync = False
        self._keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.idle_until = 0.0

    def start(self) -> None:
        """Start the task that connects and serves calls."""
        self._task = self._loop.create_task(self._run(), name='backend')

    def try_submit(self, job: BackendJob, now: float) -> bool:
        """Send the next call on this idle connection.

        Returns
        -------
        bool
            False when the connection is closed or was idle for too long: the
            call was not sent.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if self.idle_until <= now:
            self.abort()
            return False
        self._send(job)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
        return True

    def cancel(self, job: BackendJob) -> None:
        """Cancel a call; does nothing when the connection serves another call.

        The cancelled call fails, and the connection is closed.
        """
        if self._job is not job:
            return
        self._set_outcome(BackendFailure(FailureKind.CANCELLED, has_begun=True))
        if self._answer is None and self._task is not None:
            self._task.cancel()
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        tcp_socket = transport.get_extra_info('socket')
        if tcp_socket is not None:
            enable_keepalive(tcp_socket)

    def pause_writing(self) -> None:
        """Stop to write a large body."""
        self._is_paused = True
        if self._upload is not None:
            self._upload.pause()

    def resume_writing(self) -> None:
        """Go on with a large body."""
        self._is_paused = False
        if self._upload is not None:
            self._upload.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a waiting call are no answer."""
        if self._answer is None or self._answer.done():
            self._is_out_of_sync = True
            self.abort()
            return
        try:
            self._parser.feed(data)
        except ValueError:
            self._is_out_of_sync = True
            self._set_outcome(
                BackendFailure(FailureKind.INVALID, has_begun=True)
            )
        if self._answer.done() or self._parser.is_idle:
            return
        if self._transport is not None:
            self._memory.charge(self._transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Finish an answer that ends with the connection, or fail the call."""
        self._transport = None
        if exc is None and self._answer is not None:
            self._parser.feed_end()
        self._set_outcome(BackendFailure(FailureKind.LOST, has_begun=True))
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def begin_answer(self, head: AnswerHead) -> None:
        """Check whether an answer belongs to the current call."""
        job = self._job
        if self._head is not None or job is None or not job.matches(head):
            # This is an answer to an earlier call, or a second answer. The
            # answer to the current call may still follow, but the connection is
            # not reused afterwards.
            self._is_out_of_sync = True
            self._has_matched = False
            return
        self._has_matched = True
        self._head = head

    def end_answer(self, body: bytes, should_close: bool) -> None:
        """Report the complete answer if it belongs to the current call."""
        head = self._head
        if head is None or not self._has_matched:
            return
        self._should_close = should_close
        self._set_outcome(BackendAnswer(head.status, head.raw_headers, body))

    def _give_up(self) -> None:
        """Fail the call, since its answer cannot be kept."""
        self._set_outcome(BackendFailure(FailureKind.NO_MEMORY, has_begun=True))
        self.abort()

    def _set_outcome(self, outcome: BackendOutcome) -> None:
        if self._memory.is_charged:
            self._memory.release()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(outcome)

    def _send(self, job: BackendJob) -> None:
        self._job = job
        self._head = None
        self._has_matched = False
        self._answer = self._loop.create_future()
        self._parser.expect_answer()
        if self._transport is None:
            self._set_outcome(BackendFailure(FailureKind.LOST, False))
            return
        request = job.render()
        if isinstance(request, LargeRequest):
            self._upload = BodyUpload(request.body, self._transport)
            if self._is_paused:
                self._upload.pause()
            request = request.head
        self._transport.write(request)

    async def _run(self) -> None:
        try:
            if await self._connect():
                await self._serve_jobs()
        except asyncio.CancelledError:
            self._fail_job(FailureKind.CANCELLED, has_begun=False)
        finally:
            self._pool.discard(self)
            self.abort()

    async def _connect(self) -> bool:
        address = self._address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self._loop.create_connection(
                    lambda: self,
                    address.host,
                    address.port,
                )
        except ConnectionRefusedError:
            if address == self._pool.address:
                self._pool.on_refused()
            self._fail_job(FailureKind.REFUSED, has_begun=False)
            return False
        except (OSError, TimeoutError):
            self._fail_job(FailureKind.REFUSED, has_begun=False)
            return False
        return True

    async def _serve_jobs(self) -> None:
        if self._job is not None:
            self._send(self._job)
        while self._answer is not None:
            if self._upload is not None:
                await self._upload.run(self._answer)
            await self._answer
            if not self._finish_job(self._answer.result()):
                return
            if self._answer is None:
                self._wake = self._loop.create_future()
                await self._wake
                self._wake = None

    def _finish_job(self, outcome: BackendOutcome) -> bool:
        """Report the outcome of the call; tell if the connection is reused.

        The outcome is referenced only here, so that an idle connection does
        not keep the body of its last answer.
        """
        job = self._job
        self._job = None
        self._answer = None
        is_reusable = self._can_be_reused(outcome)
        self._upload = None
        if is_reusable:
            self.idle_until = self._loop.time() + self._keep_alive_seconds
            self._pool.idle.append(self)
        if job is not None:
            job.finish(outcome)
        return is_reusable

    def _can_be_reused(self, outcome: BackendOutcome) -> bool:
        head = self._head
        if self._is_out_of_sync or self._transport is None or head is None:
            return False
        if not self._expects_body or not self._parser.is_idle:
            return False
        if self._upload is not None and not self._upload.is_complete:
            return False
        if self._address != self._pool.address:
            return False
        if not isinstance(outcome, BackendAnswer) or self._should_close:
            return False
        header_value = head.headers.get('keep-alive')
        if header_value is not None:
            self._keep_alive_seconds = _parse_keep_alive(header_value)
        return self._keep_alive_seconds > 0

    def _fail_job(self, kind: FailureKind, has_begun: bool) -> None:
        job = self._job
        self._job = None
        if job is not None:
            job.finish(BackendFailure(kind, has_begun))


@functools.lru_cache(maxsize=KEEP_ALIVE_CACHE_SIZE)
def _parse_keep_alive(header_value: str) -> float:
    for part in header_value.split(','):
        parameter = part.strip().lower()
        if not parameter.startswith(_TIMEOUT_PARAMETER):
            continue
        try:
            return float(parameter.removeprefix(_TIMEOUT_PARAMETER)) * (
                KEEP_ALIVE_FRACTION
            )
        except ValueError:
            return DEFAULT_KEEP_ALIVE_SECONDS
    return DEFAULT_KEEP_ALIVE_SECONDS
