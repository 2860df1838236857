"""Measures idle node processes, and calls with the benchmark."""

import asyncio
import statistics
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from mustardshunt.measure.capacity._measurements import ProcessMeasurements
from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin._local_vm import LocalProcess, LocalVm
from mustardshunt.standin.bench import run_bench

_SHEET: Final = """\
[organisations]
name,rate,burst
idle,100,100

[keys]
organisation,key
idle,idle-key-00000000000000000000000000

[routes]
name,method,path,service,importance,idempotent
echo,GET,/echo/*,echo,normal,yes

[data-centres]
name,state
one,in
two,in
"""
_ADDED_NODES: Final = 5
# Time after the start of the nodes before the measurement begins. Within this
# time the nodes read the share table and hand over shares.
_SETTLE_SECONDS: Final = 5.0
_MEASUREMENT_SECONDS: Final = 10.0
_KIBIBYTES_PER_MEGABYTE: Final = 1024
_NANOSECONDS_PER_SECOND: Final = 1e9


@dataclass(frozen=True, slots=True)
class IdleUsage:
    """Resources that idle nodes used during a measurement.

    Parameters
    ----------
    processor : float
        Fraction of a core, median over the nodes.
    memory : float
        Resident megabytes, median over the nodes.
    reads, writes : float
        Platform requests for each node and second.
    """

    processor: float
    memory: float
    reads: float
    writes: float


async def measure_processes(calls: int) -> ProcessMeasurements:
    """Measure one idle node and several idle nodes, then run the benchmark.

    Parameters
    ----------
    calls : int
        Number of calls on each path of the benchmark.
    """
    with tempfile.TemporaryDirectory(prefix='mustardshunt-') as name:
        fleet = LocalFleet(Path(name))
        try:
            alone, together = await _measure_idle(fleet, Path(name))
        finally:
            await fleet.stop()
    direct, hop, node, two_hops, two_nodes = await run_bench(calls)
    return ProcessMeasurements(
        idle_alone=alone.processor,
        idle_fleet=together.processor,
        fleet_nodes=_ADDED_NODES + 1,
        memory_alone=alone.memory,
        memory_fleet=together.memory,
        platform_reads=together.reads,
        platform_writes=together.writes,
        added_p99=two_nodes.p99 - direct.p99,
        bare_p99=two_hops.p99 - direct.p99,
        added_p50=two_nodes.p50 - direct.p50,
        bare_p50=two_hops.p50 - direct.p50,
        call_processor=node.processor,
        bare_processor=hop.processor,
    )


async def _measure_idle(
    fleet: LocalFleet,
    directory: Path,
) -> tuple[IdleUsage, IdleUsage]:
    await fleet.start_platform()
    first = fleet.add_vm('one')
    nodes = [await fleet.start_node(first)]
    sheet = directory / 'sheet.csv'
    sheet.write_text(_SHEET)
    await fleet.run_command('sheet', 'accept', str(sheet))
    await fleet.wait_for_state(first, {'version': 1})
    await asyncio.sleep(_SETTLE_SECONDS)
    alone = await _measure_usage(fleet, nodes)
    for number in range(_ADDED_NODES):
        vm = fleet.add_vm('two' if number % 2 else 'one')
        nodes.append(await fleet.start_node(vm))
    await _wait_for_members(fleet, list(fleet.vm_by_name.values()))
    await asyncio.sleep(_SETTLE_SECONDS)
    return alone, await _measure_usage(fleet, nodes)


async def _wait_for_members(
    fleet: LocalFleet,
    vms: Sequence[LocalVm],
) -> None:
    for vm in vms:
        await fleet.wait_for_state(vm, {'members': len(vms), 'version': 1})


async def _measure_usage(
    fleet: LocalFleet,
    nodes: Sequence[LocalProcess],
) -> IdleUsage:
    before = [_read_processor(node.pid) for node in nodes]
    reads, writes = await _read_platform(fleet)
    await asyncio.sleep(_MEASUREMENT_SECONDS)
    used = [
        _read_processor(node.pid) - start
        for node, start in zip(nodes, before, strict=True)
    ]
    reads_after, writes_after = await _read_platform(fleet)
    node_seconds = _MEASUREMENT_SECONDS * len(nodes)
    return IdleUsage(
        statistics.median(used) / _MEASUREMENT_SECONDS,
        statistics.median(_read_memory(node.pid) for node in nodes),
        (reads_after - reads) / node_seconds,
        (writes_after - writes) / node_seconds,
    )


async def _read_platform(fleet: LocalFleet) -> tuple[int, int]:
    state = await fleet.read_json(f'{fleet.platform_url}/control')
    counters = state['counters']
    return counters['reads'], counters['writes']


def _read_processor(pid: int) -> float:
    """Return the processor seconds that a process has used so far."""
    return (
        sum(
            int(task.joinpath('schedstat').read_text().split()[0])
            for task in Path(f'/proc/{pid}/task').iterdir()
        )
        / _NANOSECONDS_PER_SECOND
    )


def _read_memory(pid: int) -> float:
    """Return the resident megabytes of a process."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    resident = next(line for line in lines if line.startswith('VmRSS'))
    return int(resident.split()[1]) / _KIBIBYTES_PER_MEGABYTE
