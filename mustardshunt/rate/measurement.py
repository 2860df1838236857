"""Measures refused calls in virtual time.

Run ``python -m mustardshunt.rate.measurement [NAME ...]``; without names all
cases run. A refusal is wrongful when one central bucket, charged with the
calls that were admitted, still had a token.
"""

import random
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import RefuseWaitingCall, SendTokenRequest
from mustardshunt.rate._simulated_table_tasks import start_table_tasks
from mustardshunt.rate._simulation import (
    Action,
    Event,
    FleetSimulation,
    SimulatedNode,
)
from mustardshunt.rate._units import LEASE_SECONDS, RECLAIM_MARGIN_SECONDS
from mustardshunt.sheet import Organisation

_NAME: Final = 'vitrina'
# Seconds between a node's readings of the table.
_PERIOD: Final = 20.0
_NEAR_DELAY: Final = 0.0005


@dataclass(frozen=True, slots=True)
class Case:
    """One measurement.

    Parameters
    ----------
    name : str
        Name of the case.
    data_centres, nodes : int
        Data centres, and nodes in each.
    rate, burst : float
        Limits of the organisation.
    load : float
        Offered calls as a part of the rate.
    lopsided : float, default=0.0
        Part of the calls that enter at the first data centre in any case.
    seconds : float, default=600.0
        Length of the measurement after the warm-up.
    fault : str, default=''
        ``platform`` (away all the time), ``holder`` (one dies after a
        minute), or ``data centre`` (out after a minute, back after four).
    far_delay : float, default=0.0005
        Delay between data centres.
    entry_nodes : int or None, default=None
        Nodes at which calls enter; all by default.
    """

    name: str
    data_centres: int
    nodes: int
    rate: float
    burst: float
    load: float
    lopsided: float = 0.0
    seconds: float = 600.0
    fault: str = ''
    far_delay: float = _NEAR_DELAY
    entry_nodes: int | None = None


CASES: Final = (
    Case('even', 3, 4, 100, 100, 0.9),
    Case('lopsided', 3, 4, 100, 100, 0.9, lopsided=1.0),
    Case('regions-lopsided', 7, 4, 100, 100, 0.9, 1.0, far_delay=0.02),
    Case('platform-up', 3, 4, 50, 50, 0.9, 0.5),
    Case('platform-hour', 3, 4, 50, 50, 0.9, 0.5, 3600, 'platform'),
    Case('holder-dies', 3, 4, 100, 100, 0.8, fault='holder'),
    Case('data-centre', 3, 4, 100, 100, 0.8, fault='data centre'),
    Case('rate-1-half', 3, 4, 1, 2, 0.5, seconds=10000),
    Case('rate-1-third', 4, 4, 1, 2, 0.3, seconds=10000),
    Case('rate-5-half', 3, 4, 5, 5, 0.5, seconds=3000),
    Case('rate-5-most', 4, 4, 5, 5, 0.8, seconds=3000),
    Case('rate-5-regions', 7, 2, 5, 5, 0.5, seconds=3000, far_delay=0.02),
    Case('middle-lopsided', 3, 4, 40, 40, 0.9, 1.0),
    Case('middle-regions', 7, 4, 90, 90, 0.9, 0.5, 120, far_delay=0.02),
    Case('overload', 3, 4, 100, 100, 3, seconds=120),
    Case('full-scale', 7, 134, 2000, 2000, 0.9, seconds=20, far_delay=0.02),
    Case('full-scale-small', 7, 134, 5, 5, 0.5, seconds=300, far_delay=0.02),
)


class FixedDelays:
    """No loss; a fixed delay within and between data centres."""

    def __init__(self, far_delay: float) -> None:
        self.far_delay = far_delay

    def deliver(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return one copy's delay."""
        return (_NEAR_DELAY if sender == receiver else self.far_delay,)

    def commit(self) -> tuple[float | None, float | None]:
        """Return the delays of a write and of its answer."""
        return (_NEAR_DELAY, _NEAR_DELAY)


class Tally:
    """Counts calls and charges a central bucket with those admitted."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.admitted_count = 0
        self.refused_count = 0
        self.wrongful_count = 0
        self.ask_count = 0
        self._level = burst
        self._updated_at = 0.0

    def admitted(self, organisation: str, now: float) -> None:
        """Charge the central bucket."""
        self._advance(now)
        self._level -= 1
        self.admitted_count += 1

    def refused(self, action: RefuseWaitingCall, now: float) -> None:
        """Count a refusal, as wrongful if the central bucket had a token."""
        self._advance(now)
        self.refused_count += 1
        self.wrongful_count += self._level >= 1

    def handled(
        self,
        node: Incarnation,
        event: Event,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        """Count asks and reports."""
        for action in actions:
            if isinstance(action, SendTokenRequest):
                self.ask_count += action.holder != node

    def reset(self) -> None:
        """Forget what was counted during the warm-up."""
        self.admitted_count = 0
        self.refused_count = 0
        self.wrongful_count = 0
        self.ask_count = 0

    def _advance(self, now: float) -> None:
        gained = self.rate * (now - self._updated_at)
        self._level = min(self.burst, self._level + gained)
        self._updated_at = now


def run_case(case: Case, tally: Tally | None = None) -> Tally:
    """Run one measurement from a fixed seed.

    Parameters
    ----------
    case : Case
        What to run.
    tally : Tally or None, default=None
        Counts what happens; a new one by default.

    Returns
    -------
    Tally
        The counts.
    """
    source = random.Random(1)
    tally = tally or Tally(case.rate, case.burst)
    world = FleetSimulation(
        FixedDelays(case.far_delay),
        tally,
        LEASE_SECONDS,
        RECLAIM_MARGIN_SECONDS,
    )
    world.set_rates([Organisation(_NAME, case.rate, case.burst)])
    for index in range(case.data_centres * case.nodes):
        name = f'dc{index % case.data_centres}'
        node = world.start_node(f'n{index}', name)
        start_table_tasks(world, node, _PERIOD)
    # Two readings of the table create and spread the row; then buckets fill.
    warm_up = 2 * _PERIOD + 10
    world.run_until(warm_up)
    tally.reset()
    _schedule_fault(world, case)
    nodes = world.live_nodes()[: case.entry_nodes]
    world.schedule(0, partial(_call_again, world, case, source, nodes))
    world.run_until(warm_up + case.seconds)
    return tally


def _schedule_fault(world: FleetSimulation, case: Case) -> None:
    match case.fault:
        case 'platform':
            world.table.is_up = False
        case 'holder':
            world.schedule(60, partial(_kill_holder, world))
        case 'data centre':
            world.schedule(60, partial(_set_out, world, frozenset(('dc1',))))
            world.schedule(240, partial(_set_out, world, frozenset()))


def _kill_holder(world: FleetSimulation) -> None:
    row = next(iter(world.table.row_by_partition.values()))
    holder = min(row.share_by_holder)
    world.node_by_name[holder].is_alive = False


def _set_out(world: FleetSimulation, out: frozenset[str]) -> None:
    world.out_of_service = out


def _call_again(
    world: FleetSimulation,
    case: Case,
    source: random.Random,
    nodes: Sequence[SimulatedNode],
) -> None:
    first = nodes[:: case.data_centres]
    chosen = first if source.random() < case.lopsided else nodes
    node = source.choice(chosen)
    # Callers of a dead or leaving node go to another one.
    while not node.is_alive or node.data_centre in world.out_of_service:
        node = source.choice(nodes)
    world.call(node, _NAME)
    world.schedule(
        source.expovariate(case.rate * case.load),
        partial(_call_again, world, case, source, nodes),
    )


def main(names: Sequence[str]) -> None:
    """Run the named cases, or all, and print one line each.

    Parameters
    ----------
    names : sequence of str
        Names of cases.
    """
    header = ('case', 'calls', 'refused %', 'wrongful %', 'asks/call')
    _print_line('{:18} {:>8} {:>10} {:>10} {:>10}'.format(*header))
    for case in CASES:
        if names and case.name not in names:
            continue
        tally = run_case(case)
        calls = tally.admitted_count + tally.refused_count
        _print_line(
            f'{case.name:18} {calls:8} '
            f'{tally.refused_count / calls:10.3%} '
            f'{tally.wrongful_count / calls:10.3%} '
            f'{tally.ask_count / calls:10.2f}',
        )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
