"""Process tests of planned stops and of an evacuated data centre."""

import signal

import pytest

from mustardshunt.standin.tests.process_load import ClosedLoopLoad
from mustardshunt.standin.tests.shared_fleet import SERVICES, wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def test_planned_stop_interrupts_no_request(shared_fleet):
    """A planned stop of a node must break no call and lose no order."""
    leaving_vm = shared_fleet.vm('north', 'order')
    other = shared_fleet.vm('south', 'stock')
    node = shared_fleet.node_by_name[leaving_vm.name]
    async with ClosedLoopLoad(shared_fleet, 'planned stop') as load:
        load.start_orders(4, leaving_vm, other)
        load.start_orders(3, other)
        load.start_reads(3, leaving_vm, other)
        await load.wait_for_answers(100)
        node.send_signal(signal.SIGTERM)
        assert await node.wait() == 0
        await load.wait_for_answers(40)
    assert load.failures == []
    load.check_orders(shared_fleet.order_run_counts())


async def test_draining_backend_server_gets_no_new_calls(shared_fleet):
    """A backend server that is draining must get no new calls."""
    leaving_vm = shared_fleet.vm('south', 'catalogue')
    server = shared_fleet.server_by_name[leaving_vm.name]
    before = await shared_fleet.run_count(leaving_vm)
    async with ClosedLoopLoad(shared_fleet, 'drain') as load:
        load.start_reads(3, leaving_vm)
        load.start_reads(3, shared_fleet.vm('north', 'stock'))
        await wait_until(
            lambda: shared_fleet.has_new_runs(leaving_vm, before),
            'the backend server runs a call',
        )
        server.send_signal(signal.SIGTERM)
        await load.wait_until_idle(leaving_vm)
        assert server.is_running
    assert load.failures == []
    await server.kill()


async def test_evacuated_data_centre_gets_no_calls_until_it_returns(
    shared_fleet,
):
    """Backend servers of an evacuated data centre must get no calls.

    Meanwhile the nodes of the data centre still answer callers, with
    ``Connection: close``. When the data centre is back in service, its backend
    servers must run calls again.
    """
    data_centre = 'north'
    vms = [shared_fleet.vm(data_centre, service) for service in SERVICES]
    async with ClosedLoopLoad(shared_fleet, 'data centre') as load:
        load.start_reads(3, shared_fleet.vm('south', 'stock'))
        load.start_reads(3, *vms)
        load.start_orders(3, *vms)
        await load.wait_for_answers(50)
        status, text = await shared_fleet.fleet.run_command(
            'data-centre',
            'out',
            data_centre,
        )
        assert status == 0, text
        await load.wait_until_idle(*vms)
        for vm in vms:
            reply = await shared_fleet.send(vm, 'GET', '/catalogue/panels')
            assert (reply.status, reply.closes) == (200, True), reply
        before = await shared_fleet.run_count(vms[-1])
        status, text = await shared_fleet.fleet.run_command(
            'data-centre', 'in', data_centre
        )
        assert status == 0, text
        await wait_until(
            lambda: shared_fleet.has_new_runs(vms[-1], before),
            'a backend server of the data centre runs a call',
        )
    assert load.failures == []
    load.check_orders(shared_fleet.order_run_counts())
