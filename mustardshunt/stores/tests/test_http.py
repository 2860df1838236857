"""Tests of the HTTP clients and of the in-memory platform."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer, unused_port

from mustardshunt.stores import (
    ConflictError,
    HttpObjectStore,
    HttpTableService,
    MemoryPlatform,
    OutcomeUnknownError,
    PlatformMode,
    PlatformUnavailableError,
    Row,
    Write,
    make_platform_session,
)

WRITES = (Write('a', 0, '{}'),)


class _StatusHandler:
    """Answers each request with ``status``; None closes the connection."""

    def __init__(self, status):
        self.status = status
        self.delay_seconds = 0.0
        self.request_count = 0

    async def answer(self, request):
        await request.read()
        self.request_count += 1
        await asyncio.sleep(self.delay_seconds)
        if self.status is None:
            request.transport.abort()
        return web.Response(status=self.status or 200, body=b'{"rows": 1}')


@pytest.fixture
async def server():
    handler = _StatusHandler(200)
    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', handler.answer)
    test_server = TestServer(app, host='127.0.0.1')
    await test_server.start_server()
    handler.url = str(test_server.make_url('/'))
    yield handler
    await test_server.close()


@pytest.fixture
async def session(server):
    opened = make_platform_session(server.url, 0.5, 0.5)
    yield opened
    await opened.close()


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (409, ConflictError),
        (503, PlatformUnavailableError),
        (400, PlatformUnavailableError),
        (500, OutcomeUnknownError),
        (502, OutcomeUnknownError),
        (504, OutcomeUnknownError),
        (None, OutcomeUnknownError),
    ],
)
async def test_write_error_says_whether_the_write_may_have_taken_effect(
    server,
    session,
    status,
    expected,
):
    # Guards against a request that is reported as not run although its write
    # took effect, because the status of the answer was misread.
    server.status = status
    with pytest.raises(expected):
        await HttpTableService(session).commit(WRITES)
    assert server.request_count == 1


async def test_timeout_leaves_the_outcome_of_a_write_unknown(
    server,
    session,
):
    # Guards against a write that is reported as failed when only its answer
    # exceeds the time-out. A read that exceeds it has simply failed.
    server.delay_seconds = 5.0
    with pytest.raises(OutcomeUnknownError):
        await HttpTableService(session).commit(WRITES)
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).read_row('a')


async def test_refused_connection_means_nothing_was_written():
    # Guards against keyed requests that are reported with an unknown outcome
    # although no connection to the platform could be opened.
    session = make_platform_session(f'http://127.0.0.1:{unused_port()}')
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).commit(WRITES)
    with pytest.raises(PlatformUnavailableError):
        await HttpObjectStore(session).write_object('a', b'')
    await session.close()


async def test_malformed_answer_is_an_error(server, session):
    # Guards against a malformed body that is read as an empty list or a
    # missing row.
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).list_rows('a')
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).read_row('a')


async def test_conflicting_transaction_writes_no_row():
    # Guards against a transfer of shares of which only one row is written.
    platform = MemoryPlatform()
    await platform.commit([Write('a', 0, '1')])
    with pytest.raises(ConflictError):
        await platform.commit([Write('b', 0, '1'), Write('a', 0, '2')])
    assert await platform.list_rows('') == [Row('a', 1, '1')]


async def test_one_of_several_racing_inserts_takes_effect():
    # Guards against concurrent inserts of the same row that both succeed.
    platform = MemoryPlatform()
    outcomes = await asyncio.gather(
        *(platform.commit([Write('a', 0, str(i))]) for i in range(8)),
        return_exceptions=True,
    )
    assert outcomes.count(None) == 1


async def test_write_takes_effect_when_its_answer_is_lost():
    # Guards against an in-memory platform that drops a write together with its
    # answer, and so hides faults in the code under test.
    platform = MemoryPlatform()
    platform.lose_answers(1)
    with pytest.raises(OutcomeUnknownError):
        await platform.commit(WRITES)
    assert await platform.read_row('a') == Row('a', 1, '{}')
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await platform.read_row('a')
    assert platform.counters().lost == 1
