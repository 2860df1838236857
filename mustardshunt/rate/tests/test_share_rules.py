"""Tests the rules that divide an organisation's rate over nodes.

A share row states which node holds which share of the rate. These rules plan
all changes of share rows.
"""

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
HOLDERS = EligibleHolders(NODES)


def test_first_row_assigns_all_shares_equally_per_data_centre():
    """The shares must add up exactly.

    If rounding lost a part, a burst of one token would be unusable.
    """
    shares = plan_first_row(3, HOLDERS).share_by_holder
    assert len(shares) == 9
    assert sum(shares.values()) == FULL_SHARE_PPM
    for name in ('dc0', 'dc1', 'dc2'):
        part = sum(shares[node] for node in shares if NODES[node] == name)
        assert part in {333_333, 333_334}


def test_stopping_holder_hands_over_its_whole_share():
    """A node that stops must keep no share.

    A stopped node grants no tokens, so that its share would be unused.
    """
    row = plan_first_row(3, HOLDERS).row()
    source = next(iter(row.share_by_holder))
    rest = {node: name for node, name in NODES.items() if node != source}
    after = plan_handover(row, source, EligibleHolders(rest)).row()
    assert after.share_by_holder == target_shares(3, EligibleHolders(rest))


def test_data_centre_out_of_service_hands_over_its_shares():
    """Nodes in a data centre that is out of service must keep no share."""
    row = plan_first_row(3, HOLDERS).row()
    holders = EligibleHolders(NODES, frozenset(('dc0',)))
    for holder in list(row.share_by_holder):
        change = plan_handover(row, holder, holders)
        row = change.row() if change else row
    assert 'dc0' not in {NODES[node] for node in row.share_by_holder}
    assert sum(row.share_by_holder.values()) == FULL_SHARE_PPM


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(strategies.data())
def test_every_change_keeps_the_sum_and_lowers_one_holder_only(draw):
    """A change may lower only the share of the node that gives it up.

    Another node would go on using its share until it has read the new row, so
    that more tokens than the rate allows would be granted.
    """
    nodes = strategies.sampled_from(sorted(NODES))
    part = strategies.integers(1, FULL_SHARE_PPM // 12)
    shares = draw.draw(strategies.dictionaries(nodes, part, min_size=1))
    row = ShareRow(5, 4, shares)
    visible = draw.draw(strategies.sets(nodes))
    holders = EligibleHolders({node: NODES[node] for node in visible})
    source = draw.draw(strategies.sampled_from(sorted(shares)))
    successor = draw.draw(strategies.one_of(strategies.none(), nodes))
    changes = [
        plan_handover(row, source, holders),
        plan_reclaim(row, source, holders, successor),
    ]
    for change in changes:
        if change is None:
            continue
        after = change.share_by_holder
        assert change.expected_version == 4
        assert sum(after.values()) == sum(shares.values())
        for node, share in shares.items():
            assert node == source or after[node] >= share


def test_row_round_trips_and_invalid_content_is_rejected():
    """An invalid row, such as one with shares above 100 %, must be rejected."""
    row = plan_first_row(3, HOLDERS).row()
    content = encode_shares(row.share_by_holder)
    assert decode_row(3, 1, content) == row
    for invalid in ('[]', '{"a": 1.5}', '{"a": 700000, "b": 700000}', '{'):
        with pytest.raises(ParameterError):
            decode_row(3, 1, invalid)
