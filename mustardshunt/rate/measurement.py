"""Measures how many calls are refused, in simulations in virtual time.

Run ``python -m mustardshunt.rate.measurement [NAME ...]``; without names, all
cases run. Each admitted call also takes a token from a simulated central bucket
with the whole rate and burst of the organisation. A refusal counts as incorrect
when the central bucket still has a token for the call. The column "wrongful %"
of the output is the percentage of all calls that were refused incorrectly.
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

_ORGANISATION: Final = 'vitrina'
# Interval between two readings of the share table by the same node.
_TABLE_PERIOD_SECONDS: Final = 20.0
_NEAR_DELAY_SECONDS: Final = 0.0005


@dataclass(frozen=True, slots=True)
class Case:
    """Settings of one measurement.

    Parameters
    ----------
    name : str
        Name of the case.
    data_centres, nodes : int
        Number of data centres, and number of nodes in each data centre.
    rate, burst : float
        Limits of the organisation: tokens per second, and most tokens at once.
    load : float
        Offered calls per second, as a multiple of the rate.
    lopsided : float, default=0.0
        Unevenness of the load: fraction of the calls that enter at nodes of the
        first data centre only. The other calls enter at any node.
    seconds : float, default=600.0
        Virtual duration of the measurement after the warm-up.
    fault : str, default=''
        Fault that is simulated after the warm-up. ``platform``: the table is
        unavailable all the time. ``holder``: one node with shares fails after
        60 s. ``data centre``: one data centre is out of service from 60 s to
        240 s. No fault by default.
    far_delay : float, default=0.0005
        Seconds for which a message between two data centres is delayed.
    entry_nodes : int or None, default=None
        Number of nodes at which calls enter; None for all nodes.
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
    far_delay: float = _NEAR_DELAY_SECONDS
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
    """Fault model in which messages are delayed by a fixed time only."""

    def __init__(self, far_delay: float) -> None:
        self.far_delay = far_delay

    def deliver(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return the delay of a message in seconds; no message is lost."""
        return (_NEAR_DELAY_SECONDS if sender == receiver else self.far_delay,)

    def commit(self) -> tuple[float | None, float | None]:
        """Return the delays in seconds of a table write and of its reply."""
        return (_NEAR_DELAY_SECONDS, _NEAR_DELAY_SECONDS)


class Tally:
    """Counts calls, and checks refusals against a central token bucket."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.admitted_count = 0
        self.refused_count = 0
        self.wrongful_count = 0
        self.request_count = 0
        self._level = burst
        self._updated_at = 0.0

    def admitted(self, organisation: str, now: float) -> None:
        """Count an admitted call and take a token from the central bucket."""
        self._advance(now)
        self._level -= 1
        self.admitted_count += 1

    def refused(self, action: RefuseWaitingCall, now: float) -> None:
        """Count a refused call.

        The refusal is incorrect when the central bucket has a token for the
        call.
        """
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
        """Count the token requests and usage reports sent to other nodes."""
        for action in actions:
            if isinstance(action, SendTokenRequest):
                self.request_count += action.holder != node

    def reset(self) -> None:
        """Set all counts to 0; the tokens of the central bucket stay."""
        self.admitted_count = 0
        self.refused_count = 0
        self.wrongful_count = 0
        self.request_count = 0

    def _advance(self, now: float) -> None:
        gained = self.rate * (now - self._updated_at)
        self._level = min(self.burst, self._level + gained)
        self._updated_at = now


def run_case(case: Case, tally: Tally | None = None) -> Tally:
    """Run the simulation of one case, always with the same random seed.

    Parameters
    ----------
    case : Case
        Settings of the measurement.
    tally : Tally or None, default=None
        Receives the counts; a new tally by default.

    Returns
    -------
    Tally
        Counts after the warm-up; earlier calls are left out.
    """
    rng = random.Random(1)
    tally = tally or Tally(case.rate, case.burst)
    simulation = FleetSimulation(
        FixedDelays(case.far_delay),
        tally,
        LEASE_SECONDS,
        RECLAIM_MARGIN_SECONDS,
    )
    simulation.set_rates([Organisation(_ORGANISATION, case.rate, case.burst)])
    for index in range(case.data_centres * case.nodes):
        name = f'dc{index % case.data_centres}'
        node = simulation.start_node(f'n{index}', name)
        start_table_tasks(simulation, node, _TABLE_PERIOD_SECONDS)
    # The warm-up lasts two readings of the table and 10 s. During the two
    # readings, one node writes the share row and all nodes read the row. In the
    # 10 s, the buckets fill.
    warm_up = 2 * _TABLE_PERIOD_SECONDS + 10
    simulation.run_until(warm_up)
    tally.reset()
    _schedule_fault(simulation, case)
    nodes = simulation.live_nodes()[: case.entry_nodes]
    simulation.schedule(
        0, partial(_send_next_call, simulation, case, rng, nodes)
    )
    simulation.run_until(warm_up + case.seconds)
    return tally


def _schedule_fault(simulation: FleetSimulation, case: Case) -> None:
    match case.fault:
        case 'platform':
            simulation.table.is_up = False
        case 'holder':
            simulation.schedule(60, partial(_kill_holder, simulation))
        case 'data centre':
            simulation.schedule(
                60,
                partial(_set_out_of_service, simulation, frozenset(('dc1',))),
            )
            simulation.schedule(
                240, partial(_set_out_of_service, simulation, frozenset())
            )


def _kill_holder(simulation: FleetSimulation) -> None:
    row = next(iter(simulation.table.row_by_partition.values()))
    holder = min(row.share_by_holder)
    simulation.node_by_name[holder].is_alive = False


def _set_out_of_service(
    simulation: FleetSimulation, data_centres: frozenset[str]
) -> None:
    simulation.out_of_service = data_centres


def _send_next_call(
    simulation: FleetSimulation,
    case: Case,
    rng: random.Random,
    nodes: Sequence[SimulatedNode],
) -> None:
    first = nodes[:: case.data_centres]
    chosen = first if rng.random() < case.lopsided else nodes
    node = rng.choice(chosen)
    # When the chosen node has failed or is out of service, the caller uses
    # another node.
    while not node.is_alive or node.data_centre in simulation.out_of_service:
        node = rng.choice(nodes)
    simulation.call(node, _ORGANISATION)
    simulation.schedule(
        rng.expovariate(case.rate * case.load),
        partial(_send_next_call, simulation, case, rng, nodes),
    )


def main(names: Sequence[str]) -> None:
    """Run cases and print one line of results for each case.

    Parameters
    ----------
    names : sequence of str
        Names of the cases to run; all when empty.
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
            f'{tally.request_count / calls:10.2f}',
        )


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
