"""Golden session of three nodes: boot, crash, pause, drain, replacement."""

import pathlib

from mustardshunt.base import MemberState
from mustardshunt.base.tests.golden import Recorder
from mustardshunt.membership import MembershipTick, PeerHeard
from mustardshunt.membership.tests.network import Network

PATH = pathlib.Path(__file__).with_name('golden') / 'session.txt'


class RecordedNetwork(Network):
    """A network that writes down all but ticks, pings and traffic."""

    def __init__(self):
        super().__init__()
        self.recorder = Recorder()

    def note(self, text):
        self.recorder.note(text)

    def feed(self, name, event):
        seen = name in self.fleets and name not in self.paused
        if seen and not isinstance(event, (MembershipTick, PeerHeard)):
            self.recorder.now = self.now
            self.recorder.event(name, event)
        super().feed(name, event)

    def act(self, name, action, before):
        if type(action).__name__ != 'PingPeer':
            self.recorder.now = self.now
            self.recorder.action(name, action)
        super().act(name, action, before)


def record_session():
    network = RecordedNetwork()
    network.note('a boots alone, b knows a, c knows b')
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
