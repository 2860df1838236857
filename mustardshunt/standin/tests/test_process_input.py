"""Process tests of invalid input from callers and peers."""

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


async def check_serving(shared_fleet, vm):
    """Check that a node answers, and that its output contains no API key."""
    reply = await shared_fleet.send(vm, 'GET', '/catalogue/panels')
    assert reply.status == 200, reply
    texts = [shared_fleet.fleet.read_log(f'{vm.name}-node')]
    for path in ('/metrics', '/state'):
        async with shared_fleet.session.get(vm.metrics_url + path) as response:
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
async def test_malformed_request_is_refused(shared_fleet, content):
    """A malformed request must be refused, and the node must go on.

    Neither the response nor the log of the node may contain the API key.
    """
    vm = shared_fleet.vm('north', 'order')
    runs = shared_fleet.order_run_counts().total()
    async with RawConnection(vm, vm.ports.caller) as connection:
        connection.write(content.encode())
        found = await connection.read_to_end()
    assert found.startswith(b'HTTP/1.1 400 '), found
    assert b'Mustardshunt-Effect: not-run' in found
    assert KEY.encode() not in found
    assert shared_fleet.order_run_counts().total() == runs
    await check_serving(shared_fleet, vm)


async def test_oversized_body_is_refused(shared_fleet):
    """A body that is too large must be refused.

    Otherwise the body could exhaust the memory of the node.
    """
    vm = shared_fleet.vm('south', 'stock')
    async with RawConnection(vm, vm.ports.caller) as connection:
        connection.write(
            f'{_ORDER_HEAD}Content-Length: {_TOO_LARGE}\r\n\r\n'.encode(),
        )
        reply = await connection.read_reply()
    assert reply.refusal == ('too-large', 'not-run')
    await check_serving(shared_fleet, vm)


async def test_truncated_body_does_not_run(shared_fleet):
    """An order whose body is truncated must not run."""
    vm = shared_fleet.vm('south', 'stock')
    runs = shared_fleet.order_run_counts().total()
    for head in ('Content-Length: 100', 'Transfer-Encoding: chunked'):
        async with RawConnection(vm, vm.ports.caller) as connection:
            connection.write(f'{_ORDER_HEAD}{head}\r\n\r\n2\r\nab'.encode())
            connection.end_sending()
            assert not (await connection.read_to_end()).startswith(
                b'HTTP/1.1 2',
            )
    await check_serving(shared_fleet, vm)
    assert shared_fleet.order_run_counts().total() == runs


async def test_node_survives_invalid_bytes_at_peer_port(shared_fleet):
    """A node must go on after bytes at its peer port that are no handshake."""
    vm = shared_fleet.vm('north', 'stock')
    for content in (os.urandom(4096), b'GET / HTTP/1.1\r\n\r\n', b'\x00' * 99):
        async with RawConnection(vm, vm.ports.peer) as connection:
            connection.write(content)
            connection.end_sending()
            await connection.read_to_end()
    await check_serving(shared_fleet, vm)


async def test_peer_without_secret_is_refused(shared_fleet):
    """A peer that does not know the secret must be refused and counted."""
    vm = shared_fleet.vm('south', 'catalogue')
    before = await link_fault_count(shared_fleet, vm)
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
        return await link_fault_count(shared_fleet, vm) >= before + len(
            attempts
        )

    await wait_until(is_counted, 'each attempt is counted')
    assert await shared_fleet.has_serving_members(vm, len(shared_fleet.vms))
    await check_serving(shared_fleet, vm)


async def link_fault_count(shared_fleet, vm):
    async with shared_fleet.session.get(
        f'{vm.metrics_url}/metrics'
    ) as response:
        lines = (await response.text()).splitlines()
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith('mustardshunt_link_faults_total')
    )
