"""Process tests of killed and paused nodes and backend servers."""

import signal

import pytest

from mustardshunt.standin.tests.process_load import ClosedLoopLoad
from mustardshunt.standin.tests.shared_fleet import wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def test_killed_node_runs_no_order_twice(shared_fleet):
    """Orders whose outcome is unknown must not be retried.

    A node is killed while its backend server runs orders. A retry could run
    such an order a second time.
    """
    faulty_vm = shared_fleet.vm('south', 'order')
    async with ClosedLoopLoad(shared_fleet, 'killed node') as load:
        load.start_orders(4, shared_fleet.vm('north', 'stock'))
        load.start_orders(4, shared_fleet.vm('south', 'stock'))
        load.start_orders(2, faulty_vm, shared_fleet.vm('south', 'catalogue'))
        await load.wait_for_answers(60)
        await wait_until(
            lambda: shared_fleet.active_count(faulty_vm), 'orders are running'
        )
        await shared_fleet.node_by_name[faulty_vm.name].kill()
        await load.wait_for_answers(60)
    load.check_orders(shared_fleet.order_run_counts())


async def test_killed_backend_server_runs_no_order_twice(shared_fleet):
    """Orders must not be retried after their backend server was killed.

    The orders may have run already, so a retry could run them twice.
    """
    faulty_vm = shared_fleet.vm('north', 'order')
    async with ClosedLoopLoad(shared_fleet, 'killed server') as load:
        load.start_orders(4, shared_fleet.vm('north', 'stock'))
        load.start_orders(4, shared_fleet.vm('south', 'stock'))
        load.start_orders(2, faulty_vm)
        await load.wait_for_answers(60)
        await wait_until(
            lambda: shared_fleet.active_count(faulty_vm), 'orders are running'
        )
        await shared_fleet.server_by_name[faulty_vm.name].kill()
        await load.wait_for_answers(60)
    # All nodes run, so every request receives a response.
    assert all(reply.status for reply in load.replies)
    load.check_orders(shared_fleet.order_run_counts())


async def test_paused_node_runs_no_order_twice(shared_fleet):
    """An order must not run twice because a node was paused.

    The frames of the paused node arrive late, after the other nodes have marked
    this node as silent.
    """
    faulty_vm = shared_fleet.vm('south', 'order')
    observer = shared_fleet.vm('north', 'stock')
    node = shared_fleet.node_by_name[faulty_vm.name]
    serving = len(shared_fleet.vms)
    async with ClosedLoopLoad(shared_fleet, 'paused node') as load:
        load.start_orders(4, observer)
        load.start_orders(4, shared_fleet.vm('south', 'stock'))
        load.start_orders(2, faulty_vm)
        await load.wait_for_answers(60)
        await wait_until(
            lambda: shared_fleet.active_count(faulty_vm), 'orders are running'
        )
        node.send_signal(signal.SIGSTOP)
        await wait_until(
            lambda: shared_fleet.has_serving_members(observer, serving - 1),
            'the paused node is silent',
        )
        await load.wait_for_answers(40)
        node.send_signal(signal.SIGCONT)
        await wait_until(
            lambda: shared_fleet.has_serving_members(observer, serving),
            'the node serves again',
        )
        before = await shared_fleet.run_count(faulty_vm)
        await wait_until(
            lambda: shared_fleet.has_new_runs(faulty_vm, before),
            'its backend server runs a call',
        )
    assert all(reply.status for reply in load.replies)
    load.check_orders(shared_fleet.order_run_counts())
