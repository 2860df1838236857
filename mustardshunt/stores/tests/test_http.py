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


class _Server:
    """Answers each request with one status, or closes the connection."""

    def __init__(self, status):
        self.status = status
        self.delay = 0.0
        self.seen = 0

    async def answer(self, request):
        await request.read()
        self.seen += 1
        await asyncio.sleep(self.delay)
        if self.status is None:
            request.transport.abort()
        return web.Response(status=self.status or 200, body=b'{"rows": 1}')


@pytest.fixture
async def server():
    behaviour = _Server(200)
    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', behaviour.answer)
    test_server = TestServer(app, host='127.0.0.1')
    await test_server.start_server()
    behaviour.url = str(test_server.make_url('/'))
    yield behaviour
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
async def test_write_errors_say_whether_it_may_have_run(
    server,
    session,
    status,
    expected,
):
    # Guards against an order refused as "not run" that did take effect.
    server.status = status
    with pytest.raises(expected):
        await HttpTableService(session).commit(WRITES)
    assert server.seen == 1


async def test_slow_write_is_unknown_and_slow_read_unavailable(
    server,
    session,
):
    # Guards against a timeout that is taken for a failed write.
    server.delay = 5.0
    with pytest.raises(OutcomeUnknownError):
        await HttpTableService(session).commit(WRITES)
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).read_row('a')


async def test_refused_connection_is_not_run():
    # Guards against keyed orders reported as unknown in a plain outage.
    session = make_platform_session(f'http://127.0.0.1:{unused_port()}')
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).commit(WRITES)
    with pytest.raises(PlatformUnavailableError):
        await HttpObjectStore(session).write_object('a', b'')
    await session.close()


async def test_malformed_answer_is_no_row(server, session):
    # Guards against an empty list taken from a body that is not a list.
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).list_rows('a')
    with pytest.raises(PlatformUnavailableError):
        await HttpTableService(session).read_row('a')


async def test_transaction_is_all_or_nothing():
    # Guards against half of a share transfer being written.
    platform = MemoryPlatform()
    await platform.commit([Write('a', 0, '1')])
    with pytest.raises(ConflictError):
        await platform.commit([Write('b', 0, '1'), Write('a', 0, '2')])
    assert await platform.list_rows('') == [Row('a', 1, '1')]


async def test_racing_writers_one_wins():
    # Guards against two inserts of the same row that both succeed.
    platform = MemoryPlatform()
    outcomes = await asyncio.gather(
        *(platform.commit([Write('a', 0, str(i))]) for i in range(8)),
        return_exceptions=True,
    )
    assert outcomes.count(None) == 1


async def test_lost_answer_after_the_write():
    # Guards against a fake that drops the write together with its answer.
    platform = MemoryPlatform()
    platform.lose_answers(1)
    with pytest.raises(OutcomeUnknownError):
        await platform.commit(WRITES)
    assert await platform.read_row('a') == Row('a', 1, '{}')
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await platform.read_row('a')
    assert platform.counters().lost == 1
