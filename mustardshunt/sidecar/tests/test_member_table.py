"""Tests of the entries of nodes when the platform comes back from a copy."""

import pytest

from mustardshunt.base import Revision, VmAddress
from mustardshunt.load_balancing import Member
from mustardshunt.sidecar._member_table import (
    MEMBER_HOLD_SECONDS,
    MemberTable,
)
from mustardshunt.sidecar._ports import MemberUpdate


def make_member(name, process=1):
    return Member(
        name,
        f'{name}-{process}',
        's',
        'z',
        VmAddress('10.0.0.1', 1000 + ord(name)),
    )


def make_update(era, number, *changed, removed=(), is_snapshot=True):
    revision = Revision(era, number)
    return MemberUpdate(
        revision, changed, tuple(removed), is_snapshot, revision
    )


OWN = make_member('a')
OTHER = make_member('b')


@pytest.fixture
def table():
    """Return the table of a node that knows another one, in era 0."""
    table = MemberTable(OWN)
    table.merge(make_update(0, 9, OWN, OTHER))
    return table


def test_node_that_the_copy_lacks_is_kept_until_it_could_write_again(table):
    # Requests must go on to a node whose entry was lost with the copy.
    table.merge(make_update(1, 4, OWN))
    assert set(table.by_name) == {'a', 'b'}
    assert table.stored() == (OWN,)
    assert not table.end_hold(10.0)
    assert not table.end_hold(10.0 + MEMBER_HOLD_SECONDS - 0.1)
    assert table.end_hold(10.0 + MEMBER_HOLD_SECONDS)
    assert set(table.by_name) == {'a'}


def test_node_that_has_written_again_is_kept(table):
    # The end of the hold must not remove it.
    table.merge(make_update(1, 4, OWN))
    table.merge(make_update(1, 5, OTHER, is_snapshot=False))
    assert not table.end_hold(10.0)
    assert not table.end_hold(10.0 + MEMBER_HOLD_SECONDS)
    assert set(table.by_name) == {'a', 'b'}


def test_node_that_leaves_in_the_new_era_is_removed_at_once(table):
    # The hold is for lost entries, not for removed ones.
    table.merge(make_update(1, 4, OWN))
    table.merge(make_update(1, 5, removed=['b'], is_snapshot=False))
    assert set(table.by_name) == {'a'}


def test_removed_entry_in_the_copy_does_not_come_back(table):
    # The copy is older than the removal; the process has ended.
    table.merge(make_update(0, 10, removed=['b'], is_snapshot=False))
    table.merge(make_update(1, 9, OWN, OTHER))
    assert set(table.by_name) == {'a'}


def test_entry_of_an_earlier_process_in_the_copy_does_not_count(table):
    # The node was restarted after the copy; its present entry was lost.
    restarted = make_member('b', 2)
    table.merge(make_update(0, 10, restarted, is_snapshot=False))
    table.merge(make_update(1, 9, OWN, OTHER))
    assert table.by_name['b'] == restarted


def test_node_that_was_restarted_after_the_copy_counts_at_once(table):
    # It may have written its entry just after the return.
    restarted = make_member('b', 2)
    table.merge(make_update(1, 5, OWN, restarted))
    assert table.by_name['b'] == restarted
