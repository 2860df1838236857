"""Simulates the overload scenarios: ``python -m mustardshunt.measure``."""

import argparse
import dataclasses
import itertools
import json
import pathlib
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean
from typing import Final, TypeAlias

from mustardshunt.measure._model import ControlVariant, Deployment, Scenario
from mustardshunt.measure._presets import CONTROLS, DEPLOYMENTS, SCENARIOS
from mustardshunt.measure._run_metrics import RunMetrics, compute_metrics
from mustardshunt.measure._simulation import Simulation

_METRIC_NAMES: Final = tuple(
    field.name
    for field in dataclasses.fields(RunMetrics)
    if field.name not in {'deployment', 'scenario', 'control'}
)
_RunArguments: TypeAlias = tuple[Deployment, Scenario, ControlVariant, int]


def measure(arguments: _RunArguments) -> RunMetrics:
    """Simulate one run and return its metrics."""
    run = Simulation(*arguments)
    run.run()
    return compute_metrics(run)


def average(runs: Sequence[RunMetrics]) -> RunMetrics:
    """Return the mean metrics of runs that differ in their seed only."""
    first = runs[0]
    means = [
        fmean(getattr(item, name) for item in runs) for name in _METRIC_NAMES
    ]
    return RunMetrics(first.deployment, first.scenario, first.control, *means)


def print_table(results: list[RunMetrics]) -> None:
    """Print one line for each run."""
    names = [field.name for field in dataclasses.fields(RunMetrics)]
    widths = [13, 21, 18, 8, 10, 9, 6, 6, 8, 7, 9]
    titles = [
        'deployment', 'scenario', 'control', 'goodput', 'important',
        'recovery', 'worst', 'flat', 'refused', 'wasted', 'inverted',
    ]  # fmt: skip
    rows: list[list[str]] = [titles]
    for result in results:
        cells = [getattr(result, name) for name in names]
        rows.append([
            str(cell) if isinstance(cell, str) else f'{cell:.3f}'
            for cell in cells
        ])
    for row in rows:
        padded = map(str.ljust, row, widths)
        sys.stdout.write('{}\n'.format(' '.join(padded).rstrip()))


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--control', action='append', default=[])
    parser.add_argument('--scenario', action='append', default=[])
    parser.add_argument('--processes', type=int, default=8)
    parser.add_argument('--output', default='build/measures.json')
    return parser.parse_args()


def select_runs(options: argparse.Namespace) -> list[_RunArguments]:
    """Return the runs to simulate.

    Runs that differ only in their seed are adjacent.
    """
    controls = options.control or [item.name for item in CONTROLS]
    scenarios = options.scenario or [item.name for item in SCENARIOS]
    return list(
        itertools.product(
            DEPLOYMENTS,
            [item for item in SCENARIOS if item.name in scenarios],
            [item for item in CONTROLS if item.name in controls],
            range(options.seed, options.seed + options.seeds),
        ),
    )


def main() -> None:
    """Simulate all runs, print the table and write the metrics as JSON."""
    options = parse_options()
    with ProcessPoolExecutor(options.processes) as pool:
        runs = list(pool.map(measure, select_runs(options)))
    results = [
        average(runs[first : first + options.seeds])
        for first in range(0, len(runs), options.seeds)
    ]
    print_table(results)
    path = pathlib.Path(options.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    records = [dataclasses.asdict(result) for result in results]
    path.write_text(json.dumps(records, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
