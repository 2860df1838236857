"""Demo: starts a fleet in two data centres and prints call outcomes."""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from mustardshunt.standin._load_generator import LoadGenerator, LoadPlan
from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin._local_vm import LocalVm

_LOAD_SECONDS: Final = 6.0
_DATA_CENTRES_AND_SERVICES: Final = (
    ('sofia-1', 'catalogue'),
    ('sofia-1', 'stock'),
    ('sofia-2', 'order'),
    ('sofia-2', 'stock'),
)
_SHEET: Final = """\
[organisations]
name,rate,burst
aquarium,60,30
hotel,60,30
troupe,10,5

[keys]
organisation,key
aquarium,demo-key-of-the-aquarium-00000000000
hotel,demo-key-of-the-hotel-00000000000000
hotel,demo-key-that-is-revoked-0000000000
troupe,demo-key-of-the-troupe-0000000000000

[routes]
name,method,path,service,importance,idempotent,access
catalogue,GET,/catalogue/*,catalogue,normal,yes,keyed
stock,GET,/stock/*,stock,high,yes,internal
order,POST,/orders,order,critical,no,keyed
imprint,GET,/catalogue/imprint,catalogue,low,yes,open

[data-centres]
name,state
sofia-1,in
sofia-2,in
"""
_PLANS: Final = (
    LoadPlan(
        'aquarium',
        'demo-key-of-the-aquarium-00000000000',
        40,
        'GET',
        '/catalogue/panels',
    ),
    LoadPlan(
        'aquarium',
        'demo-key-of-the-aquarium-00000000000',
        10,
        'POST',
        '/orders',
        b'{"tank": "reef"}',
    ),
    LoadPlan(
        'hotel',
        'demo-key-of-the-hotel-00000000000000',
        30,
        'GET',
        '/catalogue/panels',
    ),
    LoadPlan(
        'troupe over its rate',
        'demo-key-of-the-troupe-0000000000000',
        40,
        'GET',
        '/catalogue/panels',
    ),
    LoadPlan('nobody, open route', None, 5, 'GET', '/catalogue/imprint'),
    LoadPlan('nobody, no key', None, 5, 'GET', '/catalogue/panels'),
    LoadPlan(
        'hotel, revoked key',
        'demo-key-that-is-revoked-0000000000',
        5,
        'GET',
        '/catalogue/panels',
    ),
    LoadPlan(
        'hotel, internal route',
        'demo-key-of-the-hotel-00000000000000',
        5,
        'GET',
        '/stock/glass',
    ),
)


async def run_demo() -> int:
    """Run the demo and print its table.

    Returns
    -------
    int
        0 if the sheet was accepted and at least one request was answered,
        otherwise the exit status to report.
    """
    with tempfile.TemporaryDirectory(prefix='mustardshunt-') as name:
        fleet = LocalFleet(Path(name))
        try:
            return await _run_on(fleet, Path(name))
        finally:
            await fleet.stop()


async def _run_on(fleet: LocalFleet, directory: Path) -> int:
    await fleet.start_platform()
    _print_line('platform stand-in listens')
    vms = await _start_vms(fleet)
    sheet = directory / 'sheet.csv'
    sheet.write_text(_SHEET)
    status, output = await fleet.run_command('sheet', 'accept', str(sheet))
    _print_line(output.strip())
    if status:
        return status
    for vm in vms:
        await fleet.wait_until_ready(vm)
        await fleet.wait_for_state(vm, {'version': 1, 'serving': len(vms)})
    await fleet.wait_for_shares()
    _print_line('the sheet is in force on all nodes; callers start')
    callers = LoadGenerator(
        fleet.session, [vm.caller_url for vm in vms], seed=1
    )
    _, output = await fleet.run_command(
        'key',
        'revoke',
        'demo-key-that-is-revoked-0000000000',
    )
    _print_line(output.strip())
    for vm in vms:
        await fleet.wait_for_state(vm, {'version': 2})
    report = await callers.run(_PLANS, _LOAD_SECONDS)
    _print_line(report.format_table())
    _, output = await fleet.run_command('config', 'show')
    _print_line(output.strip())
    return (
        0
        if any(result.outcome == 'answered' for result in report.results)
        else 1
    )


async def _start_vms(fleet: LocalFleet) -> list[LocalVm]:
    vms = [
        fleet.add_vm(data_centre)
        for data_centre, _ in _DATA_CENTRES_AND_SERVICES
    ]
    await asyncio.gather(*[fleet.start_node(vm) for vm in vms])
    for vm, (_, service) in zip(vms, _DATA_CENTRES_AND_SERVICES, strict=True):
        child = ('--child', 'GET /stock/glass') if service == 'order' else ()
        await fleet.start_backend_server(vm, service, *child)
        _print_line(f'{vm.name}: node and backend server of service {service}')
    return vms


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main() -> None:
    """Run the demo and exit with its status."""
    sys.exit(asyncio.run(run_demo()))


if __name__ == '__main__':
    main()
