"""Process tests of shares that are reclaimed after a node has ended."""

import pytest

from mustardshunt.standin._local_fleet import LocalFleet

pytestmark = pytest.mark.processes

SHEET = """\
[organisations]
name,rate,burst
museum,60,60

[keys]
organisation,key
museum,museum-key-000000000000000000000000

[routes]
name,method,path,service,importance,idempotent
stock,GET,/stock/*,stock,normal,yes

[data-centres]
name,state
sofia-1,in
sofia-2,in
"""


@pytest.fixture
async def fleet(tmp_path):
    fleet = LocalFleet(tmp_path)
    try:
        await fleet.start_platform()
        yield fleet
    finally:
        await fleet.stop()


async def start(fleet, tmp_path):
    data_centres = ('sofia-1', 'sofia-1', 'sofia-2', 'sofia-2')
    vms = [fleet.add_vm(data_centre) for data_centre in data_centres]
    nodes = {vm.name: await fleet.start_node(vm) for vm in vms}
    for vm in vms:
        await fleet.start_backend_server(vm, 'stock')
    sheet = tmp_path / 'sheet.csv'
    sheet.write_text(SHEET)
    assert (await fleet.run_command('sheet', 'accept', str(sheet)))[0] == 0
    await fleet.wait_for_shares()
    return vms, nodes


async def test_shares_are_reclaimed_after_each_kind_of_exit(fleet, tmp_path):
    """The shares of a node that has ended must be reclaimed.

    One node is killed and restarted. Another node is killed and declared gone.
    A third node is stopped. ``wait_for_shares`` returns only when the running
    nodes hold all shares again.
    """
    vms, nodes = await start(fleet, tmp_path)
    restarted_vm, declared_vm, stopped_vm = vms[:3]

    await nodes[restarted_vm.name].kill()
    await fleet.start_node(restarted_vm)
    await fleet.wait_for_shares()

    state = await fleet.read_json(f'{declared_vm.metrics_url}/state')
    await nodes[declared_vm.name].kill()
    fleet.vm_by_name.pop(declared_vm.name)
    status, output = await fleet.run_command(
        'vm',
        'gone',
        state['incarnation'],
    )
    assert status == 0, output
    await fleet.wait_for_shares()

    fleet.vm_by_name.pop(stopped_vm.name)
    assert await nodes[stopped_vm.name].stop() == 0
    await fleet.wait_for_shares()
