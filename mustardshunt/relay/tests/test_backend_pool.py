"""Tests of the backend connection pool with incorrect servers."""

import asyncio
import contextlib
import socket
import struct

import pytest
from aiohttp.http_parser import RawResponseMessage

from mustardshunt.base import VmAddress
from mustardshunt.relay import (
    BackendAnswer,
    BackendConnectionPool,
    BackendFailure,
    BackendOutcome,
    FailureKind,
)

HEAD = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n'
UNRELATED_ANSWER = b'HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold'
RESET = object()


class Job:
    def __init__(self, expects_body: bool = True) -> None:
        self.expects_body = expects_body
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[BackendOutcome] = loop.create_future()

    def render(self) -> bytes:
        return b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

    def matches(self, message: RawResponseMessage) -> bool:
        return message.headers.get('X-Id') == '1'

    def finish(self, outcome: BackendOutcome) -> None:
        self.outcome.set_result(outcome)


async def exchange(
    *pieces: object, expects_body: bool = True
) -> tuple[BackendOutcome, BackendConnectionPool]:
    """Send one request to a server that sends the given pieces as answer.

    The piece ``None`` ends the stream; the piece ``RESET`` resets the TCP
    connection.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            if piece is RESET:
                connection = writer.get_extra_info('socket')
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
                writer.transport.abort()
                return
            if piece is None:
                writer.close()
                return
            writer.write(piece)
            await asyncio.sleep(0.01)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = VmAddress(*server.sockets[0].getsockname()[:2])
    pool = BackendConnectionPool(address, 1 << 20, lambda: None)
    job = Job(expects_body)
    pool.submit(job)
    async with asyncio.timeout(3):
        outcome = await job.outcome
    await asyncio.sleep(0.05)
    server.close()
    return outcome, pool


async def test_answer_in_pieces_is_joined_and_connection_kept():
    # An answer that arrives in several segments must be joined; the first
    # segment must not count as the complete answer. The connection must then be
    # kept, so that the next call needs no new connection.
    outcome, pool = await exchange(HEAD + b'ab', b'cd')
    assert isinstance(outcome, BackendAnswer)
    assert outcome.body == b'abcd'
    assert len(pool.idle) == 1
    pool.close()


async def test_answer_to_earlier_call_is_skipped():
    # A late answer to an earlier call may arrive on a reused connection. The
    # current call must not get that answer.
    outcome, pool = await exchange(UNRELATED_ANSWER, HEAD + b'abcd')
    assert isinstance(outcome, BackendAnswer)
    assert outcome.body == b'abcd'
    assert not pool.idle


async def test_connection_with_extra_answer_is_not_reused():
    # When a server sends two answers to one call, the connection must not be
    # reused. Otherwise the next call would get the second answer.
    outcome, pool = await exchange(HEAD + b'abcd', UNRELATED_ANSWER)
    assert isinstance(outcome, BackendAnswer)
    assert not pool.idle


@pytest.mark.parametrize(
    ('pieces', 'kind'),
    [
        ((HEAD + b'ab', None), FailureKind.LOST),
        ((b'no answer at all\r\n\r\n',), FailureKind.INVALID),
        ((b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nab', RESET), FailureKind.LOST),
        ((None,), FailureKind.LOST),
    ],
)
async def test_truncated_or_invalid_answer_is_a_failure(
    pieces: tuple[object, ...], kind: FailureKind
):
    # A truncated body must not be passed on as a complete answer. The body is
    # truncated when the backend server closes or resets the connection, or
    # sends bytes that are not HTTP.
    outcome, _ = await exchange(*pieces)
    assert outcome == BackendFailure(kind, has_begun=True)


async def test_answer_without_length_ends_at_end_of_stream():
    # An answer may have no length, so that only the end of the connection marks
    # its end. Such an answer must not be lost.
    head = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n'
    outcome, pool = await exchange(head + b'ab', b'cd', None)
    assert isinstance(outcome, BackendAnswer)
    assert outcome.body == b'abcd'
    assert not pool.idle


async def test_answer_to_head_request_has_no_body():
    # An answer to HEAD never has a body, even if it has a Content-Length. The
    # pool must not wait for a body.
    outcome, pool = await exchange(HEAD, expects_body=False)
    assert isinstance(outcome, BackendAnswer)
    assert not outcome.body
    assert not pool.idle


async def test_refused_connection_is_reported_as_not_begun():
    # When no server listens at the address, the call certainly did not run. If
    # the call counted as possibly run, no other node could retry it.
    refusals = []
    unused = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    address = VmAddress(*unused.sockets[0].getsockname()[:2])
    unused.close()
    await unused.wait_closed()
    pool = BackendConnectionPool(address, 1 << 20, lambda: refusals.append(1))
    job = Job()
    pool.submit(job)
    async with asyncio.timeout(3):
        outcome = await job.outcome
    assert outcome == BackendFailure(FailureKind.REFUSED, has_begun=False)
    assert refusals


async def test_cancelled_call_closes_its_connection():
    # When a caller gives up, the connection of the call must be closed.
    # Otherwise the backend server would go on working for that caller.
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        # The pool aborts the connection; the server may see this as a reset.
        with contextlib.suppress(ConnectionError):
            await reader.read()
        closed.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = VmAddress(*server.sockets[0].getsockname()[:2])
    pool = BackendConnectionPool(address, 1 << 20, lambda: None)
    job = Job()
    connection = pool.submit(job)
    await asyncio.sleep(0.05)
    connection.cancel(job)
    async with asyncio.timeout(3):
        await closed.wait()
        assert isinstance(await job.outcome, BackendFailure)
    server.close()
