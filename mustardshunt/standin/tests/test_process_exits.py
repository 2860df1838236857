"""Real processes: planned stops and a data centre out of service."""

import signal

import pytest

from mustardshunt.standin.tests.process_load import ClosedLoopLoad
from mustardshunt.standin.tests.shared_fleet import SERVICES, wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def test_planned_stop_interrupts_no_request(world):
    """Guards against a stop that cuts off a call or loses an order."""
    leaving = world.vm('north', 'order')
    other = world.vm('south', 'stock')
    node = world.node_by_name[leaving.name]
    async with ClosedLoopLoad(world, 'planned stop') as load:
        load.start_orders(4, leaving, other)
        load.start_orders(3, other)
        load.start_reads(3, leaving, other)
        await load.wait_for_answers(100)
        node.send_signal(signal.SIGTERM)
        assert await node.wait() == 0
        await load.wait_for_answers(40)
    assert load.failures == []
    load.check_orders(world.order_runs())


async def test_draining_backend_server_gets_no_new_calls(world):
    """Guards against calls to a backend server that is about to end."""
    leaving = world.vm('south', 'catalogue')
    server = world.server_by_name[leaving.name]
    before = await world.runs(leaving)
    async with ClosedLoopLoad(world, 'drain') as load:
        load.start_reads(3, leaving)
        load.start_reads(3, world.vm('north', 'stock'))
        await wait_until(lambda: world.has_run(leaving, before), 'a run')
        server.send_signal(signal.SIGTERM)
        await load.wait_until_idle(leaving)
        assert server.is_running
    assert load.failures == []
    await server.kill()


async def test_data_centre_leaves_and_returns(world):
    """Guards against work for a data centre that operators took out."""
    place = 'north'
    vms = [world.vm(place, service) for service in SERVICES]
    async with ClosedLoopLoad(world, 'data centre') as load:
        load.start_reads(3, world.vm('south', 'stock'))
        load.start_reads(3, *vms)
        load.start_orders(3, *vms)
        await load.wait_for_answers(50)
        status, text = await world.fleet.run_command(
            'data-centre',
            'out',
            place,
        )
        assert status == 0, text
        await load.wait_until_idle(*vms)
        for vm in vms:
            reply = await world.send(vm, 'GET', '/catalogue/panels')
            assert (reply.status, reply.closes) == (200, True), reply
        before = await world.runs(vms[-1])
        status, text = await world.fleet.run_command('data-centre', 'in', place)
        assert status == 0, text
        await wait_until(lambda: world.has_run(vms[-1], before), 'a new run')
    assert load.failures == []
    load.check_orders(world.order_runs())
