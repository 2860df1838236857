"""Nodes with the real aggregate over a network in virtual time."""

import heapq
import random
from collections import Counter

from mustardshunt.base import (
    Incarnation,
    MemberRecord,
    MemberState,
    VmAddress,
)
from mustardshunt.membership import (
    CloseLink,
    MemberChanged,
    MembershipTick,
    OpenLink,
    OwnStateChanged,
    PeerHeard,
    PeerLinked,
    PeerUnlinked,
    PingPeer,
    RecordsArrived,
    SendRecords,
    make_membership,
    record_order,
)

DELAY = 0.0005
TICK = 0.25


def cbor_size(record):
    """Return the bytes of a record as a CBOR array of short fields."""
    address = record.address
    texts = (
        record.incarnation,
        record.data_centre,
        record.service,
        record.state,
        address.host,
    )
    # One byte each for the array and short texts, three for a number.
    return 1 + sum(1 + len(text) for text in texts) + 2 * 3


class Network:
    """Frames are functions in a heap; ``cut`` drops those of given pairs."""

    def __init__(self, seed=1, *, checks=True):
        self.checks = checks
        self.random = random.Random(seed)
        self.now, self.order = 0.0, 0
        self.heap = []
        self.fleets, self.paused = {}, {}
        self.links = set()
        self.cut = set()
        self.frames, self.sizes = Counter(), Counter()
        self.changes = []

    def add(self, name, place='dc1', host=None, seeds=()):
        address = VmAddress(host or f'10.0.0.{len(self.fleets)}', 7000)
        own = MemberRecord(
            Incarnation(name), 1, place, 's', MemberState.READY, address
        )
        self.fleets[name] = make_membership(own, random.Random(name))
        records = tuple(self.fleets[seed].own for seed in seeds)
        self.feed(name, RecordsArrived(records))
        self.at(self.random.random() * TICK, self.tick, name)

    def at(self, delay, step, *details):
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay, self.order, step, details))

    def run(self, seconds):
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, step, details = heapq.heappop(self.heap)
            step(*details)
        self.now = end

    def tick(self, name):
        if name not in self.fleets:
            return
        self.feed(name, MembershipTick())
        self.at(TICK, self.tick, name)

    def feed(self, name, event):
        waiting = self.paused.get(name)
        if waiting is not None:
            waiting.append(event)
            return
        if name not in self.fleets:
            return
        fleet = self.fleets[name]
        known = fleet.snapshot().records if self.checks else ()
        before = {record.incarnation: record for record in known}
        for action in fleet.handle(event, self.now):
            self.act(name, action, before)

    def act(self, name, action, before):
        match action:
            case SendRecords(peer, records):
                event = RecordsArrived(records, Incarnation(name))
                size = sum(map(cbor_size, records))
                self.send('records', name, peer, event, size)
            case PingPeer(peer):
                self.send('ping', name, peer, PeerHeard(Incarnation(name)), 4)
            case OpenLink(address, _):
                self.at(3 * DELAY, self.connect, name, address)
            case CloseLink(peer):
                self.unlink(name, peer)
            case MemberChanged(record):
                self.check_rise(before, record)
                self.changes.append((self.now, name, record))

    def check_rise(self, before, record):
        known = before.get(record.incarnation)
        if known is not None:
            assert record_order(record) > record_order(known)

    def send(self, kind, name, peer, event, size):
        self.frames[kind] += 1
        self.sizes[kind] += size
        if (name, peer) not in self.cut:
            self.at(DELAY, self.arrive, kind, name, peer, event)

    def arrive(self, kind, name, peer, event):
        if frozenset((name, peer)) not in self.links:
            return
        self.feed(peer, PeerHeard(Incarnation(name)))
        if kind == 'ping' and peer in self.fleets and peer not in self.paused:
            pong = PeerHeard(Incarnation(peer))
            self.send('pong', peer, name, pong, 4)
        self.feed(peer, event)

    def connect(self, name, address):
        peer = next(
            (
                other
                for other, fleet in self.fleets.items()
                if fleet.own.address == address
            ),
            None,
        )
        if peer is None or name not in self.fleets or peer in self.paused:
            return
        if {(name, peer), (peer, name)} & self.cut:
            return
        self.links.add(frozenset((name, peer)))
        self.link(name, peer, opened_here=True)
        self.link(peer, name, opened_here=False)

    def link(self, name, peer, *, opened_here):
        address = self.fleets[peer].own.address
        event = PeerLinked(Incarnation(peer), address, opened_here)
        self.feed(name, event)

    def unlink(self, name, peer):
        if frozenset((name, peer)) in self.links:
            self.links.discard(frozenset((name, peer)))
            self.feed(name, PeerUnlinked(Incarnation(peer)))
            self.feed(peer, PeerUnlinked(Incarnation(name)))

    def crash(self, name, *, resets=False):
        self.fleets.pop(name)
        lost = {pair for pair in self.links if name in pair}
        self.links -= lost
        for peer in sorted(frozenset().union(*lost) - {name}):
            if resets:
                self.feed(peer, PeerUnlinked(Incarnation(name)))

    def pause(self, name):
        self.paused.setdefault(name, [])

    def resume(self, name):
        for event in self.paused.pop(name, ()):
            self.feed(name, event)

    def change(self, name, state):
        self.feed(name, OwnStateChanged(state, 's'))

    def records_at(self, name):
        return self.fleets[name].snapshot().records

    def state_at(self, name, peer):
        for record in self.records_at(name):
            if record.incarnation == peer:
                return record.state
        return None

    def said(self, state):
        """Return the changes to a state, for the tests to count."""
        return [item for item in self.changes if item[2].state is state]
