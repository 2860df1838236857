"""Records the events and actions of three simulated nodes as text.

The sequence of events is fixed: the nodes start; one node drains and is paused
later; another node crashes and is replaced. A test compares the text with the
stored text in ``golden/session.txt`` (the golden file).
"""

import pathlib

from mustardshunt.base import MemberState
from mustardshunt.base.tests.golden import Recorder
from mustardshunt.membership import MembershipTick, PeerHeard
from mustardshunt.membership.tests.network import Network

PATH = pathlib.Path(__file__).with_name('golden') / 'session.txt'


class RecordedNetwork(Network):
    """A network that records all events and actions except ticks and pings."""

    def __init__(self):
        super().__init__()
        self.recorder = Recorder()

    def note(self, text):
        self.recorder.note(text)

    def handle(self, name, event):
        is_handled = (
            name in self.membership_by_name
            and name not in self.paused_events_by_name
        )
        if is_handled and not isinstance(event, (MembershipTick, PeerHeard)):
            self.recorder.now = self.now
            self.recorder.event(name, event)
        super().handle(name, event)

    def perform(self, name, action, before):
        if type(action).__name__ != 'PingPeer':
            self.recorder.now = self.now
            self.recorder.action(name, action)
        super().perform(name, action, before)


def record_session():
    network = RecordedNetwork()
    network.note('a starts alone, b knows a, c knows b')
    network.add('a')
    network.add('b', seeds=('a',))
    network.add('c', seeds=('b',))
    network.run(4.0)
    network.note('b drains')
    network.change('b', MemberState.DRAINING)
    network.run(1.0)
    network.note('c crashes')
    network.crash('c')
    network.run(5.0)
    network.note('b is paused for 6 s')
    network.pause('b')
    network.run(6.0)
    network.resume('b')
    network.run(2.0)
    network.note('d starts at the address of c')
    network.add('d', host='10.0.0.2', seeds=('a',))
    network.run(2.0)
    return network.recorder.text()
