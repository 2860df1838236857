"""Pool of HTTP connections to the backend server, with a task for each."""

import asyncio
import collections
from dataclasses import dataclass
from typing import Final, Protocol

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage

from mustardshunt.base import Answer, CallRequest, Clock, VmAddress
from mustardshunt.transport._http import (
    HEADER_CALL,
    HEADER_ORGANISATION,
    HEADER_TIMEOUT,
    filter_headers,
)

# An idle connection is closed after this time. Most servers close idle
# connections later, so no request is sent on a connection that the server is
# closing.
IDLE_TIMEOUT_SECONDS: Final = 30.0
_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_INFORMATIONAL_STATUSES: Final = range(100, 200)
_FINAL_STATUSES: Final = range(200, 600)


class BodyTooLargeError(Exception):
    """The body of the backend server's answer is larger than is accepted."""


class InvalidStatusError(Exception):
    """The status of the backend server's answer is outside 100 to 599."""


class UnframedAnswerError(Exception):
    """The end of the backend server's answer cannot be recognised.

    The answer has no length and is not chunked.
    """


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """Describes why a call got no answer from the backend server.

    Parameters
    ----------
    has_begun : bool
        Whether any byte of the request may have reached the backend server.
    kind : str
        Why there is no answer. The pool reports ``refused``, ``lost``,
        ``invalid`` or ``timeout``. The node reports ``cancelled`` or
        ``quarantined`` when it did not send the call, or ended the call early.
    """

    has_begun: bool
    kind: str


class BackendJob(Protocol):
    """An admitted call that is to be sent to the backend server."""

    @property
    def request(self) -> CallRequest:
        """Request of the call, as it is sent to the backend server."""
        ...

    @property
    def reference(self) -> str:
        """Opaque reference to this call, which the call's child calls carry."""
        ...

    @property
    def organisation(self) -> str:
        """Organisation for which the call runs."""
        ...

    @property
    def deadline(self) -> float:
        """Deadline of the call, in seconds of the pool's clock."""
        ...

    def finish(self, outcome: Answer | BackendFailure) -> None:
        """Report the outcome of the call; the pool does this exactly once."""
        ...


class BackendConnectionPool:
    """Pool of connections to one backend server.

    A call waits only while a new connection opens. The pool does not limit the
    number of connections: the admission gate limits the number of concurrent
    calls.

    Parameters
    ----------
    address : VmAddress
        Address at which the backend server listens.
    max_body_bytes : int
        Largest answer body that is accepted.
    clock : Clock
        Clock for the deadlines of calls.
    """

    def __init__(
        self,
        address: VmAddress,
        max_body_bytes: int,
        clock: Clock,
    ) -> None:
        self.address = address
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._idle: list[_Connection] = []
        self._task_by_connection: dict[_Connection, asyncio.Task[None]] = {}

    def submit(self, job: BackendJob) -> None:
        """Send an admitted call on an idle connection, or on a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.try_submit(job):
                return
        connection = _Connection(
            self.address,
            self._max_body_bytes,
            self._clock,
            self._idle,
        )
        connection.try_submit(job)
        task = asyncio.create_task(connection.run(), name='backend connection')
        self._task_by_connection[connection] = task
        task.add_done_callback(
            lambda _: self._task_by_connection.pop(connection, None),
        )

    def cancel(self, job: BackendJob) -> bool:
        """Cancel a call by closing the call's connection; the call then fails.

        Returns
        -------
        bool
            True when the call's connection was closed, False when the call is
            on no connection.
        """
        for connection in self._task_by_connection:
            if connection.job is job:
                connection.abort()
                return True
        return False

    def close(self) -> None:
        """Close all connections at once; the calls on them fail."""
        for connection, task in list(self._task_by_connection.items()):
            connection.abort()
            task.cancel()
        self._idle.clear()


class _Connection:
    """One connection to the backend server; ``run`` is its task."""

    def __init__(
        self,
        address: VmAddress,
        max_body_bytes: int,
        clock: Clock,
        idle: 'list[_Connection]',
    ) -> None:
        self.job: BackendJob | None = None
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._idle = idle
        self._pending: collections.deque[BackendJob] = collections.deque(
            maxlen=1
        )
        self._wake: asyncio.Future[None] | None = None
        self._protocol: ResponseHandler | None = None
        self._is_request_sent = False

    def try_submit(self, job: BackendJob) -> bool:
        """Send the next call on this connection.

        If the connection is open, this method writes the request itself, which
        saves an iteration of the event loop for each call. The connection's
        task then reads the answer. If the connection is not open yet, the task
        connects and sends the request.

        Returns
        -------
        bool
            False when the connection is closed: the call was not sent.
        """
        protocol = self._protocol
        if protocol is not None:
            if not protocol.is_connected():
                return False
            self._send(job, protocol)
        self._pending.append(job)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
        return True

    def abort(self) -> None:
        """Close the connection at once, without waiting for a running call."""
        if self._protocol is not None:
            self._protocol.abort()

    async def run(self) -> None:
        """Connect, then serve calls one by one until the connection closes."""
        try:
            await self._serve_jobs()
        finally:
            if self in self._idle:
                self._idle.remove(self)
            self.abort()
            self._fail_jobs()

    async def _serve_jobs(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self._pending and not await self._wait_for_job(loop):
                return
            self.job = self._pending.popleft()
            outcome = await self._serve_job(self.job)
            job = self.job
            self.job = None
            protocol = self._protocol
            is_reusable = protocol is not None and not protocol.should_close
            if is_reusable:
                self._idle.append(self)
            job.finish(outcome)
            if not is_reusable:
                return

    async def _wait_for_job(self, loop: asyncio.AbstractEventLoop) -> bool:
        self._wake = loop.create_future()
        timer = loop.call_later(IDLE_TIMEOUT_SECONDS, self._close_idle)
        try:
            await self._wake
        finally:
            timer.cancel()
            self._wake = None
        return bool(self._pending)

    def _close_idle(self) -> None:
        if self._wake is not None and not self._wake.done():
            if self in self._idle:
                self._idle.remove(self)
            self._wake.set_result(None)

    def _send(self, job: BackendJob, protocol: ResponseHandler) -> None:
        remaining = job.deadline - self._clock.now()
        if remaining <= 0 or protocol.transport is None:
            return
        protocol.set_response_params(
            auto_decompress=False,
            read_until_eof=True,
            skip_payload=job.request.method == 'HEAD',
        )
        protocol.transport.write(_render(job, remaining, self._address))
        self._is_request_sent = True

    async def _serve_job(self, job: BackendJob) -> Answer | BackendFailure:
        remaining = job.deadline - self._clock.now()
        try:
            async with asyncio.timeout(remaining):
                return await self._exchange(job)
        except TimeoutError:
            self.abort()
            return BackendFailure(
                has_begun=self._is_request_sent, kind='timeout'
            )
        finally:
            self._is_request_sent = False

    async def _exchange(self, job: BackendJob) -> Answer | BackendFailure:
        protocol = self._protocol
        if protocol is None:
            try:
                protocol = await self._connect()
            except (OSError, TimeoutError):
                return BackendFailure(has_begun=False, kind='refused')
            self._send(job, protocol)
        if not self._is_request_sent:
            return BackendFailure(has_begun=False, kind='timeout')
        try:
            return await self._read_answer(
                protocol,
                skips_body=job.request.method == 'HEAD',
            )
        except (
            BodyTooLargeError,
            InvalidStatusError,
            UnframedAnswerError,
        ):
            self.abort()
            return BackendFailure(has_begun=True, kind='invalid')
        except (ClientError, HttpProcessingError, OSError):
            self.abort()
            return BackendFailure(has_begun=True, kind='lost')

    async def _connect(self) -> ResponseHandler:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
            _, protocol = await loop.create_connection(
                lambda: ResponseHandler(loop),
                self._address.host,
                self._address.port,
            )
        self._protocol = protocol
        return protocol

    async def _read_answer(
        self,
        protocol: ResponseHandler,
        skips_body: bool,
    ) -> Answer:
        message, payload = await protocol.read()
        while message.code in _INFORMATIONAL_STATUSES:
            message, payload = await protocol.read()
        if message.code not in _FINAL_STATUSES:
            raise InvalidStatusError
        if not _is_framed(message, skips_body):
            # Without a length, a truncated body cannot be told from a complete
            # body.
            raise UnframedAnswerError
        chunks = []
        size = 0
        while not payload.at_eof():
            chunk = await payload.readany()
            size += len(chunk)
            if size > self._max_body_bytes:
                raise BodyTooLargeError
            chunks.append(chunk)
        return Answer(
            message.code,
            filter_headers(message.headers),
            b''.join(chunks),
        )

    def _fail_jobs(self) -> None:
        failure = BackendFailure(has_begun=False, kind='refused')
        if self.job is not None:
            job = self.job
            self.job = None
            job.finish(BackendFailure(has_begun=True, kind='lost'))
        while self._pending:
            self._pending.popleft().finish(failure)


def _is_framed(message: RawResponseMessage, skips_body: bool) -> bool:
    if skips_body or message.chunked or message.code in {204, 304}:
        return True
    return 'Content-Length' in message.headers


def _render(job: BackendJob, remaining: float, address: VmAddress) -> bytes:
    request = job.request
    timeout_ms = max(1, int(remaining * _MS_PER_SECOND))
    lines = [
        f'{request.method} {request.target} HTTP/1.1',
        f'Host: {address}',
        f'{HEADER_CALL}: {job.reference}',
        f'{HEADER_ORGANISATION}: {job.organisation}',
        f'{HEADER_TIMEOUT}: {timeout_ms}',
    ]
    lines.extend([f'{name}: {text}' for name, text in request.headers])
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(request.body)}')
    lines.extend(('', ''))
    head = '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
    return head + request.body
