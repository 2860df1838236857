"""Simulation of nodes in virtual time, with the production membership code.

Times are in seconds, sizes in bytes.
"""

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

DELAY_SECONDS = 0.0005
TICK_SECONDS = 0.25


def cbor_size(record):
    """Return the size of a record as a CBOR array of short fields, in bytes."""
    address = record.address
    texts = (
        record.incarnation,
        record.data_centre,
        record.service,
        record.state,
        address.host,
    )
    # The header of the array takes one byte, the header of each short text one
    # byte, and each of the two numbers three bytes.
    return 1 + sum(1 + len(text) for text in texts) + 2 * 3


class Network:
    """Simulated network: nodes, links and frames in transit.

    ``heap`` holds the functions to call, sorted by time. ``blocked_pairs``
    holds pairs of node names: frames from the first node of a pair to the
    second node are dropped.
    """

    def __init__(self, seed=1, *, check_records=True):
        self.check_records = check_records
        self.random = random.Random(seed)
        self.now, self.event_count = 0.0, 0
        self.heap = []
        self.membership_by_name, self.paused_events_by_name = {}, {}
        self.links = set()
        self.blocked_pairs = set()
        self.frames_by_kind, self.bytes_by_kind = Counter(), Counter()
        self.changes = []

    def add(self, name, data_centre='dc1', host=None, seeds=()):
        address = VmAddress(
            host or f'10.0.0.{len(self.membership_by_name)}', 7000
        )
        own = MemberRecord(
            Incarnation(name), 1, data_centre, 's', MemberState.READY, address
        )
        self.membership_by_name[name] = make_membership(
            own, random.Random(name)
        )
        records = tuple(self.membership_by_name[seed].own for seed in seeds)
        self.handle(name, RecordsArrived(records))
        self.schedule(self.random.random() * TICK_SECONDS, self.tick, name)

    def schedule(self, delay, step, *details):
        self.event_count += 1
        heapq.heappush(
            self.heap, (self.now + delay, self.event_count, step, details)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, step, details = heapq.heappop(self.heap)
            step(*details)
        self.now = end

    def tick(self, name):
        if name not in self.membership_by_name:
            return
        self.handle(name, MembershipTick())
        self.schedule(TICK_SECONDS, self.tick, name)

    def handle(self, name, event):
        paused_events = self.paused_events_by_name.get(name)
        if paused_events is not None:
            paused_events.append(event)
            return
        if name not in self.membership_by_name:
            return
        membership = self.membership_by_name[name]
        known = membership.snapshot().records if self.check_records else ()
        before = {record.incarnation: record for record in known}
        for action in membership.handle(event, self.now):
            self.perform(name, action, before)

    def perform(self, name, action, before):
        match action:
            case SendRecords(peer, records):
                event = RecordsArrived(records, Incarnation(name))
                size = sum(map(cbor_size, records))
                self.send('records', name, peer, event, size)
            case PingPeer(peer):
                self.send('ping', name, peer, PeerHeard(Incarnation(name)), 4)
            case OpenLink(address, _):
                self.schedule(3 * DELAY_SECONDS, self.connect, name, address)
            case CloseLink(peer):
                self.unlink(name, peer)
            case MemberChanged(record):
                self.check_newer(before, record)
                self.changes.append((self.now, name, record))

    def check_newer(self, before, record):
        known = before.get(record.incarnation)
        if known is not None:
            assert record_order(record) > record_order(known)

    def send(self, kind, name, peer, event, size):
        self.frames_by_kind[kind] += 1
        self.bytes_by_kind[kind] += size
        if (name, peer) not in self.blocked_pairs:
            self.schedule(DELAY_SECONDS, self.arrive, kind, name, peer, event)

    def arrive(self, kind, name, peer, event):
        if frozenset((name, peer)) not in self.links:
            return
        self.handle(peer, PeerHeard(Incarnation(name)))
        if (
            kind == 'ping'
            and peer in self.membership_by_name
            and peer not in self.paused_events_by_name
        ):
            pong = PeerHeard(Incarnation(peer))
            self.send('pong', peer, name, pong, 4)
        self.handle(peer, event)

    def connect(self, name, address):
        peer = next(
            (
                other
                for other, membership in self.membership_by_name.items()
                if membership.own.address == address
            ),
            None,
        )
        if (
            peer is None
            or name not in self.membership_by_name
            or peer in self.paused_events_by_name
        ):
            return
        if {(name, peer), (peer, name)} & self.blocked_pairs:
            return
        self.links.add(frozenset((name, peer)))
        self.link(name, peer, opened_here=True)
        self.link(peer, name, opened_here=False)

    def link(self, name, peer, *, opened_here):
        address = self.membership_by_name[peer].own.address
        event = PeerLinked(Incarnation(peer), address, opened_here)
        self.handle(name, event)

    def unlink(self, name, peer):
        if frozenset((name, peer)) in self.links:
            self.links.discard(frozenset((name, peer)))
            self.handle(name, PeerUnlinked(Incarnation(peer)))
            self.handle(peer, PeerUnlinked(Incarnation(name)))

    def crash(self, name, *, resets=False):
        self.membership_by_name.pop(name)
        lost = {pair for pair in self.links if name in pair}
        self.links -= lost
        for peer in sorted(frozenset().union(*lost) - {name}):
            if resets:
                self.handle(peer, PeerUnlinked(Incarnation(name)))

    def pause(self, name):
        self.paused_events_by_name.setdefault(name, [])

    def resume(self, name):
        for event in self.paused_events_by_name.pop(name, ()):
            self.handle(name, event)

    def change(self, name, state):
        self.handle(name, OwnStateChanged(state, 's'))

    def records_at(self, name):
        return self.membership_by_name[name].snapshot().records

    def state_at(self, name, peer):
        for record in self.records_at(name):
            if record.incarnation == peer:
                return record.state
        return None

    def changes_to(self, state):
        """Return the recorded changes to a state, of any member at any node.

        Each change is a tuple: the time in seconds, the name of the node that
        reported the change, and the new record of the changed member.
        """
        return [item for item in self.changes if item[2].state is state]
