"""Tests of the stand-in backend server as a process."""

import asyncio
import signal

import pytest
from aiohttp import ClientError, ClientSession, web

from mustardshunt.standin import start_server

MODULE = 'mustardshunt.standin.backend_server'


class FakeNode:
    """Receives heartbeats and answers child calls."""

    def __init__(self):
        self.heartbeats = asyncio.Queue()
        self.child_calls = []

    async def receive_heartbeat(self, request):
        await self.heartbeats.put(await request.json())
        return web.Response(status=204)

    async def answer_child_call(self, request):
        self.child_calls.append((
            request.method,
            request.path_qs,
            request.headers['Mustardshunt-Call'],
        ))
        return web.Response(text='stock')

    async def wait_for_state(self, state):
        async with asyncio.timeout(10.0):
            while True:
                body = await self.heartbeats.get()
                if body['state'] == state:
                    return body


@pytest.fixture
async def node():
    fake = FakeNode()
    app = web.Application()
    app.router.add_post('/announce', fake.receive_heartbeat)
    app.router.add_get('/{tail:.*}', fake.answer_child_call)
    server = await start_server(app, '127.0.0.1', 0)
    fake.address = f'127.0.0.1:{server.port}'
    yield fake
    await server.stop()


@pytest.fixture
async def client():
    async with ClientSession() as session:
        yield session


async def _post(client, url, body, **headers):
    async with client.post(url, data=body, headers=headers) as response:
        return response.status, await response.json()


@pytest.mark.processes
async def test_echo_counts_runs_and_child_calls_keep_reference(
    node,
    client,
    start_process,
):
    # The run counts must be right; wrong counts would hide orders that run
    # twice. Each child call must carry the reference of its parent call.
    options = f'--service order --node {node.address}'
    child = '--child "GET /stock/1?a=b"'
    _, url = await start_process(MODULE, f'{options} {child}')
    body = await node.wait_for_state('ready')
    assert url == f'http://{body["address"]}:{body["port"]}'
    assert body['service'] == 'order'
    headers = {'Mustardshunt-Call': 'ref', 'X-Seen': 'yes'}
    for runs in (1, 2):
        status, echo = await _post(client, f'{url}/o?x=1', b'1', **headers)
        assert (status, echo['runs']) == (200, runs)
    assert (echo['method'], echo['target']) == ('POST', '/o?x=1')
    assert echo['headers']['x-seen'] == 'yes'
    assert echo['start_id'] == body['start_id']
    assert echo['children'] == [{'status': 200, 'body': 'stock'}]
    assert node.child_calls == [('GET', '/stock/1?a=b', 'ref')] * 2
    async with client.get(f'{url}/standin/counters') as response:
        assert (await response.json())['max_runs'] == 2


@pytest.mark.processes
async def test_running_call_is_answered_after_sigterm(
    node, client, start_process
):
    # On SIGTERM, a backend server must finish its running calls before it
    # exits.
    process, url = await start_process(
        MODULE,
        f'--service order --node {node.address} '
        '--service-time 1.0 --drain-time 0.1',
    )
    await node.wait_for_state('ready')
    call = asyncio.create_task(_post(client, url, b'1'))
    counters = {'active': 0}
    async with asyncio.timeout(10.0):
        while not counters['active']:
            async with client.get(f'{url}/standin/counters') as response:
                counters = await response.json()
    process.send_signal(signal.SIGTERM)
    await node.wait_for_state('draining')
    assert (await call)[0] == 200
    assert await asyncio.wait_for(process.wait(), 10.0) == 0


@pytest.mark.processes
async def test_overload_expiry_failure_and_crash_take_effect(
    client, start_process
):
    # The stand-in must keep to its limit of waiting calls, to the deadlines of
    # these calls and to its failure rate. It must exit when it gets the request
    # that has to crash it.
    process, url = await start_process(
        MODULE,
        '--service order --slots 1 --max-waiting 1 --service-time 1.0 '
        '--failure-rate 1.0 --crash-on poison',
    )
    headers = {'Mustardshunt-Timeout-Ms': '500'}
    outcomes = await asyncio.gather(
        *(_post(client, url, str(i), **headers) for i in range(3)),
    )
    assert sorted(status for status, _ in outcomes) == [500, 503, 504]
    with pytest.raises(ClientError):
        await _post(client, url, b'a poison b')
    assert await asyncio.wait_for(process.wait(), 10.0) != 0
