"""Estimates the capacity: ``python -m mustardshunt.measure.capacity``."""

import argparse
import asyncio
import sys
import time
from collections.abc import Iterable

from mustardshunt.measure.capacity._all_estimates import list_estimates
from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._grant_traffic import measure_grant_traffic
from mustardshunt.measure.capacity._links import measure_links
from mustardshunt.measure.capacity._measurements import Measurements
from mustardshunt.measure.capacity._memory import measure_memory
from mustardshunt.measure.capacity._mesh import measure_mesh
from mustardshunt.measure.capacity._processes import measure_processes
from mustardshunt.measure.capacity._processor_time import measure_processor_time
from mustardshunt.measure.capacity._report import (
    format_estimates,
    format_measurements,
)
from mustardshunt.measure.capacity._sizes import measure_sizes


def measure_all(size: DesignSize, calls: int) -> Measurements:
    """Measure sizes, links, traffic, processor time and memory.

    Parameters
    ----------
    size : DesignSize
        Size at which the costs are measured.
    calls : int
        Number of calls on each path of the benchmark.
    """
    message, link = asyncio.run(measure_links())
    return Measurements(
        sizes=measure_sizes(size),
        mesh=measure_mesh(size),
        near_asks=measure_grant_traffic(size, size.entry_nodes),
        wide_asks=measure_grant_traffic(size, size.nodes),
        work=measure_processor_time(size, message),
        memory=measure_memory(size, link),
        processes=asyncio.run(measure_processes(calls)),
    )


def main() -> None:
    """Print the measurements and the estimates derived from them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=500)
    options = parser.parse_args()
    started = time.monotonic()
    size = DesignSize()
    measurements = measure_all(size, options.calls)
    _write_lines(format_measurements(measurements))
    _write_lines(format_estimates(list_estimates(size, measurements, Limits())))
    _write_lines([f'run took {time.monotonic() - started:.0f} s'])


def _write_lines(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
