"""Benchmark of direct calls, forwarding proxies and nodes in one run.

Calls on the different paths alternate, so that noise of the machine affects all
paths alike. The results compare each path with the bare proxies: the latency
added over the direct call, and the processor time of the processes on the path
for each call.
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
_CALLS_PER_PATH: Final = 1500
_ROUND_PAUSE_SECONDS: Final = 0.002
_HEADING: Final = (
    'path             p50 ms   p99 ms  added p50  added p99   cpu ms'
    '  added/hop  cpu/hop'
)
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class CallPath:
    """One path from the caller to the backend server.

    Parameters
    ----------
    name : str
        Name of the path in the table.
    url : str
        Base URL to which the caller connects.
    processes : tuple of LocalProcess
        Processes between the caller and the backend server.
    """

    name: str
    url: str
    processes: tuple[LocalProcess, ...]

    def read_processor_seconds(self) -> float:
        """Return the processor time used by the processes, in seconds."""
        return sum(
            _read_process_seconds(process.pid) for process in self.processes
        )


@dataclass(frozen=True, slots=True)
class PathResult:
    """Latency and processor time of one path.

    Parameters
    ----------
    name : str
        Name of the path.
    p50, p99 : float
        Median and 99th percentile of the latency, in milliseconds.
    processor : float
        Processor time for each call, in milliseconds.
    """

    name: str
    p50: float
    p99: float
    processor: float


async def run_bench(calls: int = _CALLS_PER_PATH) -> list[PathResult]:
    """Run the benchmark on a local fleet and return its results.

    Parameters
    ----------
    calls : int, default=1500
        Number of calls on each path.

    Returns
    -------
    list of PathResult
        Results of the paths in this order: direct, bare hop, node, two bare
        hops, two nodes.
    """
    with tempfile.TemporaryDirectory(prefix='mustardshunt-') as name:
        fleet = LocalFleet(Path(name))
        try:
            paths = await _start_paths(fleet, Path(name))
            return await _measure(paths, calls)
        finally:
            await fleet.stop()


async def _start_paths(fleet: LocalFleet, directory: Path) -> list[CallPath]:
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


async def _measure(paths: list[CallPath], calls: int) -> list[PathResult]:
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        callers = LoadGenerator(session, [paths[0].url], seed=1)
        for path in paths:
            for _ in range(_WARM_UP_CALLS):
                await callers.send(_PLAN, path.url)
        seconds_by_path: dict[str, list[float]] = {
            path.name: [] for path in paths
        }
        for _ in range(calls):
            for path in paths:
                result = await callers.send(_PLAN, path.url)
                if result.outcome != 'answered':
                    sys.exit(
                        f'call on path {path.name} was not answered: {result}'
                    )
                seconds_by_path[path.name].append(result.seconds)
            await asyncio.sleep(_ROUND_PAUSE_SECONDS)
        return [
            await _summarise(path, seconds_by_path[path.name], callers)
            for path in paths
        ]


async def _summarise(
    path: CallPath,
    seconds: list[float],
    callers: LoadGenerator,
) -> PathResult:
    # The first bare hop and one of the nodes lie on two paths. Their processor
    # time is read before and after calls on this path alone, so that it is
    # attributed to this path.
    before = path.read_processor_seconds()
    for _ in seconds:
        await callers.send(_PLAN, path.url)
    used_seconds = path.read_processor_seconds() - before
    quantiles = statistics.quantiles(seconds, n=100)
    return PathResult(
        path.name,
        1000 * quantiles[49],
        1000 * quantiles[98],
        1000 * used_seconds / len(seconds),
    )


def format_table(results: list[PathResult]) -> str:
    """Return a table of the results and their ratios to the bare hops."""
    direct, bare, _, two_bare, _ = results
    lines = [_HEADING]
    for result in results:
        bare_path = two_bare if result.name.startswith('two') else bare
        added = result.p50 - direct.p50
        line = (
            f'{result.name:<15}{result.p50:>9.3f}{result.p99:>9.3f}'
            f'{added:>11.3f}{result.p99 - direct.p99:>11.3f}'
            f'{result.processor:>9.3f}'
        )
        if result is not direct:
            latency_ratio = added / (bare_path.p50 - direct.p50)
            processor_ratio = result.processor / bare_path.processor
            line = f'{line}{latency_ratio:>11.2f}{processor_ratio:>9.2f}'
        lines.append(line)
    return '\n'.join(lines)


def _read_process_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def main() -> None:
    """Run the benchmark and print its table."""
    started = time.monotonic()
    results = asyncio.run(run_bench())
    sys.stdout.write(f'{format_table(results)}\n')
    sys.stdout.write(f'run took {time.monotonic() - started:.0f} s\n')


if __name__ == '__main__':
    main()
