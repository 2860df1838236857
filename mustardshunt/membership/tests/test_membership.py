"""Guards failure detection, flooding and the return of members."""

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardshunt.base import MemberState, VmAddress
from mustardshunt.membership import make_address_search
from mustardshunt.membership.tests.network import Network

NAMES = tuple(f'n{number}' for number in range(8))


def make_network(names=NAMES, places=('dc1', 'dc2')):
    network = Network()
    for number, name in enumerate(names):
        place = places[number % len(places)]
        network.add(name, place, seeds=names[max(number - 1, 0) : number])
    network.run(5.0)
    return network


def check_agreement(network):
    views = {network.records_at(name) for name in network.fleets}
    assert len(views) == 1, 'nodes know different records'


def accused(network):
    return {item[2].incarnation for item in network.said(MemberState.SUSPECT)}


def test_booted_nodes_learn_all_members_from_one():
    # A node knows a single peer at boot when the platform is away.
    network = make_network()
    check_agreement(network)
    assert len(network.records_at('n0')) == len(NAMES)
    assert not network.said(MemberState.SUSPECT)


def test_change_floods_once_over_each_link():
    # Flooding without an end would fill the links.
    network = make_network()
    before = network.frames['records']
    network.change('n0', MemberState.DRAINING)
    network.run(0.1)
    assert network.state_at('n7', 'n0') is MemberState.DRAINING
    assert network.frames['records'] - before <= 2 * len(network.links)


def test_crashed_member_is_suspect_and_then_silent():
    # A member that is lost must get no new work after a few seconds.
    network = make_network()
    network.crash('n3')
    network.run(3.0)
    assert network.state_at('n0', 'n3') is MemberState.SUSPECT
    network.run(2.5)
    assert network.state_at('n0', 'n3') is MemberState.SILENT
    network.run(605.0)
    assert network.state_at('n0', 'n3') is None
    check_agreement(network)


def test_paused_member_comes_back():
    # A member that was only paused must not stay out.
    network = make_network()
    network.pause('n3')
    network.run(8.0)
    assert network.state_at('n0', 'n3') is MemberState.SILENT
    network.resume('n3')
    network.run(10.0)
    assert network.state_at('n0', 'n3') is MemberState.READY
    # Its own pause must not make it accuse the others.
    assert accused(network) == {'n3'}
    check_agreement(network)


def test_member_unheard_by_one_side_only_stays():
    # One bad path must not put out a member that the others hear.
    network = make_network(places=('dc1',))
    watcher = next(n for n in NAMES if 'n3' in network.fleets[n].neighbours())
    network.cut |= {('n3', watcher), (watcher, 'n3')}
    network.run(60.0)
    assert not network.said(MemberState.SILENT)
    accusations = {
        item[2].sequence for item in network.said(MemberState.SUSPECT)
    }
    assert 1 <= len(accusations) <= 4


def test_isolated_node_accuses_nobody():
    # Its return would make the whole fleet refute it.
    network = make_network()
    for name in NAMES[1:]:
        network.cut |= {('n0', name), (name, 'n0')}
    network.run(30.0)
    assert accused(network) == {'n0'}
    network.cut.clear()
    network.run(30.0)
    check_agreement(network)
    assert network.state_at('n5', 'n0') is MemberState.READY


def test_data_centres_find_each_other_after_a_partition():
    # Both sides have given each other up and must meet again.
    network = make_network()
    pairs = [(a, b) for a in NAMES[::2] for b in NAMES[1::2]]
    network.cut |= {*pairs, *((b, a) for a, b in pairs)}
    network.run(60.0)
    assert network.state_at('n0', 'n1') is MemberState.SILENT
    assert network.state_at('n0', 'n2') is MemberState.READY
    network.cut.clear()
    network.run(30.0)
    check_agreement(network)
    assert network.state_at('n0', 'n1') is MemberState.READY


def test_new_incarnation_at_an_address_replaces_the_old_one():
    # Calls of the old one have no fate any more and must be told so at once.
    network = make_network()
    address = network.fleets['n3'].own.address
    network.crash('n3', resets=True)
    network.add('m3', 'dc2', address.host, seeds=('n0',))
    network.run(1.0)
    assert network.state_at('n5', 'n3') is MemberState.GONE
    assert network.state_at('n5', 'm3') is MemberState.READY
    check_agreement(network)


@pytest.mark.parametrize('number', range(4))
def test_search_tries_each_address_once_and_few_at_a_time(number):
    # A booting node must find any peer, and not by a burst of connections.
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


def take_step(network, step, name, peer):
    if step == 'cut':
        network.cut.add((name, peer))
    elif step == 'heal':
        network.cut.clear()
    elif step == 'unlink':
        network.unlink(name, peer)
    elif step == 'resume':
        network.resume(name)
    else:
        change_node(network, step, name)


def change_node(network, step, name):
    if name not in network.fleets:
        return
    if step == 'change':
        network.change(name, MemberState.COLD)
    elif step == 'pause':
        network.pause(name)
    elif len(network.fleets) > 3:
        network.crash(name)


@seed(3)
@settings(derandomize=True, max_examples=40, deadline=None, database=None)
@given(STEPS)
def test_records_only_rise_and_all_nodes_agree_in_the_end(steps):
    # The network checks at each change that the record has risen.
    network = make_network()
    for step, name, peer, seconds in steps:
        take_step(network, step, name, peer)
        network.run(seconds)
    network.cut.clear()
    for name in NAMES:
        network.resume(name)
    network.run(60.0)
    check_agreement(network)
    live = {MemberState.READY, MemberState.COLD}
    first = min(network.fleets)
    for name in network.fleets:
        assert network.state_at(first, name) in live
