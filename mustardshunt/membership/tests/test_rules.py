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
    # Only one process can listen at an address. When a record shows another
    # member at the address of this node, the process of that member has ended,
    # and the member must count as gone.
    old = replace(PEER, address=OWN.address)
    actions = make_with_records().handle(RecordsArrived((old,)), 0.0)
    gone = replace(old, state=MemberState.GONE)
    assert MemberChanged(gone) in actions


def test_member_is_gone_when_another_answers_at_its_address():
    # When another process answers at the address of a member, the process of
    # that member has ended, and the member must count as gone. Otherwise calls
    # would wait for answers of the ended process.
    assert GONE in report_link(make_with_records(PEER), 'new', PEER.address)


def test_gone_member_never_becomes_live():
    # A delayed record must not make a gone member live again: the process of
    # the member has ended.
    membership = make_with_records(PEER, GONE.record)
    assert not membership.handle(
        RecordsArrived((replace(PEER, sequence=9),)), 0.0
    )


def test_silent_link_is_replaced():
    # When no bytes arrive on a link any more, the link must be closed and a new
    # link to the same peer opened. A new connection may work although the old
    # connection does not.
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
    # Links to former neighbours must be closed; otherwise the number of links
    # would grow with each change of neighbours.
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
    # A paused node does not read what its peers send. After the pause, the node
    # must not count the pause as silence of a peer and close the link.
    membership = make_with_records(PEER)
    report_link(membership, 'peer', PEER.address)
    membership.handle(MembershipTick(), 0.5)
    assert CloseLink(PEER.incarnation) not in membership.handle(
        MembershipTick(), 8.0
    )
