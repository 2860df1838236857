"""Runs soak tests: ``python -m mustardshunt.standin.soak --seeds 50``."""

import argparse
import asyncio
import secrets
import sys
from typing import Final

from mustardshunt.standin.soak import SoakPlan, run_soak

MAX_VIOLATIONS_PRINTED: Final = 10


def main() -> int:
    """Run one soak for each seed.

    Returns 1 if a soak found a violation, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3, help='number of soaks')
    parser.add_argument(
        '--first', type=int, help='first seed; by default drawn at random'
    )
    parser.add_argument('--nodes', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=20.0)
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = secrets.randbelow(10**6)
    failed_soaks = 0
    for seed in range(first, first + options.seeds):
        plan = SoakPlan(
            seed,
            options.nodes,
            options.seconds,
            has_announcements=True,
            has_incidents=True,
        )
        result = asyncio.run(run_soak(plan))
        statuses = dict(sorted(result.statuses.items()))
        summary = (
            f'seed {seed}: {len(result.violations)} violations, '
            f'replies by status {statuses}'
        )
        _print_lines([summary])
        if not result.violations:
            continue
        failed_soaks += 1
        _print_lines([
            f'  {violation}'
            for violation in result.violations[:MAX_VIOLATIONS_PRINTED]
        ])
        _print_lines([f'  settings and logs in {result.directory}'])
        _print_lines([f'    {line}' for line in result.faults])
    return int(failed_soaks > 0)


def _print_lines(lines: list[str]) -> None:
    sys.stdout.writelines(f'{line}\n' for line in lines)
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
