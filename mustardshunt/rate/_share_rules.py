"""Rules of the share table as pure functions over rows.

Each rule returns a change with the version that it expects, for a
compare-and-set. Every rule moves shares from one name to others, so the sum
of a row never rises.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from mustardshunt.base import Incarnation, rendezvous_order
from mustardshunt.rate._rows import ShareChange, ShareRow, check_shares
from mustardshunt.rate._units import FULL_SHARE_PPM, HOLDERS_PER_DATA_CENTRE

# A giver corrects a difference from the ideal share only above this one, so
# that rounding causes no writes.
_SLACK_PPM = 1000


@dataclass(frozen=True, slots=True)
class EligibleHolders:
    """Nodes that may hold shares, as one node knows them.

    Parameters
    ----------
    data_centre_by_node : mapping of Incarnation to str
        Live nodes with a lease row; those that stop are left out.
    out_of_service : frozenset of str, default=frozenset()
        Data centres that operators have taken out of service.
    """

    data_centre_by_node: Mapping[Incarnation, str]
    out_of_service: frozenset[str] = frozenset()


def split_evenly(whole: int, count: int) -> list[int]:
    """Split an amount into whole parts that differ by at most one.

    Examples
    --------
    >>> split_evenly(1_000_000, 3)
    [333334, 333333, 333333]
    """
    part, rest = divmod(whole, count)
    return [part + (index < rest) for index in range(count)]


def target_shares(
    partition: int, holders: EligibleHolders
) -> dict[Incarnation, int]:
    """Return the shares that a partition should have.

    Parameters
    ----------
    partition : int
        Number of the partition.
    holders : EligibleHolders
        Nodes that may hold shares.

    Returns
    -------
    dict of Incarnation to int
        Up to 3 holders per data centre in rendezvous order, with equal
        shares per data centre; empty when no node may hold shares.

    Examples
    --------
    >>> nodes = {Incarnation('a'): 'east', Incarnation('b'): 'west'}
    >>> sorted(target_shares(5, EligibleHolders(nodes)).items())
    [('a', 500000), ('b', 500000)]
    """
    nodes_by_data_centre: dict[str, list[Incarnation]] = {}
    for node, data_centre in holders.data_centre_by_node.items():
        if data_centre not in holders.out_of_service:
            nodes_by_data_centre.setdefault(data_centre, []).append(node)
    if not nodes_by_data_centre:
        return {}
    ideal: dict[Incarnation, int] = {}
    parts = split_evenly(FULL_SHARE_PPM, len(nodes_by_data_centre))
    for name, part in zip(sorted(nodes_by_data_centre), parts, strict=True):
        order = rendezvous_order(
            f'shares/{partition}', nodes_by_data_centre[name]
        )
        selected = order[:HOLDERS_PER_DATA_CENTRE]
        ideal.update(
            zip(selected, split_evenly(part, len(selected)), strict=True),
        )
    return ideal


def plan_first_row(
    partition: int, fleet: EligibleHolders
) -> ShareChange | None:
    """Return the change that creates a partition's row.

    Returns
    -------
    ShareChange or None
        None when no node may hold shares.
    """
    ideal = target_shares(partition, fleet)
    if not ideal:
        return None
    return ShareChange(partition, 0, ideal, 'first row')


def plan_handover(
    row: ShareRow,
    holder: Incarnation,
    fleet: EligibleHolders,
) -> ShareChange | None:
    """Return what a holder should give away, and to whom.

    The same rule serves rebalancing, a planned stop (the giver is no longer
    in the fleet view) and a data centre that is out: the giver gives what it
    holds above its ideal share to those who hold less than theirs.

    Parameters
    ----------
    row : ShareRow
        The row as the giver last read it.
    holder : Incarnation
        The holder whose share is lowered; no other share is.
    fleet : EligibleHolders
        Nodes that may hold shares.

    Returns
    -------
    ShareChange or None
        None when there is nothing to give or nobody to give to.
    """
    ideal = target_shares(row.partition, fleet)
    excess = row.share_of(holder) - ideal.get(holder, 0)
    if excess <= 0 or (excess < _SLACK_PPM and holder in ideal):
        return None
    return _move(row, holder, excess, ideal, 'gift')


def plan_reclaim(
    row: ShareRow,
    dead: Incarnation,
    fleet: EligibleHolders,
    successor: Incarnation | None = None,
) -> ShareChange | None:
    """Return the change that gives a dead holder's share to others.

    The caller must first have deleted the dead holder's lease row with a
    compare-and-set (lease unchanged for 2 h + 60 s, same VM restarted, or
    declared gone), so that the holder cannot renew it any more.

    Parameters
    ----------
    row : ShareRow
        The row as last read.
    dead : Incarnation
        Holder whose lease row is deleted.
    fleet : EligibleHolders
        Nodes that may hold shares, without the dead one.
    successor : Incarnation, optional
        Node that restarted in the same VM and takes the whole share.

    Returns
    -------
    ShareChange or None
        None when the dead holder has no share or nobody can take it.
    """
    share = row.share_of(dead)
    if not share:
        return None
    if successor is not None:
        target = {successor: row.share_of(successor) + share}
        return _move(row, dead, share, target, 'restarted in the same VM')
    ideal = target_shares(row.partition, fleet)
    return _move(row, dead, share, ideal, 'holder gone')


def choose_reclaimer(
    partition: int,
    dead: Incarnation,
    live: Collection[Incarnation],
) -> Incarnation | None:
    """Return the node that reclaims, so that not all try at once.

    Races are harmless, because each change is a compare-and-set.
    """
    order = rendezvous_order(f'reclaim/{partition}/{dead}', live)
    return order[0] if order else None


def _move(
    row: ShareRow,
    giver: Incarnation,
    amount: int,
    target: Mapping[Incarnation, int],
    reason: str,
) -> ShareChange | None:
    share_by_holder = dict(row.share_by_holder)
    receivers = [holder for holder in sorted(target) if holder != giver]
    left = amount
    for holder, lack in _largest_first(receivers, target, row):
        part = min(left, lack)
        share_by_holder[holder] = share_by_holder.get(holder, 0) + part
        left -= part
    if left and receivers:
        # The row was below its whole or unlike the ideal; keep the sum.
        first = receivers[0]
        share_by_holder[first] = share_by_holder.get(first, 0) + left
        left = 0
    if left == amount:
        return None
    share_by_holder[giver] -= amount - left
    kept = {node: ppm for node, ppm in share_by_holder.items() if ppm}
    check_shares(kept)
    return ShareChange(row.partition, row.version, kept, reason)


def _largest_first(
    receivers: Iterable[Incarnation],
    target: Mapping[Incarnation, int],
    row: ShareRow,
) -> list[tuple[Incarnation, int]]:
    lacking = [
        (holder, target[holder] - row.share_of(holder)) for holder in receivers
    ]
    return sorted(
        (pair for pair in lacking if pair[1] > 0),
        key=lambda pair: -pair[1],
    )
