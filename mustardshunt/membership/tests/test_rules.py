"""Tests of single rules of the membership, one event at a time."""

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


def make_with_records(*records):
    membership = make_membership(OWN, random.Random(1))
    membership.handle(RecordsArrived(records), 0.0)
    return membership


def report_link(membership, name, address, now=0.0):
    event = PeerLinked(Incarnation(name), address, opened_here=True)
    return membership.handle(event, now)


def test_other_member_at_own_address_is_gone():
    # Guards against a member that stays live after its process has ended. Only
    # one process can listen at an address, so another member with the address
    # of this node has ended.
    old = replace(PEER, address=OWN.address)
    actions = make_with_records().handle(RecordsArrived((old,)), 0.0)
    gone = replace(old, state=MemberState.GONE)
    assert MemberChanged(gone) in actions


def test_member_is_gone_when_another_answers_at_its_address():
    # Guards against calls that wait for a node whose process has ended, after
    # another process has started at the same address.
    assert GONE in report_link(make_with_records(PEER), 'new', PEER.address)


def test_gone_member_never_becomes_live():
    # Guards against a delayed record that makes a node live again after its
    # process has ended.
    membership = make_with_records(PEER, GONE.record)
    assert not membership.handle(
        RecordsArrived((replace(PEER, sequence=9),)), 0.0
    )


def test_silent_link_is_replaced():
    # Guards against keeping a connection on which no bytes arrive any more,
    # although a new connection to the same peer would work.
    membership = make_with_records(PEER)
    report_link(membership, 'peer', PEER.address)
    assert OpenLink(PEER.address, PEER.incarnation) not in membership.handle(
        MembershipTick(), 1.0
    )
    actions = membership.handle(MembershipTick(), 1.75)
    open_link = OpenLink(PEER.address, PEER.incarnation)
    index = actions.index(CloseLink(PEER.incarnation))
    assert actions[index + 1] == open_link
    assert not membership.snapshot().linked


def test_links_to_former_neighbours_are_closed():
    # Guards against links that accumulate as neighbours change.
    records = [record(f'peer{number}', number + 2) for number in range(30)]
    membership = make_with_records(*records)
    for item in records:
        report_link(membership, item.incarnation, item.address)
    closed = {
        action.peer
        for action in membership.handle(MembershipTick(), 0.5)
        if isinstance(action, CloseLink)
    }
    assert not closed.intersection(membership.neighbours())
    # This node monitors 3 of the 30 peers, and 3 others monitor it.
    assert len(closed) == 24


def test_pause_of_the_node_is_no_silence_of_its_peer():
    # Guards against a link that is closed because this node was paused and did
    # not read what the peer sent.
    membership = make_with_records(PEER)
    report_link(membership, 'peer', PEER.address)
    membership.handle(MembershipTick(), 0.5)
    assert CloseLink(PEER.incarnation) not in membership.handle(
        MembershipTick(), 8.0
    )
