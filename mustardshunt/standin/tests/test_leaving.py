"""Tests of backend servers that leave while their node is restarted."""

import asyncio

import pytest

from mustardshunt.standin.sidecar_backend_server import SidecarBackendServer
from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    wait_until,
)

REQUESTS = 20


async def restart(deployment: Deployment, node: SidecarNode) -> SidecarNode:
    """Start the process of a node again; wait until its peers know it."""
    await node.kill()
    deployment.nodes.remove(node)
    restarted = await deployment.start_node(node.settings)
    await deployment.wait_until_served(restarted)
    links = deployment.nodes[0].sidecar._links
    await wait_until(lambda: links.is_open(node.settings.node.name))
    return restarted


async def count_runs(
    deployment: Deployment, node: SidecarNode, server: SidecarBackendServer
) -> int:
    """Send requests to a node; return how many a backend server received."""
    server.received_requests.clear()
    for _ in range(REQUESTS):
        status, _, _ = await deployment.call(node, 'GET', '/read/x')
        assert status == 200
    return len(server.received_requests)


async def test_server_that_left_is_not_used_after_a_late_report(
    deployment: Deployment,
):
    """A late report must not bring back a server whose leaving is acknowledged.

    The node has just started, so it does not know the process that leaves.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    leaving = deployment.servers[1]
    leaving.pause_heartbeats()
    second = await restart(deployment, second)
    assert await leaving.deregister() == 200
    await leaving.report('ready', 90)
    assert not await count_runs(deployment, first, leaving)
    assert not await count_runs(deployment, second, leaving)


async def test_restarted_node_learns_from_its_peers_that_its_server_leaves(
    deployment: Deployment,
):
    """A leaving server must get no calls after a restart of its node.

    The restarted node has forgotten the leaving, and a late report says ready.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    leaving = deployment.servers[1]
    leaving.pause_heartbeats()
    await leaving.report('draining', 80)
    assert not await count_runs(deployment, first, leaving)
    second = await restart(deployment, second)
    await leaving.report('ready', 79)
    assert not await count_runs(deployment, first, leaving)
    assert not await count_runs(deployment, second, leaving)


@pytest.mark.parametrize('sheds', [False, True])
async def test_server_whose_answers_say_that_it_leaves_gets_no_more_calls(
    deployment: Deployment, sheds: bool
):
    """An answer that announces the leaving binds like a report.

    The server still reports that it is ready, and refuses calls or serves them.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    for node in (first, second):
        await deployment.wait_until_served(node)
    leaving = deployment.servers[1]
    leaving.behaviour.extra_headers = {'Server-Leaving': '1'}
    leaving.behaviour.sheds = sheds
    gate = second.sidecar._callee.gate
    async with asyncio.timeout(5):
        while gate.is_open():
            await deployment.call(second, 'GET', '/read/x')
    acknowledged = leaving.acknowledged_heartbeats
    await wait_until(lambda: leaving.acknowledged_heartbeats > acknowledged + 1)
    assert not await count_runs(deployment, first, leaving)
    assert not await count_runs(deployment, second, leaving)


async def test_answer_that_announces_the_leaving_binds_a_cut_off_entry_node(
    deployment: Deployment,
):
    """An entry node that has passed on the announcement must keep to it.

    The node of the server is restarted and forgets it, and the server still
    reports that it is ready.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    leaving = deployment.servers[1]
    leaving.behaviour.extra_headers = {'Server-Leaving': '1'}
    async with asyncio.timeout(5):
        while second.sidecar._callee.gate.is_open():
            await asyncio.gather(
                *(deployment.call(first, 'GET', '/read/x') for _ in range(20))
            )
    leaving.behaviour.extra_headers = {}
    await second.kill()
    deployment.nodes.remove(second)
    second = await deployment.start_node(second.settings)
    await wait_until(lambda: second.sidecar._callee.gate.instance == 'i-b')
    await wait_until(lambda: first.sidecar._links.is_open('b'))
    assert not await count_runs(deployment, first, leaving)
    assert not second.sidecar._callee.gate.is_open()
