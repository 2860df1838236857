"""Whole nodes whose store comes back from a copy without its last changes."""

import asyncio

import pytest

from mustardshunt.standin.tests import deployment as stand
from mustardshunt.standin.tests.deployment import make_policy, wait_until

# Time after the return within which all that was confirmed since must be in
# force.
RETURN_SECONDS = 3.0
NODE_TABLE = 'nodes'


@pytest.fixture
async def deployment():
    deployment = await stand.start_deployment()
    try:
        yield deployment
    finally:
        await deployment.stop()


async def start_nodes(deployment, names='ab', zones='xy'):
    nodes = [
        await deployment.add_node(name, zone)
        for name, zone in zip(names, zones, strict=True)
    ]
    for node in nodes:
        await deployment.wait_until_served(node)
    await wait_until(
        lambda: len(deployment.store.keys(NODE_TABLE)) == len(names)
    )
    return nodes


async def return_from(deployment, copy, rewrite=(), fillers=0, seconds=0.5):
    """Let the store go away and come back from a copy with later writes."""
    store = deployment.store
    store.is_down = True
    await asyncio.sleep(seconds)
    store.return_from(copy)
    for row in rewrite:
        store.put(*row)
    for number in range(fillers):
        store.put('servers', f'filler-{number}', {})
    store.is_down = False


def state_of(nodes):
    registries = [node.sidecar._registry for node in nodes]
    return {
        (registry.version, tuple(sorted(registry.evacuated)))
        for registry in registries
    }


async def reaches(nodes, state):
    async with asyncio.timeout(RETURN_SECONDS):
        while state_of(nodes) != {state}:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(('before', 'after'), [(2, 20), (40, 0)])
async def test_changes_confirmed_after_the_return_are_in_force(
    deployment, before, after
):
    # Versions given out again have passed the known one, or are below it.
    nodes = await start_nodes(deployment)
    store = deployment.store
    copy = store.take_copy()
    for number in range(before):
        store.put('status', f's{number}', {})
    store.put('op', 'config', make_policy(2))
    store.put('op', 'evacuate/x', {})
    await wait_until(lambda: state_of(nodes) == {(2, ('x',))})
    rewrite = [
        ('op', 'config', make_policy(2)),
        ('op', 'config', make_policy(3)),
        ('op', 'evacuate/y', {}),
    ]
    await return_from(deployment, copy, rewrite, after)
    await reaches(nodes, (3, ('y',)))
    lines = [line for line in nodes[0].log.lines if 'era' in line]
    assert [line['era'] for line in lines if 'former_era' in line] == [1]


async def test_policy_and_evacuation_that_the_copy_lacks_stay_in_force(
    deployment,
):
    # Nothing has been written again yet, and nothing was taken back.
    nodes = await start_nodes(deployment)
    copy = deployment.store.take_copy()
    deployment.store.put('op', 'config', make_policy(2))
    deployment.store.put('op', 'evacuate/x', {})
    await wait_until(lambda: state_of(nodes) == {(2, ('x',))})
    await return_from(deployment, copy)
    for _ in range(10):
        assert state_of(nodes) == {(2, ('x',))}
        await asyncio.sleep(0.1)
    deployment.store.put('op', 'evacuate/x', {})
    await asyncio.sleep(2.5)
    assert state_of(nodes) == {(2, ('x',))}


async def test_entries_of_nodes_that_were_lost_are_written_again(deployment):
    # A node without an entry would get no calls from nodes that start later.
    store = deployment.store
    first = await start_nodes(deployment, 'a', 'x')
    copy = store.take_copy()
    later = [
        await deployment.add_node(name, zone)
        for name, zone in (('b', 'x'), ('c', 'y'))
    ]
    for node in later:
        await deployment.wait_until_served(node)
    await wait_until(lambda: len(store.keys(NODE_TABLE)) == 3)
    await return_from(deployment, copy)
    nodes = [*first, *later]
    async with asyncio.timeout(RETURN_SECONDS):
        while store.keys(NODE_TABLE) != ['a', 'b', 'c']:
            assert all(
                len(node.sidecar._member_sync.by_name) == 3 for node in nodes
            )
            await asyncio.sleep(0.05)
    requests = store.request_count
    await asyncio.sleep(1.0)
    # The nodes do not call the store again and again.
    assert store.request_count - requests < 12


async def test_node_that_starts_beside_an_older_copy_learns_the_newer_policy(
    deployment,
):
    # Its store holds an older policy than the nodes that run.
    nodes = await start_nodes(deployment, 'ab', 'xx')
    copy = deployment.store.take_copy()
    deployment.store.put('op', 'config', make_policy(2))
    await wait_until(lambda: state_of(nodes) == {(2, ())})
    await return_from(deployment, copy)
    await wait_until(
        lambda: (
            all(node.sidecar._updater.is_ahead for node in nodes[:1])
            or all(node.sidecar._updater.is_ahead for node in nodes[1:])
        )
    )
    started = await deployment.add_node('c', 'x')
    await wait_until(lambda: started.sidecar._registry.version == 2)


async def test_state_of_a_peer_does_not_hide_that_the_copy_is_older(deployment):
    # The follower would not tell the newer policy to a node that starts.
    nodes = await start_nodes(deployment, 'ab', 'xx')
    copy = deployment.store.take_copy()
    deployment.store.put('op', 'config', make_policy(2))
    await wait_until(lambda: state_of(nodes) == {(2, ())})
    await return_from(deployment, copy)
    await wait_until(
        lambda: any(node.sidecar._updater.is_ahead for node in nodes)
    )
    for node, peer in (nodes, reversed(nodes)):
        was_ahead = node.sidecar._updater.is_ahead
        state = peer.sidecar._updater.operator_state()
        node.sidecar._relay.receive_operators(state)
        assert node.sidecar._updater.is_ahead == was_ahead


async def test_two_returns_in_a_row_lose_no_confirmed_change(deployment):
    # The second copy lacks what was written again after the first return.
    nodes = await start_nodes(deployment)
    store = deployment.store
    copy = store.take_copy()
    store.put('op', 'config', make_policy(2))
    await wait_until(lambda: state_of(nodes) == {(2, ())})
    await return_from(deployment, copy, [('op', 'config', make_policy(3))], 5)
    await asyncio.sleep(0.3)
    rewrite = [('op', 'config', make_policy(4)), ('op', 'evacuate/y', {})]
    await return_from(deployment, copy, rewrite, 3, seconds=0.2)
    await reaches(nodes, (4, ('y',)))


async def test_store_without_any_history_is_not_read_without_a_pause(
    deployment,
):
    # Calls are priced, and the node would be busy with nothing else.
    await start_nodes(deployment, 'a', 'x')
    deployment.store._compacted_version = 10**6
    deployment.store.put('op', 'config', make_policy(2))
    requests = deployment.store.request_count
    await asyncio.sleep(2.0)
    assert deployment.store.request_count - requests < 40
