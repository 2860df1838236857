"""Writes a session as text: time, event, decisions with reason, messages.

``python -m mustardshunt.rate.tests.golden_session`` shows the difference to
the golden file; with ``--update`` it writes the file anew.
"""

import difflib
import pathlib
import sys
from dataclasses import fields, is_dataclass

from mustardshunt.rate import ShareRowRead
from mustardshunt.rate._simulated_table_tasks import (
    declare_gone,
    start_table_tasks,
)
from mustardshunt.rate._simulation import FleetSimulation
from mustardshunt.rate._units import LEASE_SECONDS, RECLAIM_MARGIN_SECONDS
from mustardshunt.rate.measurement import FixedDelays
from mustardshunt.sheet import Organisation

PATH = pathlib.Path(__file__).with_name('session.txt')
QUIET = {
    'Tick',
    'EligibleHoldersChanged',
    'LeaseRenewed',
    'RebalanceDue',
    'RateLimitsChanged',
}


def describe(part):
    if is_dataclass(part):
        shown = (
            f'{one.name}={describe(getattr(part, one.name))}'
            for one in fields(part)
            if getattr(part, one.name) not in ((), '')
        )
        return f'{type(part).__name__}({", ".join(shown)})'
    if isinstance(part, dict):
        pairs = sorted(part.items())
        return '{' + ', '.join(f'{key}: {value}' for key, value in pairs) + '}'
    if isinstance(part, tuple):
        return '[' + ', '.join(describe(one) for one in part) + ']'
    return str(part)


class Recorder:
    """Writes a line for each event and each action."""

    def __init__(self):
        self.lines = []
        self.seen = set()

    def admitted(self, organisation, now):
        self.lines.append(f'{now:9.4f}    admitted {organisation}')

    def refused(self, action, now):
        """The action itself is written."""

    def handled(self, node, event, actions, now):
        kind = type(event).__name__
        is_known = False
        if isinstance(event, ShareRowRead):
            read = (node, event.row.partition, event.row.version)
            is_known = read in self.seen
            self.seen.add(read)
        if actions or not (kind in QUIET or is_known):
            self.lines.append(f'{now:9.4f} {node} {describe(event)}')
        for action in actions:
            self.lines.append(f'{"":9}    -> {describe(action)}')


def record_session():
    recorder = Recorder()
    world = FleetSimulation(
        FixedDelays(0.005), recorder, LEASE_SECONDS, RECLAIM_MARGIN_SECONDS
    )
    world.set_rates([Organisation('vitrina', 10, 3)])
    nodes = {}
    for name, place in (('a', 'east'), ('b', 'east'), ('c', 'west')):
        nodes[name] = world.start_node(name, place)
        start_table_tasks(world, nodes[name], 1)

    def note(text):
        recorder.lines.extend(('', f'# {text}'))

    note('The first row is written and read.')
    world.run_until(9)
    note('Four calls at a find three tokens.')
    for _ in range(4):
        world.call(nodes['a'], 'vitrina')
    world.run_until(9.5)
    note('West is cut off; a call at c finds its own part too small.')
    world.partitioned_data_centres = {'west'}
    world.call(nodes['c'], 'vitrina')
    world.run_until(9.7)
    note('The cut ends; b stops and gives its share to a.')
    world.partitioned_data_centres = set()
    nodes['b'].is_stopping = True
    world.run_until(14)
    note('b has stopped; c dies and is declared gone.')
    nodes['b'].is_alive = False
    nodes['c'].is_alive = False
    declare_gone(world, nodes['c'].name)
    world.run_until(19)
    note('A call at a is served from the reclaimed share.')
    world.call(nodes['a'], 'vitrina')
    world.run_until(19.2)
    return '\n'.join(recorder.lines) + '\n'


def compare():
    known = PATH.read_text() if PATH.exists() else ''
    return ''.join(
        difflib.unified_diff(
            known.splitlines(keepends=True),
            record_session().splitlines(keepends=True),
            'session.txt',
            'now',
        ),
    )


if __name__ == '__main__':
    sys.stdout.write(compare())
    if '--update' in sys.argv:
        PATH.write_text(record_session())
