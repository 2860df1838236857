"""Tests that malformed input and unexpected errors do not end a node."""

import asyncio
import random
from typing import Any

import cbor2
import pytest

from mustardshunt.relay import Hello, encode_frame
from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    make_policy,
    wait_until,
)

REQUEST = (
    b'GET /read/x HTTP/1.1\r\nHost: h.example\r\n'
    b'Mustardshunt-Request-Id: q\r\nMustardshunt-Deadline-Ms: 900\r\n'
    b'Authorization: Bearer k-acme\r\nContent-Length: 0\r\n\r\n'
)
HEARTBEAT = (
    b'PUT /instances/i-a HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n'
    b'{"state":"ready"}'
)


def kinds(node: SidecarNode) -> list[str]:
    return [line['kind'] for line in node.log.lines]


@pytest.mark.parametrize('task', ['operators', 'members', 'tick'])
async def test_unexpected_error_in_a_background_task_does_not_end_the_node(
    deployment: Deployment, task: str, monkeypatch: pytest.MonkeyPatch
):
    """One unexpected error must not stop the process.

    The task that met the error starts again, and later changes take effect.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    sidecar = node.sidecar
    owner, name = {
        'operators': (sidecar._operator_sync._source, 'changes'),
        'members': (sidecar._member_sync._directory, 'changes'),
        'tick': (sidecar._peers, 'check'),
    }[task]

    def fail(*_: Any) -> None:
        monkeypatch.undo()
        raise KeyError('unexpected')

    monkeypatch.setattr(owner, name, fail)
    deployment.store.put('op', 'config', make_policy(2))
    await deployment.add_node('b')
    await wait_until(lambda: 'duty-failed' in kinds(node))
    deployment.store.put('op', 'config', make_policy(3))
    await wait_until(lambda: sidecar._registry.version == 3)
    await wait_until(lambda: len(sidecar._member_sync.by_name) == 2)
    assert not node.task.done()
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 200


def mutate(content: bytes, rng: random.Random) -> bytes:
    changed = content
    for _ in range(rng.randrange(1, 6)):
        position = rng.randrange(len(changed) + 1)
        piece = rng.choice([
            rng.randbytes(rng.randrange(1, 9)),
            b'\r\n',
            b'\x00',
            b'Content-Length: 99999999999999999999\r\n',
            b'Transfer-Encoding: chunked\r\n',
            b'HTTP/1.1 200 OK\r\n\r\n',
        ])
        end = position + rng.randrange(4)
        changed = changed[:position] + piece + changed[end:]
    return changed


def make_frames(rng: random.Random) -> bytes:
    hello = encode_frame(Hello(f'x-{rng.random()}', 1, True))
    content = [
        rng.randrange(-1, 20),
        *(
            rng.choice([0, -1, 2**70, 'a', '', b'', b'\xff', [], True, 0.5])
            for _ in range(rng.randrange(14))
        ),
    ]
    encoded = cbor2.dumps(content)
    return hello + len(encoded).to_bytes(4, 'big') + encoded


async def send(host: str, port: int, content: bytes) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(content)
        writer.write_eof()
        async with asyncio.timeout(2):
            await reader.read()
    except (ConnectionError, TimeoutError):
        # The node may close the connection, or wait for the rest.
        return
    finally:
        writer.transport.abort()


@pytest.mark.parametrize('seed', range(4))
async def test_malformed_bytes_at_any_port_end_only_their_connection(
    deployment: Deployment, seed: int
):
    """Malformed bytes must neither end the process nor harm other calls."""
    rng = random.Random(seed)
    node = await deployment.add_node('a')
    other = await deployment.add_node('b')
    await deployment.wait_until_served(node)
    await deployment.wait_until_served(other)
    listen = node.settings.listen
    contents = [
        pair
        for _ in range(40)
        for pair in (
            (listen.callers, mutate(REQUEST * 2, rng)),
            (listen.control, mutate(HEARTBEAT, rng)),
            (listen.peers, make_frames(rng)),
            (listen.peers, rng.randbytes(30)),
            (listen.ready, mutate(REQUEST, rng)),
            (listen.metrics, mutate(REQUEST, rng)),
        )
    ]
    async with asyncio.TaskGroup() as group:
        for address, content in contents:
            group.create_task(send(address.host, address.port, content))
    assert not node.task.done()
    assert 'duty-failed' not in kinds(node)
    for entry in (node, other):
        for path in ('/read/x', '/open/x'):
            assert (await deployment.call(entry, 'GET', path))[0] == 200
        assert (await deployment.call(entry, 'POST', '/order/x'))[0] == 200


@pytest.mark.parametrize(
    'changes', [{'port': 65536}, {'port': 2**40}, {'host': 'a..b'}]
)
async def test_odd_entry_of_a_node_ends_no_task(
    deployment: Deployment, changes: dict[str, object]
):
    """An entry with an unusable address must not end the task of a link.

    All nodes read the entries of all nodes, so one entry would reach them all.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    entry = {
        'run': 'odd-1',
        'service': 'stock',
        'zone': 'z',
        'host': '127.0.0.1',
        'port': 1,
    }
    deployment.store.put('nodes', 'odd', {**entry, **changes})
    other = await deployment.add_node('b')
    await deployment.wait_until_served(other)
    await wait_until(lambda: 'b' in node.sidecar._member_sync.by_name)
    for _ in range(20):
        assert (await deployment.call(node, 'GET', '/read/x'))[0] == 200
    link_tasks = node.sidecar._links._pool._task_by_name
    ended = [name for name, task in link_tasks.items() if task.done()]
    assert link_tasks
    assert not ended
