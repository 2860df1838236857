"""Guards rules that the network of nodes covers more than once."""

import random
from dataclasses import replace

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
    PeerLinked,
    RecordsArrived,
    make_membership,
)


def record(name, port):
    address = VmAddress('127.0.0.1', port)
    ready = MemberState.READY
    return MemberRecord(Incarnation(name), 1, 'dc1', 's', ready, address)


OWN, PEER = record('own', 1), record('peer', 2)
GONE = MemberChanged(replace(PEER, state=MemberState.GONE))


def make(*records):
    fleet = make_membership(OWN, random.Random(1))
    fleet.handle(RecordsArrived(records), 0.0)
    return fleet


def link(fleet, name, address, now=0.0):
    event = PeerLinked(Incarnation(name), address, opened_here=True)
    return fleet.handle(event, now)


def test_other_member_at_the_own_address_is_gone():
    # Only one process can listen there, so the old one has ended.
    old = replace(PEER, address=OWN.address)
    actions = make().handle(RecordsArrived((old,)), 0.0)
    gone = replace(old, state=MemberState.GONE)
    assert MemberChanged(gone) in actions


def test_member_is_gone_when_another_answers_at_its_address():
    # Its calls must not wait for an incarnation that has ended.
    assert GONE in link(make(PEER), 'new', PEER.address)


def test_gone_is_final():
    # A late record must not bring an ended incarnation back.
    fleet = make(PEER, GONE.record)
    assert not fleet.handle(RecordsArrived((replace(PEER, sequence=9),)), 0.0)


def test_silent_link_is_replaced():
    # Old connections may stay silent while new ones work.
    fleet = make(PEER)
    link(fleet, 'peer', PEER.address)
    assert OpenLink(PEER.address, PEER.incarnation) not in fleet.handle(
        MembershipTick(), 1.0
    )
    actions = fleet.handle(MembershipTick(), 1.75)
    opening = OpenLink(PEER.address, PEER.incarnation)
    place = actions.index(CloseLink(PEER.incarnation))
    assert actions[place + 1] == opening
    assert not fleet.snapshot().linked


def test_link_that_nobody_needs_is_closed():
    # Links must not pile up as the ring changes.
    records = [record(f'peer{number}', number + 2) for number in range(30)]
    fleet = make(*records)
    for item in records:
        link(fleet, item.incarnation, item.address)
    closed = {
        action.peer
        for action in fleet.handle(MembershipTick(), 0.5)
        if isinstance(action, CloseLink)
    }
    assert not closed.intersection(fleet.neighbours())
    # 3 are watched by this node and 3 others watch it.
    assert len(closed) == 24


def test_node_that_was_paused_excuses_its_peer():
    # The silence was its own, and the peer may have sent all the time.
    fleet = make(PEER)
    link(fleet, 'peer', PEER.address)
    fleet.handle(MembershipTick(), 0.5)
    assert CloseLink(PEER.incarnation) not in fleet.handle(
        MembershipTick(), 8.0
    )
