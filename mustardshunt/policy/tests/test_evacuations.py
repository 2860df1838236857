"""Tests of evacuations when the platform comes back from a copy."""

import pytest

from mustardshunt.base import Revision
from mustardshunt.policy import EVACUATION_HOLD_SECONDS, Evacuations


@pytest.fixture
def evacuations():
    """Evacuations of a node that has read a snapshot of era 0."""
    evacuations = Evacuations()
    evacuations.apply_snapshot(Revision(0, 5), [])
    return evacuations


def apply(evacuations, revision, *names):
    entries = [(name, revision) for name in names]
    evacuations.apply_snapshot(revision, entries)


def end_hold(evacuations, start=10.0):
    evacuations.end_hold(start)
    return evacuations.end_hold(start + EVACUATION_HOLD_SECONDS)


def test_evacuation_that_the_copy_lacks_holds_until_operators_could_write(
    evacuations,
):
    # A lost write is no order to send requests to the data centre again.
    evacuations.evacuate('x', Revision(0, 7))
    apply(evacuations, Revision(1, 6))
    assert set(evacuations.since) == {'x'}
    assert not evacuations.end_hold(10.0)
    assert not evacuations.end_hold(10.0 + EVACUATION_HOLD_SECONDS - 0.1)
    assert evacuations.end_hold(10.0 + EVACUATION_HOLD_SECONDS)
    assert not evacuations.since


def test_evacuation_that_is_written_again_does_not_end(evacuations):
    # The hold must not end what operators have confirmed.
    evacuations.evacuate('x', Revision(0, 7))
    apply(evacuations, Revision(1, 6))
    evacuations.evacuate('x', Revision(1, 7))
    assert not end_hold(evacuations)
    assert set(evacuations.since) == {'x'}


def test_evacuation_that_is_taken_back_in_the_new_era_ends_at_once(
    evacuations,
):
    # An order of the new era must not wait for the end of the hold.
    evacuations.evacuate('x', Revision(0, 7))
    apply(evacuations, Revision(1, 6))
    assert evacuations.restore('x', Revision(1, 7))
    assert not evacuations.since


def test_ended_evacuation_in_the_copy_does_not_start_again(evacuations):
    # The copy is older than the end of the evacuation, which is written again.
    evacuations.evacuate('x', Revision(0, 7))
    evacuations.restore('x', Revision(0, 9))
    evacuations.apply_snapshot(Revision(1, 8), [('x', Revision(1, 7))])
    assert not evacuations.since
    evacuations.restore('x', Revision(1, 9))
    assert not end_hold(evacuations)
    assert not evacuations.since


def test_evacuation_in_the_copy_counts_after_the_hold(evacuations):
    # Nobody has ended it again, so that the platform is right.
    evacuations.evacuate('x', Revision(0, 7))
    evacuations.restore('x', Revision(0, 9))
    evacuations.apply_snapshot(Revision(1, 8), [('x', Revision(1, 7))])
    assert evacuations.stored() == {'x': Revision(1, 7)}
    assert end_hold(evacuations)
    assert set(evacuations.since) == {'x'}


def test_new_evacuation_of_the_new_era_counts_at_once(evacuations):
    # It was confirmed after the return, with a number given out again.
    apply(evacuations, Revision(1, 4), 'y')
    assert set(evacuations.since) == {'y'}


def test_late_update_of_a_former_era_changes_nothing(evacuations):
    # A peer that was cut off may still hold an evacuation that has ended.
    apply(evacuations, Revision(1, 4))
    end_hold(evacuations)
    assert not evacuations.evacuate('x', Revision(0, 900))
    assert not evacuations.since


def test_held_evacuation_of_a_peer_does_not_last_longer_than_the_hold(
    evacuations,
):
    # A peer may name an evacuation that it holds itself.
    evacuations.evacuate('x', Revision(0, 7))
    evacuations.apply_snapshot(Revision(1, 6), [('x', Revision(0, 7))])
    assert set(evacuations.since) == {'x'}
    assert end_hold(evacuations)
    assert not evacuations.since


def test_two_returns_in_a_row_start_the_hold_anew(evacuations):
    # The second copy may lack what was written again after the first return.
    evacuations.evacuate('x', Revision(0, 7))
    apply(evacuations, Revision(1, 6))
    evacuations.end_hold(10.0)
    apply(evacuations, Revision(2, 6))
    assert not evacuations.end_hold(11.0)
    assert not evacuations.end_hold(12.5)
    assert evacuations.end_hold(13.0)


def test_return_without_a_copy_needs_no_hold(evacuations):
    # Without a new era a missing evacuation has ended.
    evacuations.evacuate('x', Revision(0, 7))
    apply(evacuations, Revision(0, 8))
    assert not evacuations.since
