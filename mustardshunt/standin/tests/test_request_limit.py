"""Tests of backend servers that name a limit of requests a second."""

import asyncio
import time

from mustardshunt.standin.sidecar_backend_server import (
    ReceivedRequest,
    SidecarBackendServer,
)
from mustardshunt.standin.tests.deployment import (
    Deployment,
    SidecarNode,
    wait_until,
)

LIMIT = 10
CALLERS = 8
PAUSE_SECONDS = 0.05
BURST = 100
# The rule: in no 4 s more than one and a half times the limit, and 5 requests.
WINDOW_SECONDS = 4.0
ALLOWED = LIMIT * WINDOW_SECONDS * 1.5 + 5


class Arrivals:
    """Records when a backend server receives requests under its limit."""

    def __init__(self, server: SidecarBackendServer) -> None:
        self.times: list[float] = []
        server.on_request = self.record
        server.behaviour.extra_headers = {'Server-Limit': str(LIMIT)}

    def record(self, request: ReceivedRequest) -> None:
        self.times.append(time.monotonic())

    def most_in_window(self) -> int:
        """Return the most arrivals within any ``WINDOW_SECONDS``."""
        return max(
            sum(start <= at < start + WINDOW_SECONDS for at in self.times)
            for start in self.times
        )


async def call_repeatedly(
    deployment: Deployment, node: SidecarNode, end: float
) -> list[int]:
    statuses = []
    while time.monotonic() < end:
        status, _, _ = await deployment.call(node, 'GET', '/read/x')
        statuses.append(status)
        await asyncio.sleep(PAUSE_SECONDS)
    return statuses


async def load(
    deployment: Deployment, nodes: list[SidecarNode], seconds: float
) -> list[int]:
    """Call nodes for some seconds; return the statuses of all answers."""
    end = time.monotonic() + seconds
    results = await asyncio.gather(
        *(
            call_repeatedly(deployment, nodes[number % len(nodes)], end)
            for number in range(CALLERS)
        )
    )
    return [status for statuses in results for status in statuses]


async def test_capped_server_keeps_its_limit_and_callers_are_served(
    deployment: Deployment,
):
    """A server must not get more than the limit that it names.

    Its own node and another one call it; a server without a limit has room for
    all requests, so none of them is refused.
    """
    nodes = [await deployment.add_node(name) for name in ('a', 'b')]
    for node in nodes:
        await deployment.wait_until_served(node)
    capped = Arrivals(deployment.servers[1])
    statuses = await load(deployment, nodes, 5.0)
    assert set(statuses) == {200}
    assert len(statuses) > 2 * ALLOWED
    assert capped.most_in_window() <= ALLOWED
    deployment.servers[1].behaviour.extra_headers = {}
    await load(deployment, nodes, 1.0)
    capped.times.clear()
    await load(deployment, nodes, WINDOW_SECONDS)
    assert len(capped.times) > ALLOWED


async def test_nodes_learn_that_a_limit_is_no_longer_used(
    deployment: Deployment,
):
    """A stale used part kept all calls away, and so the end of the limit.

    Results report the used part, and there are none without calls.
    """
    nodes = [await deployment.add_node(name) for name in ('a', 'b')]
    for node in nodes:
        await deployment.wait_until_served(node)
    capped = Arrivals(deployment.servers[1])
    await load(deployment, nodes, 2.0)
    assert capped.times
    known = [node.sidecar._balancer._load_by_name['b'] for node in nodes]
    await wait_until(
        lambda: not any(member.limit_utilisation for member in known)
    )


async def test_service_whose_servers_are_all_capped_refuses_the_rest(
    deployment: Deployment,
):
    """What no server takes must be refused early, as not run, with a time."""
    node = await deployment.add_node('a')
    await deployment.wait_until_served(node)
    capped = Arrivals(deployment.servers[0])
    await load(deployment, [node], 0.3)
    statuses = await load(deployment, [node], 5.0)
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= 0.8 * LIMIT * 5
    assert capped.most_in_window() <= ALLOWED


async def test_limit_holds_when_the_node_of_the_server_is_restarted(
    deployment: Deployment,
):
    """A restarted node must not give its server more than the named limit.

    The server answers slowly, so its first answer to the restarted node comes
    after many calls could have been sent.
    """
    first = await deployment.add_node('a')
    second = await deployment.add_node('b')
    await deployment.wait_until_served(first)
    capped_server = deployment.servers[1]
    capped_server.slots = BURST
    capped = Arrivals(capped_server)
    await load(deployment, [first], 1.0)
    await second.kill()
    deployment.nodes.remove(second)
    deployment.servers[0].state = 'draining'
    await wait_until(lambda: not first.sidecar._callee.gate.is_open())
    capped_server.behaviour.service_time = 1.0
    second = await deployment.start_node(second.settings)
    await wait_until(lambda: first.sidecar._balancer.has_candidates('stock'))
    await asyncio.gather(
        *(deployment.call(first, 'GET', '/read/x') for _ in range(BURST))
    )
    assert capped.most_in_window() <= ALLOWED
    sources = [
        line['source']
        for line in second.log.lines
        if line['kind'] == 'request-limit'
    ]
    assert sources == ['report of a']
