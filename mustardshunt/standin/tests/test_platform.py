"""Tests of the stand-in for the platform, over HTTP on loopback."""

import asyncio
import signal

import aiohttp
import pytest

from mustardshunt.base import CallId, Incarnation
from mustardshunt.standin import PlatformServer
from mustardshunt.standin._serving import start_server
from mustardshunt.stores import (
    AlreadyClaimed,
    Claimed,
    ConflictError,
    HttpObjectStore,
    HttpTableService,
    IdempotencyClaim,
    IdempotencyKey,
    IdempotencyStore,
    MemoryPlatform,
    OutcomeUnknownError,
    PlatformMode,
    PlatformUnavailableError,
    Row,
    Write,
    make_group_commit_table,
    make_platform_session,
)


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
async def url(platform):
    app = PlatformServer(platform).make_app()
    server = await start_server(app, '127.0.0.1', 0)
    yield f'http://127.0.0.1:{server.port}'
    await server.stop()


@pytest.fixture
async def session(url):
    opened = make_platform_session(url, 0.5, 0.5)
    yield opened
    await opened.close()


async def test_rows_and_objects_round_trip(session):
    # Keys and contents must pass through the URL and JSON encoding unchanged.
    table = HttpTableService(session)
    store = HttpObjectStore(session)
    key = 'order/a%2F../b?c=d&e ü'
    assert await table.read_row(key) is None
    await table.commit([Write(key, 0, '{"ü": 1}'), Write('x', 0, '2')])
    assert await table.read_row(key) == Row(key, 1, '{"ü": 1}')
    assert await table.list_rows('order/a%') == [Row(key, 1, '{"ü": 1}')]
    with pytest.raises(ConflictError, match='version 1, expected 0'):
        await table.commit([Write('y', 0, '1'), Write('x', 0, '3')])
    await table.commit([Write('x', 1, None)])
    assert [row.key for row in await table.list_rows('')] == [key]
    await store.write_object(key, b'\x00\xff')
    assert await store.read_object(key) == b'\x00\xff'
    assert await store.read_object('absent') is None


@pytest.mark.parametrize(
    ('mode', 'expected'),
    [
        (PlatformMode.DOWN, PlatformUnavailableError),
        (PlatformMode.CLOSED, OutcomeUnknownError),
    ],
)
async def test_outage_modes_raise_the_documented_errors(
    platform,
    session,
    mode,
    expected,
):
    # A write whose connection was closed must be reported as an unknown
    # outcome, because the write may have taken effect. If the platform is down,
    # the write must be reported as refused.
    table = HttpTableService(session)
    platform.set_mode(mode)
    with pytest.raises(expected):
        await table.commit([Write('a', 0, '1')])
    with pytest.raises(PlatformUnavailableError):
        await table.read_row('a')
    platform.set_mode(PlatformMode.UP)
    assert await table.read_row('a') is None


async def test_closed_mode_closes_connection_without_response(platform, url):
    # A simulated partition must close the connection without a response, so
    # that the client sees no status.
    platform.set_mode(PlatformMode.CLOSED)
    async with aiohttp.ClientSession() as client:
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.get(f'{url}/v1/row?key=a')


async def test_writes_with_lost_or_late_answers_take_effect(platform, session):
    # A write must take effect also when its answer is lost or when its client
    # has timed out.
    table = HttpTableService(session)
    platform.lose_answers(1)
    with pytest.raises(OutcomeUnknownError):
        await table.commit([Write('a', 0, '1')])
    assert await table.read_row('a') == Row('a', 1, '1')
    platform.set_mode(PlatformMode.SLOW, 0.8)
    with pytest.raises(OutcomeUnknownError):
        await table.commit([Write('b', 0, '1')])
    platform.set_mode(PlatformMode.UP)
    async with asyncio.timeout(10.0):
        while await table.read_row('b') is None:
            await asyncio.sleep(0.05)


async def test_one_of_concurrent_claims_succeeds_over_http(platform, url):
    # Of several nodes with concurrent claims, exactly one must run a keyed
    # order, also when the platform loses answers to the claims.
    sessions = [make_platform_session(url) for _ in range(4)]
    order = IdempotencyKey('acme', '31')
    platform.lose_answers(3)
    outcomes = await asyncio.gather(
        *(
            IdempotencyStore(
                make_group_commit_table(HttpTableService(session))
            ).claim(
                IdempotencyClaim(
                    order, 'digest', CallId(Incarnation(str(number)), 1)
                ),
            )
            for number, session in enumerate(sessions)
        )
    )
    for session in sessions:
        await session.close()
    kinds = [type(outcome) for outcome in outcomes]
    assert sorted(kinds, key=str) == [AlreadyClaimed] * 3 + [Claimed]
    assert platform.counters().lost == 3


@pytest.mark.processes
async def test_process_prints_its_address_and_exits_on_sigterm(start_process):
    # The stand-in must listen before it prints its address; otherwise the first
    # connection of a test fails. The stand-in must also exit on SIGTERM.
    process, url = await start_process('mustardshunt.standin.platform')
    async with aiohttp.ClientSession() as client:
        control = {'mode': 'slow', 'delay': 0.1, 'lose_answers': 2}
        await client.put(f'{url}/control', json=control)
        async with client.get(f'{url}/v1/row?key=a') as response:
            assert response.status == 404
        async with client.get(f'{url}/control') as response:
            found = await response.json()
        async with client.put(f'{url}/control', json={'mode': 'x'}) as refused:
            assert refused.status == 400
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), 10.0) == 0
    assert found.pop('counters')['reads'] == 1
    assert found == control
