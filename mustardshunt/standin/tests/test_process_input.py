"""Real processes: input that no caller and no peer should send."""

import contextlib
import os

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from mustardshunt.standin.tests.raw_http import RawConnection
from mustardshunt.standin.tests.shared_fleet import ALL_KEYS, KEY, wait_until
from mustardshunt.transport import Hello, Proof
from mustardshunt.transport._codec import CborCodec

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]

_ORDER_HEAD = (
    f'POST /orders HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {KEY}\r\n'
)
_TOO_LARGE = 2 * 1024 * 1024
_HELLO, _PROOF = 1, 2
_CODEC = CborCodec({_HELLO: Hello, _PROOF: Proof})


async def check_serving(world, vm):
    """Check that a node answers, and that its output shows no key."""
    reply = await world.send(vm, 'GET', '/catalogue/panels')
    assert reply.status == 200, reply
    texts = [world.fleet.read_log(f'{vm.name}-node')]
    for path in ('/metrics', '/state'):
        async with world.session.get(vm.metrics_url + path) as response:
            texts.append(await response.text())
    for key in ALL_KEYS:
        assert not any(key in text for text in texts)


@pytest.mark.parametrize(
    'content',
    [
        f'{KEY}\r\n\r\n',
        f'GET /catalogue/panels HTTP/9.9\r\nAuthorization: {KEY}\r\n\r\n',
        f'{_ORDER_HEAD}Content-Length: {KEY}\r\n\r\n',
        f'{_ORDER_HEAD}X-Long: {"x" * 70_000}\r\n\r\n',
        f'{_ORDER_HEAD}: {KEY}\r\n\r\n',
        f'{_ORDER_HEAD}Transfer-Encoding: chunked\r\n\r\n{KEY}\r\n',
        f'{_ORDER_HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
    ],
    ids=[
        'no-request',
        'version',
        'length',
        'long-header',
        'no-name',
        'chunk-size',
        'two-lengths',
    ],
)
async def test_malformed_request(world, content):
    """Guards against a parser fault that stops the node or shows a key."""
    vm = world.vm('north', 'order')
    runs = world.order_runs().total()
    async with RawConnection(vm, vm.ports.caller) as connection:
        connection.write(content.encode())
        found = await connection.read_to_end()
    assert found.startswith(b'HTTP/1.1 400 '), found
    assert b'Mustardshunt-Effect: not-run' in found
    assert KEY.encode() not in found
    assert world.order_runs().total() == runs
    await check_serving(world, vm)


async def test_oversized_body_is_refused(world):
    """Guards against a body that fills the node's memory."""
    vm = world.vm('south', 'stock')
    async with RawConnection(vm, vm.ports.caller) as connection:
        connection.write(
            f'{_ORDER_HEAD}Content-Length: {_TOO_LARGE}\r\n\r\n'.encode(),
        )
        reply = await connection.read_reply()
    assert reply.refusal == ('too-large', 'not-run')
    await check_serving(world, vm)


async def test_cut_body_does_not_run(world):
    """Guards against a part of an order that is taken for the whole."""
    vm = world.vm('south', 'stock')
    runs = world.order_runs().total()
    for head in ('Content-Length: 100', 'Transfer-Encoding: chunked'):
        async with RawConnection(vm, vm.ports.caller) as connection:
            connection.write(f'{_ORDER_HEAD}{head}\r\n\r\n2\r\nab'.encode())
            connection.end_sending()
            assert not (await connection.read_to_end()).startswith(
                b'HTTP/1.1 2',
            )
    await check_serving(world, vm)
    assert world.order_runs().total() == runs


async def test_garbage_at_peer_port(world):
    """Guards against a node that stops on bytes that are no link."""
    vm = world.vm('north', 'stock')
    for content in (os.urandom(4096), b'GET / HTTP/1.1\r\n\r\n', b'\x00' * 99):
        async with RawConnection(vm, vm.ports.peer) as connection:
            connection.write(content)
            connection.end_sending()
            await connection.read_to_end()
    await check_serving(world, vm)


async def test_peer_without_secret_is_refused(world):
    """Guards against frames of a peer that is no member of the fleet."""
    vm = world.vm('south', 'catalogue')
    before = await faults(world, vm)
    hello = Hello(1, 'thief', 'south', vm.host, vm.ports.peer, os.urandom(16))
    attempts = (
        (_CODEC.encode(hello), _CODEC.encode(Proof(os.urandom(32)))),
        (os.urandom(2000),),
        (_CODEC.encode(Proof(os.urandom(32))),),
    )
    for frames in attempts:
        url = f'ws://{vm.host}:{vm.ports.peer}'
        with contextlib.suppress(WebSocketException):
            async with connect(url, compression=None) as connection:
                for frame in frames:
                    await connection.send(frame)
                await connection.wait_closed()

    async def is_counted():
        return await faults(world, vm) >= before + len(attempts)

    await wait_until(is_counted, 'each attempt is counted')
    assert await world.serves(vm, len(world.vms))
    await check_serving(world, vm)


async def faults(world, vm):
    async with world.session.get(f'{vm.metrics_url}/metrics') as response:
        lines = (await response.text()).splitlines()
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith('mustardshunt_link_faults_total')
    )
