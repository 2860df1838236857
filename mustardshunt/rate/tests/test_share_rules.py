"""Guards the rules that move shares."""

import pytest
from hypothesis import given, settings, strategies

from mustardshunt.base import Incarnation, ParameterError
from mustardshunt.rate import (
    FULL_SHARE_PPM,
    EligibleHolders,
    ShareRow,
    decode_row,
    encode_shares,
    plan_first_row,
    plan_handover,
    plan_reclaim,
    target_shares,
)

NODES = {Incarnation(f'n{i}'): f'dc{i % 3}' for i in range(12)}
FLEET = EligibleHolders(NODES)


def test_first_row_gives_away_the_whole_and_equal_parts_per_data_centre():
    """A part lost to rounding would keep a burst of 1 from being spent."""
    shares = plan_first_row(3, FLEET).share_by_holder
    assert len(shares) == 9
    assert sum(shares.values()) == FULL_SHARE_PPM
    for name in ('dc0', 'dc1', 'dc2'):
        part = sum(shares[node] for node in shares if NODES[node] == name)
        assert part in {333_333, 333_334}


def test_planned_stop_gives_everything_within_the_ideal():
    row = plan_first_row(3, FLEET).row()
    giver = next(iter(row.share_by_holder))
    rest = {node: name for node, name in NODES.items() if node != giver}
    after = plan_handover(row, giver, EligibleHolders(rest)).row()
    assert after.share_by_holder == target_shares(3, EligibleHolders(rest))


def test_data_centre_out_gives_to_the_others():
    row = plan_first_row(3, FLEET).row()
    fleet = EligibleHolders(NODES, frozenset(('dc0',)))
    for holder in list(row.share_by_holder):
        change = plan_handover(row, holder, fleet)
        row = change.row() if change else row
    assert 'dc0' not in {NODES[node] for node in row.share_by_holder}
    assert sum(row.share_by_holder.values()) == FULL_SHARE_PPM


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(strategies.data())
def test_every_change_keeps_the_sum_and_lowers_the_giver_only(draw):
    """A change that lowers another holder would lack its consent."""
    nodes = strategies.sampled_from(sorted(NODES))
    part = strategies.integers(1, FULL_SHARE_PPM // 12)
    shares = draw.draw(strategies.dictionaries(nodes, part, min_size=1))
    row = ShareRow(5, 4, shares)
    view = draw.draw(strategies.sets(nodes))
    fleet = EligibleHolders({node: NODES[node] for node in view})
    giver = draw.draw(strategies.sampled_from(sorted(shares)))
    successor = draw.draw(strategies.one_of(strategies.none(), nodes))
    changes = [
        plan_handover(row, giver, fleet),
        plan_reclaim(row, giver, fleet, successor),
    ]
    for change in changes:
        if change is None:
            continue
        after = change.share_by_holder
        assert change.expected_version == 4
        assert sum(after.values()) == sum(shares.values())
        for node, share in shares.items():
            assert node == giver or after[node] >= share


def test_row_survives_its_encoding_and_a_bad_one_is_refused():
    row = plan_first_row(3, FLEET).row()
    content = encode_shares(row.share_by_holder)
    assert decode_row(3, 1, content) == row
    for bad in ('[]', '{"a": 1.5}', '{"a": 700000, "b": 700000}', '{'):
        with pytest.raises(ParameterError):
            decode_row(3, 1, bad)
