"""Benchmark: direct call, bare forwarding hop and product in one run.

Calls of the ways alternate, so that all see the same noise. Figures are
ratios: the latency that a way adds over the direct call, and the processor
time that its processes use for each call.
"""

import asyncio
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from aiohttp import ClientSession, TCPConnector

from mustardshunt.standin._load_generator import LoadGenerator, LoadPlan
from mustardshunt.standin._local_fleet import LocalFleet, choose_ports
from mustardshunt.standin._local_vm import LocalProcess

_KEY: Final = 'bench-key-00000000000000000000000000'
_SHEET: Final = f"""\
[organisations]
name,rate,burst
bench,100000,100000

[keys]
organisation,key
bench,{_KEY}

[routes]
name,method,path,service,importance,idempotent
echo,GET,/echo/*,echo,normal,yes

[data-centres]
name,state
bench,in
"""
_PLAN: Final = LoadPlan('bench', _KEY, 1, 'GET', '/echo/bench')
_WARM_UP_CALLS: Final = 300
_CALLS: Final = 1500
_PAUSE_SECONDS: Final = 0.002
_HEADING: Final = (
    'way              p50 ms   p99 ms  added p50  added p99   cpu ms'
    '  added/hop  cpu/hop'
)
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class CallPath:
    """One way to the backend server.

    Parameters
    ----------
    name : str
        Name in the table.
    url : str
        Where the caller connects.
    processes : tuple of LocalProcess
        Processes between the caller and the backend server.
    """

    name: str
    url: str
    processes: tuple[LocalProcess, ...]

    def read_processor_seconds(self) -> float:
        """Return the processor time that the processes have used."""
        return sum(_read_seconds(process.pid) for process in self.processes)


@dataclass(frozen=True, slots=True)
class PathResult:
    """Figures of one way.

    Parameters
    ----------
    name : str
        Name of the way.
    p50, p99 : float
        Latency in milliseconds.
    processor : float
        Processor time for each call, in milliseconds.
    """

    name: str
    p50: float
    p99: float
    processor: float


async def run_bench(calls: int = _CALLS) -> list[PathResult]:
    """Run the benchmark on a local fleet and return its figures.

    Parameters
    ----------
    calls : int, default=1500
        Calls of each way.

    Returns
    -------
    list of Figures
        Figures of the ways: direct, bare hop, node, two bare hops, two nodes.
    """
    with tempfile.TemporaryDirectory(prefix='mustardshunt-') as name:
        fleet = LocalFleet(Path(name))
        try:
            ways = await _start_ways(fleet, Path(name))
            return await _measure(ways, calls)
        finally:
            await fleet.stop()


async def _start_ways(fleet: LocalFleet, directory: Path) -> list[CallPath]:
    await fleet.start_platform()
    near, far = fleet.add_vm('bench'), fleet.add_vm('bench')
    near_node = await fleet.start_node(near)
    far_node = await fleet.start_node(far)
    await fleet.start_backend_server(
        far, 'echo', '--service-time', '0', '--slots', '200'
    )
    sheet = directory / 'sheet.csv'
    sheet.write_text(_SHEET)
    status, output = await fleet.run_command('sheet', 'accept', str(sheet))
    if status:
        sys.exit(output)
    for vm in (near, far):
        await fleet.wait_for_state(vm, {'version': 1, 'serving': 1})
    await fleet.wait_for_shares()
    one_hop, two_hops = await _start_bare_hops(fleet, far.server_url)
    return [
        CallPath('direct', far.server_url, ()),
        one_hop,
        CallPath('node', far.caller_url, (far_node,)),
        two_hops,
        CallPath('two nodes', near.caller_url, (near_node, far_node)),
    ]


async def _start_bare_hops(fleet: LocalFleet, target: str) -> list[CallPath]:
    first_port, second_port = choose_ports(2)
    first = await fleet.start_bare_hop(first_port, target)
    first_url = f'http://127.0.0.1:{first_port}'
    second = await fleet.start_bare_hop(second_port, first_url)
    second_url = f'http://127.0.0.1:{second_port}'
    return [
        CallPath('bare hop', first_url, (first,)),
        CallPath('two bare hops', second_url, (first, second)),
    ]


async def _measure(ways: list[CallPath], calls: int) -> list[PathResult]:
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        callers = LoadGenerator(session, [ways[0].url], seed=1)
        for way in ways:
            for _ in range(_WARM_UP_CALLS):
                await callers.send(_PLAN, way.url)
        seconds_by_way: dict[str, list[float]] = {way.name: [] for way in ways}
        for _ in range(calls):
            for way in ways:
                found = await callers.send(_PLAN, way.url)
                if found.outcome != 'answered':
                    sys.exit(f'{way.name}: {found}')
                seconds_by_way[way.name].append(found.seconds)
            await asyncio.sleep(_PAUSE_SECONDS)
        return [
            await _summarise(way, seconds_by_way[way.name], callers)
            for way in ways
        ]


async def _summarise(
    way: CallPath,
    seconds: list[float],
    callers: LoadGenerator,
) -> PathResult:
    # Processor time is read over calls of this way alone, since the bare hops
    # and the nodes are shared by two ways.
    before = way.read_processor_seconds()
    for _ in seconds:
        await callers.send(_PLAN, way.url)
    used = way.read_processor_seconds() - before
    quantiles = statistics.quantiles(seconds, n=100)
    return PathResult(
        way.name,
        1000 * quantiles[49],
        1000 * quantiles[98],
        1000 * used / len(seconds),
    )


def format_table(figures: list[PathResult]) -> str:
    """Return a table with the ratios to the bare hops."""
    direct, bare, _, two_bare, _ = figures
    lines = [_HEADING]
    for found in figures:
        hop = two_bare if found.name.startswith('two') else bare
        added = found.p50 - direct.p50
        line = (
            f'{found.name:<15}{found.p50:>9.3f}{found.p99:>9.3f}'
            f'{added:>11.3f}{found.p99 - direct.p99:>11.3f}'
            f'{found.processor:>9.3f}'
        )
        if found is not direct:
            latency_ratio = added / (hop.p50 - direct.p50)
            processor_ratio = found.processor / hop.processor
            line = f'{line}{latency_ratio:>11.2f}{processor_ratio:>9.2f}'
        lines.append(line)
    return '\n'.join(lines)


def _read_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def main() -> None:
    """Run the benchmark and print its table."""
    started = time.monotonic()
    figures = asyncio.run(run_bench())
    sys.stdout.write(f'{format_table(figures)}\n')
    sys.stdout.write(f'run took {time.monotonic() - started:.0f} s\n')


if __name__ == '__main__':
    main()
