"""Records the events and actions of three simulated nodes as text.

The simulation runs a fixed sequence of events. The text states the time, the
node, the event and the resulting actions. A test compares the text with the
stored text in ``session.txt`` (the golden file).

``python -m mustardshunt.rate.tests.golden_session`` shows the differences
between the golden file and the current text. With ``--update``, the command
also overwrites the file with the current text.
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
ROUTINE_EVENTS = {
    'Tick',
    'EligibleHoldersChanged',
    'LeaseRenewed',
    'RebalanceDue',
    'RateLimitsChanged',
}


def format_value(record):
    if is_dataclass(record):
        shown = (
            f'{item.name}={format_value(getattr(record, item.name))}'
            for item in fields(record)
            if getattr(record, item.name) not in ((), '')
        )
        return f'{type(record).__name__}({", ".join(shown)})'
    if isinstance(record, dict):
        pairs = sorted(record.items())
        return '{' + ', '.join(f'{key}: {value}' for key, value in pairs) + '}'
    if isinstance(record, tuple):
        return '[' + ', '.join(format_value(item) for item in record) + ']'
    return str(record)


class Recorder:
    """Records a line for each event and each action.

    Routine events, and repeated readings of a row, are recorded only when they
    result in an action.
    """

    def __init__(self):
        self.lines = []
        self.recorded_rows = set()

    def admitted(self, organisation, now):
        self.lines.append(f'{now:9.4f}    admitted {organisation}')

    def refused(self, action, now):
        """Records nothing, because ``handled`` already records the refusal."""

    def handled(self, node, event, actions, now):
        kind = type(event).__name__
        is_repeated = False
        if isinstance(event, ShareRowRead):
            row_id = (node, event.row.partition, event.row.version)
            is_repeated = row_id in self.recorded_rows
            self.recorded_rows.add(row_id)
        if actions or not (kind in ROUTINE_EVENTS or is_repeated):
            self.lines.append(f'{now:9.4f} {node} {format_value(event)}')
        for action in actions:
            self.lines.append(f'{"":9}    -> {format_value(action)}')


def record_session():
    recorder = Recorder()
    simulation = FleetSimulation(
        FixedDelays(0.005), recorder, LEASE_SECONDS, RECLAIM_MARGIN_SECONDS
    )
    simulation.set_rates([Organisation('vitrina', 10, 3)])
    nodes = {}
    for name, data_centre in (('a', 'east'), ('b', 'east'), ('c', 'west')):
        nodes[name] = simulation.start_node(name, data_centre)
        start_table_tasks(simulation, nodes[name], 1)

    def add_heading(text):
        recorder.lines.extend(('', f'# {text}'))

    add_heading('The first row is written and read.')
    simulation.run_until(9)
    add_heading('Four calls at a find three tokens.')
    for _ in range(4):
        simulation.call(nodes['a'], 'vitrina')
    simulation.run_until(9.5)
    add_heading('West is cut off; a call at c finds its own part too small.')
    simulation.partitioned_data_centres = {'west'}
    simulation.call(nodes['c'], 'vitrina')
    simulation.run_until(9.7)
    add_heading('The cut ends; b stops and gives its share to a.')
    simulation.partitioned_data_centres = set()
    nodes['b'].is_stopping = True
    simulation.run_until(14)
    add_heading('b has stopped; c dies and is declared gone.')
    nodes['b'].is_alive = False
    nodes['c'].is_alive = False
    declare_gone(simulation, nodes['c'].name)
    simulation.run_until(19)
    add_heading('A call at a is served from the reclaimed share.')
    simulation.call(nodes['a'], 'vitrina')
    simulation.run_until(19.2)
    return '\n'.join(recorder.lines) + '\n'


def compare():
    expected = PATH.read_text() if PATH.exists() else ''
    return ''.join(
        difflib.unified_diff(
            expected.splitlines(keepends=True),
            record_session().splitlines(keepends=True),
            'session.txt',
            'now',
        ),
    )


if __name__ == '__main__':
    sys.stdout.write(compare())
    if '--update' in sys.argv:
        PATH.write_text(record_session())
