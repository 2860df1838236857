"""Plays soaks by hand: ``python -m mustardshunt.standin.soak --seeds 50``."""

import argparse
import asyncio
import secrets
import sys
from typing import Final

from mustardshunt.standin.soak import SoakPlan, run_soak

MAX_VIOLATIONS_PRINTED: Final = 10


def main() -> int:
    """Play seeds one after the other; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3, help='number of soaks')
    parser.add_argument('--first', type=int, help='first seed, else drawn')
    parser.add_argument('--nodes', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=20.0)
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = secrets.randbelow(10**6)
    broken = 0
    for seed in range(first, first + options.seeds):
        plan = SoakPlan(seed, options.nodes, options.seconds)
        result = asyncio.run(run_soak(plan))
        statuses = dict(sorted(result.statuses.items()))
        told = f'seed {seed}: {len(result.violations)} broken, {statuses}'
        _tell([told])
        if not result.violations:
            continue
        broken += 1
        _tell([
            f'  {breach}'
            for breach in result.violations[:MAX_VIOLATIONS_PRINTED]
        ])
        _tell([f'  logs in {result.directory}'])
        _tell([f'    {line}' for line in result.faults])
    return int(broken > 0)


def _tell(lines: list[str]) -> None:
    sys.stdout.writelines(f'{line}\n' for line in lines)
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
