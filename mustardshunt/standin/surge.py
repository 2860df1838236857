"""Load surge on real processes, with and without overload control.

A short check that the simulation in virtual time agrees with real processes.
The same open-loop requests are sent first through the nodes and then directly
to the backend servers. The results are fractions, see `SurgeResult`.
"""

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from mustardshunt.standin._load_generator import (
    LoadGenerator,
    LoadPlan,
    RequestResult,
)
from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin._local_vm import LocalVm

_SERVERS: Final = 2
_SLOTS: Final = 10
_SERVICE_SECONDS: Final = 0.1
_CAPACITY_PER_SECOND: Final = _SERVERS * _SLOTS / _SERVICE_SECONDS
# Request rates as multiples of the capacity of all backend servers.
_SURGE_LOAD: Final = 3.0
_STEADY_LOAD: Final = 0.7
_ORDER_FRACTION: Final = 0.1
_WARM_UP_SECONDS: Final = 8.0
_SURGE_SECONDS: Final = 6.0
_AFTER_SECONDS: Final = 4.0
_TIMEOUT_MS: Final = 1000
_KEY: Final = 'surge-key-00000000000000000000000000'
_SHEET: Final = f"""\
[organisations]
name,rate,burst
surge,100000,100000

[keys]
organisation,key
surge,{_KEY}

[routes]
name,method,path,service,importance,idempotent,timeout
read,GET,/reads,stock,normal,yes,1
order,POST,/orders,stock,critical,no,1

[data-centres]
name,state
surge,in
"""


@dataclass(frozen=True, slots=True)
class SurgeResult:
    """Results of one run of the surge.

    Parameters
    ----------
    control : str
        ``product`` for calls through the nodes, ``none`` for direct calls.
    goodput : float
        Requests answered in time during the surge, as a fraction of the
        capacity of the backend servers.
    orders : float
        Orders answered in time during the surge, as a fraction of the
        orders sent.
    after : float
        Requests answered in time after the surge, as a fraction of the requests
        sent after the surge.
    """

    control: str
    goodput: float
    orders: float
    after: float


async def run_surge() -> list[SurgeResult]:
    """Run the surge through the nodes, then directly to the servers."""
    with tempfile.TemporaryDirectory(prefix='mustardshunt-') as name:
        fleet = LocalFleet(Path(name))
        try:
            vms = await _start(fleet, Path(name))
            nodes = [vm.caller_url for vm in vms]
            servers = [vm.server_url for vm in vms]
            return [
                await _measure(fleet, 'product', nodes),
                await _measure(fleet, 'none', servers),
            ]
        finally:
            await fleet.stop()


async def _start(fleet: LocalFleet, directory: Path) -> list[LocalVm]:
    await fleet.start_platform()
    vms = [fleet.add_vm('surge') for _ in range(_SERVERS)]
    await asyncio.gather(*[fleet.start_node(vm) for vm in vms])
    for vm in vms:
        await fleet.start_backend_server(
            vm,
            'stock',
            '--slots',
            str(_SLOTS),
            '--service-time',
            str(_SERVICE_SECONDS),
        )
    sheet = directory / 'sheet.csv'
    sheet.write_text(_SHEET)
    status, output = await fleet.run_command('sheet', 'accept', str(sheet))
    if status:
        sys.exit(output)
    for vm in vms:
        await fleet.wait_for_state(vm, {'version': 1, 'serving': _SERVERS})
    await fleet.wait_for_shares()
    return vms


async def _measure(
    fleet: LocalFleet,
    control: str,
    urls: Sequence[str],
) -> SurgeResult:
    callers = LoadGenerator(fleet.session, urls, seed=1)
    await callers.run(_make_plans(_STEADY_LOAD), _WARM_UP_SECONDS)
    surge = await callers.run(_make_plans(_SURGE_LOAD), _SURGE_SECONDS)
    after = await callers.run(_make_plans(_STEADY_LOAD), _AFTER_SECONDS)
    orders = [
        result for result in surge.results if result.organisation == 'order'
    ]
    answered_in_time = _count_in_time(surge.results)
    return SurgeResult(
        control,
        answered_in_time / (_CAPACITY_PER_SECOND * _SURGE_SECONDS),
        _count_in_time(orders) / len(orders),
        _count_in_time(after.results) / len(after.results),
    )


def _make_plans(load: float) -> list[LoadPlan]:
    rate = load * _CAPACITY_PER_SECOND
    read = LoadPlan(
        'read',
        _KEY,
        rate * (1 - _ORDER_FRACTION),
        'GET',
        '/reads',
        timeout_ms=_TIMEOUT_MS,
    )
    order = LoadPlan(
        'order',
        _KEY,
        rate * _ORDER_FRACTION,
        'POST',
        '/orders',
        b'{}',
        _TIMEOUT_MS,
    )
    return [read, order]


def _count_in_time(results: Sequence[RequestResult]) -> int:
    return sum(
        result.status == 200 and result.seconds <= _TIMEOUT_MS / 1000
        for result in results
    )


def main() -> None:
    """Run the surge and print a table of its results."""
    lines = [f'{"control":<10}{"goodput":>9}{"orders":>9}{"after":>9}']
    for result in asyncio.run(run_surge()):
        lines.append(
            f'{result.control:<10}{result.goodput:>9.3f}'
            f'{result.orders:>9.3f}{result.after:>9.3f}',
        )
    sys.stdout.write('\n'.join((*lines, '')))


if __name__ == '__main__':
    main()
