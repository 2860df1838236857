"""Tests of the path of a request through sidecar nodes, over real sockets."""

import asyncio

from mustardshunt.policy import PolicyRegistry
from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    make_policy,
    make_route,
    wait_until,
)


def _registry(node: SidecarNode) -> PolicyRegistry:
    return node.sidecar._registry


async def test_request_reaches_other_node_without_key_or_forged_headers(
    deployment: Deployment,
):
    """API keys and forged headers must not reach a backend server.

    The backend server of another node runs the request. This backend server
    must receive the tenant, caller service and deadline that the first node has
    set.
    """
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


async def test_unknown_route_host_or_key_is_refused(deployment: Deployment):
    """A request without a known route, host or key must be refused."""
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    call = deployment.call
    assert (await call(node, 'GET', '/none/'))[0] == 404
    assert (await call(node, 'GET', '/read/', Host='x.example'))[0] == 404
    bad_key = 'Bearer nobody'
    status, _, _ = await call(node, 'GET', '/read/', Authorization=bad_key)
    assert status == 401


async def test_node_without_policy_answers_503(deployment: Deployment):
    """A node that has not read its policy yet must answer 503, not 404.

    With 404, the caller would conclude that the route does not exist.
    """
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
    """An order whose answer was lost must not be sent again.

    The backend server receives the order and then closes the connection. The
    node cannot know whether the order ran, and a retry could run the order
    twice.
    """
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
    """A read whose answer was lost must be retried on another server.

    The read is idempotent, so a second run does no harm.
    """
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


async def test_encoded_answer_is_not_passed_on(
    deployment: Deployment,
):
    """An encoded answer must not reach the caller.

    The node refuses every answer with a ``Content-Encoding`` header.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    headers = {'Content-Encoding': 'identity'}
    deployment.servers[0].behaviour.extra_headers = headers
    assert (await deployment.call(node, 'POST', '/order/x'))[0] == 502


async def test_policy_change_takes_effect(deployment: Deployment):
    """A node must apply a new policy and stop using the old one."""
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    routes = {'new': make_route('/new/', 'idempotent', 'stock')}
    deployment.store.put('op', 'config', make_policy(4, routes=routes))
    await wait_until(lambda: node.sidecar._registry.version == 4)
    assert (await deployment.call(node, 'GET', '/new/x'))[0] == 200
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 404


async def test_policy_change_takes_effect_after_feed_compaction(
    deployment: Deployment,
):
    """A node must notice a policy change also after a feed compaction.

    The feed then no longer holds the revision from which the node continues, so
    the node has to read the whole table again.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    deployment.store.compact_feed()
    deployment.store.put('op', 'config', make_policy(9))
    await wait_until(lambda: node.sidecar._registry.version == 9)


async def test_evacuated_zone_gets_no_requests(deployment: Deployment):
    """Backend servers of an evacuated zone must get no requests."""
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


async def test_deregistered_server_gets_no_requests(deployment: Deployment):
    """A backend server that has deregistered must get no more requests."""
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    assert await deployment.servers[0].deregister() == 200
    deployment.servers[0].received_requests.clear()
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 503
    assert not deployment.servers[0].received_requests


async def test_usage_cap_holds_across_two_nodes(deployment: Deployment):
    """Two nodes together must allow the usage cap, and no more than that.

    A busy node must be able to spend the tokens of an idle node.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    await deployment.wait_until_served(second)
    name = second.settings.node.name
    await wait_until(lambda: first.sidecar._links.is_open(name))
    both = deployment.nodes
    tenants = {
        'acme': {'api_keys': ['k-acme'], 'rate_per_s': 1, 'burst': 10},
    }
    deployment.store.put('op', 'config', make_policy(2, tenants=tenants))
    await wait_until(lambda: all(_registry(node).version == 2 for node in both))
    statuses = []
    for _ in range(30):
        statuses.append((await deployment.call(first, 'GET', '/read/x'))[0])
    # The idle node hands its unused tokens to this node. This node can
    # therefore spend nearly the whole burst of 10, and the tokens that were
    # added meanwhile.
    assert 8 <= statuses.count(200) <= 13
    assert 429 in statuses


async def test_planned_stop_finishes_running_calls(deployment: Deployment):
    """A planned stop must let running calls finish."""
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


async def test_malformed_heartbeat_changes_nothing(deployment: Deployment):
    """A malformed heartbeat must leave the known backend server in place."""
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    url = f'http://{node.settings.listen.control}/instances/i-x'
    assert deployment.client is not None
    async with deployment.client.put(url, data=b'{"state":7}') as response:
        assert response.status == 400
    assert node.sidecar._callee.gate.instance == 'i-a'


async def test_call_ends_when_its_caller_disconnects(deployment: Deployment):
    """A call must end when its caller disconnects.

    Otherwise the call would occupy the backend server for nothing.
    """
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
    """A node must be ready only when it can route requests.

    The second node starts while the store is down. Until the store is back,
    this node has read neither the policy nor the members.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    assert node.sidecar._lifecycle.is_ready
    deployment.store.is_down = True
    later = await deployment.add_node('b', with_server=False)
    await wait_until(lambda: 'platform-lost' in _log_kinds(later))
    assert not later.sidecar._lifecycle.is_ready
    deployment.store.is_down = False
    await wait_until(lambda: later.sidecar._lifecycle.is_ready)
    assert (await deployment.call(later, 'GET', '/read/x'))[0] in {200, 503}


def _log_kinds(node: SidecarNode) -> set[str]:
    return {line['kind'] for line in node.log.lines}
