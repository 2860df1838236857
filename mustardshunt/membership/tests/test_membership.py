"""Tests of failure detection, gossip and the return of members."""

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardshunt.base import MemberState, VmAddress
from mustardshunt.membership import make_address_search
from mustardshunt.membership.tests.network import Network

NAMES = tuple(f'n{number}' for number in range(8))


def make_network(names=NAMES, data_centres=('dc1', 'dc2')):
    network = Network()
    for number, name in enumerate(names):
        data_centre = data_centres[number % len(data_centres)]
        network.add(name, data_centre, seeds=names[max(number - 1, 0) : number])
    network.run(5.0)
    return network


def check_agreement(network):
    snapshots = {
        network.records_at(name) for name in network.membership_by_name
    }
    assert len(snapshots) == 1, 'nodes hold different member records'


def suspected(network):
    return {
        item[2].incarnation for item in network.changes_to(MemberState.SUSPECT)
    }


def test_nodes_learn_all_members_from_one_peer():
    # While the platform is unavailable, a starting node knows only one peer.
    # All nodes must still learn of all members through gossip.
    network = make_network()
    check_agreement(network)
    assert len(network.records_at('n0')) == len(NAMES)
    assert not network.changes_to(MemberState.SUSPECT)


def test_change_crosses_each_link_at_most_twice():
    # A changed record must cross each link at most twice. Records that are sent
    # again and again would overload the links.
    network = make_network()
    before = network.frames_by_kind['records']
    network.change('n0', MemberState.DRAINING)
    network.run(0.1)
    assert network.state_at('n7', 'n0') is MemberState.DRAINING
    assert network.frames_by_kind['records'] - before <= 2 * len(network.links)


def test_crashed_member_is_suspect_then_silent_then_dropped():
    # A crashed member must be suspect after 3 s and silent after 5.5 s, so that
    # the member gets no new work. Later, its record must be dropped; otherwise
    # records would accumulate.
    network = make_network()
    network.crash('n3')
    network.run(3.0)
    assert network.state_at('n0', 'n3') is MemberState.SUSPECT
    network.run(2.5)
    assert network.state_at('n0', 'n3') is MemberState.SILENT
    network.run(605.0)
    assert network.state_at('n0', 'n3') is None
    check_agreement(network)


def test_paused_member_is_ready_again():
    # After a paused process has resumed, its member must be ready again at all
    # nodes and must not stay silent.
    network = make_network()
    network.pause('n3')
    network.run(8.0)
    assert network.state_at('n0', 'n3') is MemberState.SILENT
    network.resume('n3')
    network.run(10.0)
    assert network.state_at('n0', 'n3') is MemberState.READY
    # The paused member must not suspect the others because of its own pause.
    assert suspected(network) == {'n3'}
    check_agreement(network)


def test_member_unreachable_from_one_node_stays_live():
    # One faulty link must not make a member silent while other nodes receive
    # bytes from the member. The number of suspicions and refutations must stay
    # small.
    network = make_network(data_centres=('dc1',))
    monitor = next(
        n for n in NAMES if 'n3' in network.membership_by_name[n].neighbours()
    )
    network.blocked_pairs |= {('n3', monitor), (monitor, 'n3')}
    network.run(60.0)
    assert not network.changes_to(MemberState.SILENT)
    sequences = {
        item[2].sequence for item in network.changes_to(MemberState.SUSPECT)
    }
    assert 1 <= len(sequences) <= 4


def test_isolated_node_suspects_nobody():
    # A node that has lost all its links must not suspect the other members.
    # Otherwise all members would have to refute the suspicion when the node
    # reconnects.
    network = make_network()
    for name in NAMES[1:]:
        network.blocked_pairs |= {('n0', name), (name, 'n0')}
    network.run(30.0)
    assert suspected(network) == {'n0'}
    network.blocked_pairs.clear()
    network.run(30.0)
    check_agreement(network)
    assert network.state_at('n5', 'n0') is MemberState.READY


def test_data_centres_reconnect_after_a_partition():
    # Data centres must reconnect after a network partition. After 60 s of
    # partition, each side counts all members of the other side as silent, and
    # no link between the two sides is left.
    network = make_network()
    pairs = [(a, b) for a in NAMES[::2] for b in NAMES[1::2]]
    network.blocked_pairs |= {*pairs, *((b, a) for a, b in pairs)}
    network.run(60.0)
    assert network.state_at('n0', 'n1') is MemberState.SILENT
    assert network.state_at('n0', 'n2') is MemberState.READY
    network.blocked_pairs.clear()
    network.run(30.0)
    check_agreement(network)
    assert network.state_at('n0', 'n1') is MemberState.READY


def test_new_incarnation_at_an_address_replaces_the_old_one():
    # When a new process has started at the address of a crashed process, the
    # old member must be gone at all nodes. Otherwise callers would wait for the
    # old process to report the status of their calls.
    network = make_network()
    address = network.membership_by_name['n3'].own.address
    network.crash('n3', resets=True)
    network.add('m3', 'dc2', address.host, seeds=('n0',))
    network.run(1.0)
    assert network.state_at('n5', 'n3') is MemberState.GONE
    assert network.state_at('n5', 'm3') is MemberState.READY
    check_agreement(network)


@pytest.mark.parametrize('number', range(4))
def test_search_tries_each_address_once_and_four_at_a_time(number):
    # The search must try every address once; otherwise a starting node could
    # miss the address of its only peer. The search must not open more than 4
    # connections at once.
    own = VmAddress('10.0.0.9', 7000)
    source = random.Random(number)
    search = make_address_search('10.0.0.0/24', own, source, 4)
    waiting, tried = search.start(), []
    while waiting:
        assert len(waiting) <= 4
        tried.append(waiting.pop().address)
        waiting += search.record_failed(tried[-1])
    assert len(set(tried)) == len(tried) == 255
    assert own not in tried
    assert search.is_over


STEPS = st.lists(
    st.tuples(
        st.sampled_from((
            'crash',
            'pause',
            'resume',
            'cut',
            'heal',
            'unlink',
            'change',
        )),
        st.sampled_from(NAMES),
        st.sampled_from(NAMES),
        st.sampled_from((0.0003, 0.3, 2.0, 7.0)),
    ),
    max_size=12,
)


def apply_step(network, step, name, peer):
    if step == 'cut':
        network.blocked_pairs.add((name, peer))
    elif step == 'heal':
        network.blocked_pairs.clear()
    elif step == 'unlink':
        network.unlink(name, peer)
    elif step == 'resume':
        network.resume(name)
    else:
        change_node(network, step, name)


def change_node(network, step, name):
    if name not in network.membership_by_name:
        return
    if step == 'change':
        network.change(name, MemberState.COLD)
    elif step == 'pause':
        network.pause(name)
    elif len(network.membership_by_name) > 3:
        network.crash(name)


@seed(3)
@settings(derandomize=True, max_examples=40, deadline=None, database=None)
@given(STEPS)
def test_records_never_regress_and_all_nodes_agree_in_the_end(steps):
    # An older record must never replace a newer record, and all nodes must
    # agree after the faults have ended. The simulated network checks at each
    # change that the new record is newer than the replaced record.
    network = make_network()
    for step, name, peer, seconds in steps:
        apply_step(network, step, name, peer)
        network.run(seconds)
    network.blocked_pairs.clear()
    for name in NAMES:
        network.resume(name)
    network.run(60.0)
    check_agreement(network)
    live = {MemberState.READY, MemberState.COLD}
    first = min(network.membership_by_name)
    for name in network.membership_by_name:
        assert network.state_at(first, name) in live
