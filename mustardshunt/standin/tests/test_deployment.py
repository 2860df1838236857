"""The whole path on the platform's protocol, over real sockets."""

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from mustardshunt.policy import PolicyRegistry
from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    make_policy,
    make_route,
    start_deployment,
)


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    deployment = await start_deployment()
    try:
        yield deployment
    finally:
        await deployment.stop()


async def wait_until(condition: object) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def _registry(node: SidecarNode) -> PolicyRegistry:
    return node.sidecar._registry


async def test_request_crosses_to_the_other_node(deployment: Deployment):
    """Guards the whole path: headers set by the system, key removed."""
    first = await deployment.add_node('a', with_server=False)
    await deployment.add_node('b')
    await deployment.wait_until_served(first)
    status, body, headers = await deployment.call(
        first,
        'POST',
        '/order/x?y=1',
        Mustardshunt_Tenant='other',
        Mustardshunt_Caller_Service='other',
        X_Kept='kept',
    )
    assert (status, body) == (200, b'whole answer')
    assert headers['Mustardshunt-Response-Stamp'] == 'i-b'
    run = deployment.servers[0].received_requests[-1]
    assert run.body == b'payload'
    assert run.headers['Mustardshunt-Tenant'] == 'acme'
    assert run.headers['Mustardshunt-Caller-Service'] == 'stock'
    assert run.headers['X-Kept'] == 'kept'
    assert int(run.headers['Mustardshunt-Deadline-Ms']) <= 1500
    assert 'Authorization' not in run.headers


async def test_unknown_route_key_and_host(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    call = deployment.call
    assert (await call(node, 'GET', '/none/'))[0] == 404
    assert (await call(node, 'GET', '/read/', Host='x.example'))[0] == 404
    bad_key = 'Bearer nobody'
    status, _, _ = await call(node, 'GET', '/read/', Authorization=bad_key)
    assert status == 401


async def test_node_without_policy_is_not_ready(deployment: Deployment):
    """Guards against 404 for what every configuration allows."""
    deployment.store.is_down = True
    node = await deployment.add_node('a')
    async with asyncio.timeout(5):
        while not node.log.lines:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    status, _, headers = await deployment.call(node, 'GET', '/read/x')
    assert status == 503
    assert float(headers['Retry-After']) > 0


async def test_order_with_a_lost_answer_is_not_sent_again(
    deployment: Deployment,
):
    first = await deployment.add_node('a')
    await deployment.add_node('b')
    await deployment.wait_until_served(first)
    for server in deployment.servers:
        server.behaviour.drops_answers = True
        server.received_requests.clear()
    status, _, _ = await deployment.call(first, 'POST', '/order/x')
    assert status == 502
    assert (
        sum(len(server.received_requests) for server in deployment.servers) == 1
    )


async def test_read_with_a_lost_answer_is_sent_to_another_server(
    deployment: Deployment,
):
    first = await deployment.add_node('a')
    await deployment.add_node('b')
    await deployment.wait_until_served(first)
    await wait_until(
        lambda: len(first.sidecar._balancer.statuses('stock')) == 2
    )
    for _ in range(60):
        await deployment.call(first, 'GET', '/read/x')
    deployment.servers[0].behaviour.drops_answers = True
    status, body, _ = await deployment.call(first, 'GET', '/read/x')
    assert (status, body) == (200, b'whole answer')


async def test_answer_without_receipt_is_not_passed_on(
    deployment: Deployment,
):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    headers = {'Content-Encoding': 'identity'}
    deployment.servers[0].behaviour.extra_headers = headers
    assert (await deployment.call(node, 'POST', '/order/x'))[0] == 502


async def test_policy_change_comes_into_force(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    routes = {'new': make_route('/new/', 'idempotent', 'stock')}
    deployment.store.put('op', 'config', make_policy(4, routes=routes))
    await wait_until(lambda: node.sidecar._registry.version == 4)
    assert (await deployment.call(node, 'GET', '/new/x'))[0] == 200
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 404


async def test_policy_change_after_lost_history(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    deployment.store.compact_feed()
    deployment.store.put('op', 'config', make_policy(9))
    await wait_until(lambda: node.sidecar._registry.version == 9)


async def test_evacuated_zone_gets_nothing(deployment: Deployment):
    first = await deployment.add_node('a', zone='east')
    second = await deployment.add_node('b', zone='west')
    await deployment.wait_until_served(first)
    await deployment.wait_until_served(second)
    await wait_until(
        lambda: len(first.sidecar._balancer.statuses('stock')) == 2
    )
    both = deployment.nodes
    deployment.store.put('op', 'evacuate/east', {})
    await wait_until(lambda: all(_registry(node).evacuated for node in both))
    deployment.servers[0].received_requests.clear()
    for _ in range(5):
        assert (await deployment.call(first, 'GET', '/read/x'))[0] == 200
    assert not deployment.servers[0].received_requests
    deployment.store.remove('op', 'evacuate/east')
    await wait_until(lambda: not first.sidecar._registry.evacuated)


async def test_draining_server_gets_nothing(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    assert await deployment.servers[0].deregister() == 200
    deployment.servers[0].received_requests.clear()
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 503
    assert not deployment.servers[0].received_requests


async def test_cap_is_held_over_two_nodes(deployment: Deployment):
    """Guards the sum over nodes, whoever holds the tokens."""
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    await deployment.wait_until_served(second)
    await wait_until(lambda: len(first.sidecar._links.open_members()) == 1)
    both = deployment.nodes
    tenants = {
        'acme': {'api_keys': ['k-acme'], 'rate_per_s': 1, 'burst': 10},
    }
    deployment.store.put('op', 'config', make_policy(2, tenants=tenants))
    await wait_until(lambda: all(_registry(node).version == 2 for node in both))
    statuses = []
    for _ in range(30):
        statuses.append((await deployment.call(first, 'GET', '/read/x'))[0])
    # What another node does not use moves here: 10 and what has accrued.
    assert 8 <= statuses.count(200) <= 13
    assert 429 in statuses


async def test_planned_stop_finishes_what_runs(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    deployment.servers[0].behaviour.service_time = 0.4
    call = asyncio.create_task(deployment.call(node, 'POST', '/order/x'))
    server = deployment.servers[0]
    await wait_until(lambda: server.received_requests[-1].body == b'payload')
    node.sidecar.request_stop()
    assert (await call)[0] == 200
    async with asyncio.timeout(6):
        await node.task


async def test_unreadable_heartbeat_changes_nothing(deployment: Deployment):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    url = f'http://{node.settings.listen.control}/instances/i-x'
    assert deployment.client is not None
    async with deployment.client.put(url, data=b'{"state":7}') as response:
        assert response.status == 400
    assert node.sidecar._callee.gate.instance == 'i-a'


async def test_caller_that_leaves_frees_the_server(deployment: Deployment):
    """Guards against work for callers that have gone."""
    node = await deployment.add_node('a', with_server=False)
    other = await deployment.add_node('b')
    await deployment.wait_until_served(node)
    deployment.servers[0].behaviour.service_time = 1.4
    call = asyncio.create_task(deployment.call(node, 'GET', '/read/slow'))
    gate = other.sidecar._callee.gate
    await wait_until(lambda: gate.running_calls == 1)
    call.cancel()
    async with asyncio.timeout(0.5):
        while gate.running_calls:
            await asyncio.sleep(0.01)


async def test_node_is_ready_once_it_knows_policy_and_members(
    deployment: Deployment,
):
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    assert node.sidecar._lifecycle.is_ready
    deployment.store.is_down = True
    later = await deployment.add_node('b', with_server=False)
    await wait_until(lambda: 'platform-lost' in _kinds(later))
    assert not later.sidecar._lifecycle.is_ready
    deployment.store.is_down = False
    await wait_until(lambda: later.sidecar._lifecycle.is_ready)
    assert (await deployment.call(later, 'GET', '/read/x'))[0] in {200, 503}


def _kinds(node: SidecarNode) -> set[str]:
    return {line['kind'] for line in node.log.lines}
