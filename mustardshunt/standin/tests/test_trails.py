"""The log must explain a failed request, as docs/OPERATIONS.md says."""

import asyncio
from typing import Any

from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    make_policy,
    wait_until,
)


def lines_by_kind(
    node: SidecarNode, request_id: str
) -> dict[str, dict[str, Any]]:
    """Return the log lines about one request by their kind."""
    return {
        line['kind']: line
        for line in node.log.lines
        if line.get('request') == request_id
    }


def log_kinds(node: SidecarNode) -> set[str]:
    return {line['kind'] for line in node.log.lines}


async def test_log_explains_refusal_within_cap_during_outage(
    deployment: Deployment,
):
    """The log must explain why a request within the cap was refused.

    The node may spend only its share of the cap. During an outage of the store,
    a node that has ended still counts as one that holds a share.
    """
    tenants = {
        'acme': {'api_keys': ['k-acme'], 'rate_per_s': 1, 'burst': 8},
    }
    deployment.store.put('op', 'config', make_policy(2, tenants=tenants))
    node = await deployment.add_node('a')
    other = await deployment.add_node('b')
    await deployment.wait_until_served(node)
    await wait_until(lambda: node.sidecar._links.is_open('b'))
    await other.kill()
    deployment.store.is_down = True
    deployment.store.put('op', 'config', make_policy(3, tenants=tenants))
    await wait_until(lambda: 'platform-lost' in log_kinds(node))
    await wait_until(lambda: 'link-lost' in log_kinds(node))
    status = 200
    while status == 200:
        status = (await deployment.call(node, 'GET', '/read/x'))[0]
    assert status == 429
    lines = lines_by_kind(node, f'q{deployment.requests}')
    assert lines['request-refused']['reason'] == 'rate-exceeded'
    share = lines['cap-reached']
    assert (share['holders'], share['policy']) == (2, 2)
    assert share['tokens'] < 1
    assert share['depth'] < 8


async def test_log_explains_unknown_outcome_after_lost_link(
    deployment: Deployment,
):
    """The log must explain why the outcome of an order is unknown.

    Here the node that runs the order ends, and the link to that node is lost.
    """
    node = await deployment.add_node('a', with_server=False)
    other = await deployment.add_node('b')
    await deployment.wait_until_served(node)
    deployment.servers[0].behaviour.service_time = 1.0
    call = asyncio.create_task(deployment.call(node, 'POST', '/order/x'))
    gate = other.sidecar._callee.gate
    await wait_until(lambda: gate.running_calls == 1)
    request_id = f'q{deployment.requests}'
    await other.kill()
    assert (await call)[0] == 502
    lines = lines_by_kind(node, request_id)
    assert lines['request-refused']['reason'] == 'backend-server-lost'
    assert lines['attempt-lost']['member'] == 'b'
    assert not lines['attempt-lost']['is_idempotent']
    lost = [line for line in node.log.lines if line['kind'] == 'link-lost']
    assert lost[-1]['peer'] == 'b'


async def test_log_explains_late_answer_of_slow_server(deployment: Deployment):
    """If an answer is late, the log must name the slow backend server.

    Otherwise an operator cannot tell why the request missed its objective.
    """
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    deployment.servers[0].behaviour.service_time = 1.1
    assert (await deployment.call(node, 'GET', '/read/x'))[0] == 200
    late = lines_by_kind(node, f'q{deployment.requests}')['answered-late']
    assert late['member'] == 'a'
    assert late['objective_ms'] == 1000
    assert late['held_ms'] > 1000
    assert late['refusals'] == 0
