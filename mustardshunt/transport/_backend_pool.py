"""Connections to the backend server: one task for each."""

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

# An idle connection is closed after this time, before most servers do so.
IDLE_SECONDS: Final = 30.0
_CONNECT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class BodyTooLargeError(Exception):
    """The backend server's answer is larger than the limit."""


class UnframedAnswerError(Exception):
    """The backend server's answer has neither a length nor chunks."""


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """A call that the backend server did not answer.

    Parameters
    ----------
    has_begun : bool
        Whether any byte may have reached the backend server.
    kind : str
        ``refused``, ``lost``, ``invalid`` or ``timeout``.
    """

    has_begun: bool
    kind: str


class BackendJob(Protocol):
    """An admitted call on its way to the backend server."""

    @property
    def request(self) -> CallRequest:
        """What is sent."""
        ...

    @property
    def reference(self) -> str:
        """Opaque reference under which child calls are made."""
        ...

    @property
    def organisation(self) -> str:
        """Organisation for which the call runs."""
        ...

    @property
    def deadline(self) -> float:
        """Time after which nobody waits."""
        ...

    def finish(self, outcome: Answer | BackendFailure) -> None:
        """Take the outcome; called exactly once."""
        ...


class BackendConnectionPool:
    """Pool of connections to one backend server.

    Admitted calls wait in a queue only until a connection is free or opened,
    since the gate admits no more calls than there may be connections.

    Parameters
    ----------
    address : VmAddress
        Where the backend server listens.
    max_body_bytes : int
        Largest answer that is accepted.
    clock : Clock
        Source of the time.
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

    def submit(self, work: BackendJob) -> None:
        """Give an admitted call to an idle connection, or open another."""
        while self._idle:
            connection = self._idle.pop()
            if connection.give(work):
                return
        connection = _Connection(
            self.address,
            self._max_body_bytes,
            self._clock,
            self._idle,
        )
        connection.give(work)
        task = asyncio.create_task(connection.run(), name='backend connection')
        self._task_by_connection[connection] = task
        task.add_done_callback(
            lambda _: self._task_by_connection.pop(connection, None),
        )

    def cancel(self, work: BackendJob) -> bool:
        """Close the connection that serves a call; the call then fails.

        Returns
        -------
        bool
            False when no connection serves the call.
        """
        for connection in self._task_by_connection:
            if connection.work is work:
                connection.abort()
                return True
        return False

    def close(self) -> None:
        """Close all connections; calls on them fail."""
        for connection, task in list(self._task_by_connection.items()):
            connection.abort()
            task.cancel()
        self._idle.clear()


class _Connection:
    """One connection and its task."""

    def __init__(
        self,
        address: VmAddress,
        max_body_bytes: int,
        clock: Clock,
        idle: 'list[_Connection]',
    ) -> None:
        self.work: BackendJob | None = None
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._idle = idle
        self._given: collections.deque[BackendJob] = collections.deque(maxlen=1)
        self._wake: asyncio.Future[None] | None = None
        self._protocol: ResponseHandler | None = None
        self._is_sent = False

    def give(self, work: BackendJob) -> bool:
        """Hand over the next call; False when the connection is closed.

        On an open connection the request is written here already, which
        saves a turn of the event loop for each call; the connection's task
        then waits for the answer.
        """
        protocol = self._protocol
        if protocol is not None:
            if not protocol.is_connected():
                return False
            self._send(work, protocol)
        self._given.append(work)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self._protocol is not None:
            self._protocol.abort()

    async def run(self) -> None:
        """Serve one call after the other until the connection closes."""
        try:
            await self._serve_calls()
        finally:
            if self in self._idle:
                self._idle.remove(self)
            self.abort()
            self._fail_rest()

    async def _serve_calls(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self._given and not await self._wait(loop):
                return
            self.work = self._given.popleft()
            outcome = await self._serve(self.work)
            work = self.work
            self.work = None
            protocol = self._protocol
            is_reusable = protocol is not None and not protocol.should_close
            if is_reusable:
                self._idle.append(self)
            work.finish(outcome)
            if not is_reusable:
                return

    async def _wait(self, loop: asyncio.AbstractEventLoop) -> bool:
        self._wake = loop.create_future()
        timer = loop.call_later(IDLE_SECONDS, self._expire)
        try:
            await self._wake
        finally:
            timer.cancel()
            self._wake = None
        return bool(self._given)

    def _expire(self) -> None:
        if self._wake is not None and not self._wake.done():
            if self in self._idle:
                self._idle.remove(self)
            self._wake.set_result(None)

    def _send(self, work: BackendJob, protocol: ResponseHandler) -> None:
        remaining = work.deadline - self._clock.now()
        if remaining <= 0 or protocol.transport is None:
            return
        protocol.set_response_params(
            auto_decompress=False,
            read_until_eof=True,
            skip_payload=work.request.method == 'HEAD',
        )
        protocol.transport.write(_render(work, remaining, self._address))
        self._is_sent = True

    async def _serve(self, work: BackendJob) -> Answer | BackendFailure:
        remaining = work.deadline - self._clock.now()
        try:
            async with asyncio.timeout(remaining):
                return await self._exchange(work)
        except TimeoutError:
            self.abort()
            return BackendFailure(has_begun=self._is_sent, kind='timeout')
        finally:
            self._is_sent = False

    async def _exchange(self, work: BackendJob) -> Answer | BackendFailure:
        protocol = self._protocol
        if protocol is None:
            try:
                protocol = await self._connect()
            except (OSError, TimeoutError):
                return BackendFailure(has_begun=False, kind='refused')
            self._send(work, protocol)
        if not self._is_sent:
            return BackendFailure(has_begun=False, kind='timeout')
        try:
            return await self._read_answer(
                protocol,
                skips_body=work.request.method == 'HEAD',
            )
        except (BodyTooLargeError, UnframedAnswerError):
            self.abort()
            return BackendFailure(has_begun=True, kind='invalid')
        except (ClientError, HttpProcessingError, OSError):
            self.abort()
            return BackendFailure(has_begun=True, kind='lost')

    async def _connect(self) -> ResponseHandler:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_SECONDS):
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
        while message.code < 200:
            message, payload = await protocol.read()
        if not _is_framed(message, skips_body):
            # Without a length, a truncated body could not be told apart
            # from a whole one.
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

    def _fail_rest(self) -> None:
        failure = BackendFailure(has_begun=False, kind='refused')
        if self.work is not None:
            work = self.work
            self.work = None
            work.finish(BackendFailure(has_begun=True, kind='lost'))
        while self._given:
            self._given.popleft().finish(failure)


def _is_framed(message: RawResponseMessage, skips_body: bool) -> bool:
    if skips_body or message.chunked or message.code in {204, 304}:
        return True
    return 'Content-Length' in message.headers


def _render(work: BackendJob, remaining: float, address: VmAddress) -> bytes:
    request = work.request
    timeout_ms = max(1, int(remaining * _MS_PER_SECOND))
    lines = [
        f'{request.method} {request.target} HTTP/1.1',
        f'Host: {address}',
        f'{HEADER_CALL}: {work.reference}',
        f'{HEADER_ORGANISATION}: {work.organisation}',
        f'{HEADER_TIMEOUT}: {timeout_ms}',
    ]
    lines.extend([f'{name}: {text}' for name, text in request.headers])
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'Content-Length: {len(request.body)}')
    lines.extend(('', ''))
    head = '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
    return head + request.body
