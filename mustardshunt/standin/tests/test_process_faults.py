"""Real processes: killed and paused nodes and backend servers."""

import signal

import pytest

from mustardshunt.standin.tests.process_load import ClosedLoopLoad
from mustardshunt.standin.tests.shared_fleet import wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def test_killed_node_runs_no_order_twice(world):
    """Guards against orders sent again whose outcome is unknown."""
    victim = world.vm('south', 'order')
    async with ClosedLoopLoad(world, 'killed node') as load:
        load.start_orders(4, world.vm('north', 'stock'))
        load.start_orders(4, world.vm('south', 'stock'))
        load.start_orders(2, victim, world.vm('south', 'catalogue'))
        await load.wait_for_answers(60)
        await wait_until(lambda: world.active(victim), 'orders in flight')
        await world.node_by_name[victim.name].kill()
        await load.wait_for_answers(60)
    load.check_orders(world.order_runs())


async def test_killed_backend_server_runs_no_order_twice(world):
    """Guards against orders sent again after their connection broke."""
    victim = world.vm('north', 'order')
    async with ClosedLoopLoad(world, 'killed server') as load:
        load.start_orders(4, world.vm('north', 'stock'))
        load.start_orders(4, world.vm('south', 'stock'))
        load.start_orders(2, victim)
        await load.wait_for_answers(60)
        await wait_until(lambda: world.active(victim), 'orders in flight')
        await world.server_by_name[victim.name].kill()
        await load.wait_for_answers(60)
    # All nodes live, so each caller is told something.
    assert all(reply.status for reply in load.replies)
    load.check_orders(world.order_runs())


async def test_paused_node_runs_no_order_twice(world):
    """Guards against late frames of a node that was thought to be gone."""
    victim = world.vm('south', 'order')
    observer = world.vm('north', 'stock')
    node = world.node_by_name[victim.name]
    serving = len(world.vms)
    async with ClosedLoopLoad(world, 'paused node') as load:
        load.start_orders(4, observer)
        load.start_orders(4, world.vm('south', 'stock'))
        load.start_orders(2, victim)
        await load.wait_for_answers(60)
        await wait_until(lambda: world.active(victim), 'orders in flight')
        node.send_signal(signal.SIGSTOP)
        await wait_until(
            lambda: world.serves(observer, serving - 1),
            'the paused node is silent',
        )
        await load.wait_for_answers(40)
        node.send_signal(signal.SIGCONT)
        await wait_until(
            lambda: world.serves(observer, serving),
            'the node serves again',
        )
        before = await world.runs(victim)
        await wait_until(
            lambda: world.has_run(victim, before),
            'a new run beside the node',
        )
    assert all(reply.status for reply in load.replies)
    load.check_orders(world.order_runs())
