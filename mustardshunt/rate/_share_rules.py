"""Rules that plan changes of share rows, as pure functions.

A share row states which nodes (holders) hold which parts of the rates of the
organisations in one partition.

Each change states the row version that it expects and is written by
compare-and-set. The first change of a row creates all shares. Later changes
only move shares from one holder to others, so that the sum never rises.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from mustardshunt.base import Incarnation, rendezvous_order
from mustardshunt.rate._rows import ShareChange, ShareRow, check_shares
from mustardshunt.rate._units import FULL_SHARE_PPM, HOLDERS_PER_DATA_CENTRE

# A holder whose share is above its target share hands over the difference if
# the difference is at least this large. A holder that should still have a share
# keeps a smaller difference, so that rounding differences cause no writes.
_MIN_HANDOVER_PPM = 1000


@dataclass(frozen=True, slots=True)
class EligibleHolders:
    """Nodes that may hold shares, as far as this node knows.

    Parameters
    ----------
    data_centre_by_node : mapping of Incarnation to str
        Data centre of each live node that has a lease row and is not stopping.
    out_of_service : frozenset of str, default=frozenset()
        Data centres that operators have taken out of service.
    """

    data_centre_by_node: Mapping[Incarnation, str]
    out_of_service: frozenset[str] = frozenset()


def split_evenly(total: int, count: int) -> list[int]:
    """Split an amount into integer parts that differ by at most one.

    Examples
    --------
    >>> split_evenly(1_000_000, 3)
    [333334, 333333, 333333]
    """
    part, rest = divmod(total, count)
    return [part + (index < rest) for index in range(count)]


def target_shares(
    partition: int, holders: EligibleHolders
) -> dict[Incarnation, int]:
    """Return the shares that the holders of a partition should have.

    Parameters
    ----------
    partition : int
        Number of the partition.
    holders : EligibleHolders
        Nodes that may hold shares.

    Returns
    -------
    dict of Incarnation to int
        Shares in parts per million of up to 3 holders per data centre, chosen
        in rendezvous order, with equal parts for all data centres. Empty when
        no node may hold shares.

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
    target_by_holder: dict[Incarnation, int] = {}
    parts = split_evenly(FULL_SHARE_PPM, len(nodes_by_data_centre))
    for name, part in zip(sorted(nodes_by_data_centre), parts, strict=True):
        order = rendezvous_order(
            f'shares/{partition}', nodes_by_data_centre[name]
        )
        selected = order[:HOLDERS_PER_DATA_CENTRE]
        target_by_holder.update(
            zip(selected, split_evenly(part, len(selected)), strict=True),
        )
    return target_by_holder


def plan_first_row(
    partition: int, holders: EligibleHolders
) -> ShareChange | None:
    """Return the change that creates the share row of a partition.

    Parameters
    ----------
    partition : int
        Number of the partition.
    holders : EligibleHolders
        Nodes that may hold shares.

    Returns
    -------
    ShareChange or None
        None when no node may hold shares.
    """
    target_by_holder = target_shares(partition, holders)
    if not target_by_holder:
        return None
    return ShareChange(partition, 0, target_by_holder, 'first row')


def plan_handover(
    row: ShareRow,
    holder: Incarnation,
    holders: EligibleHolders,
) -> ShareChange | None:
    """Return the change by which a holder hands over a part of its share.

    The part above the target share of the holder goes to nodes whose share is
    below their target. The target is 0 for nodes that are stopping and for
    nodes in a data centre that is out of service.

    Parameters
    ----------
    row : ShareRow
        The row as last read by the holder.
    holder : Incarnation
        Holder whose share is lowered; no other share is lowered.
    holders : EligibleHolders
        Nodes that may hold shares.

    Returns
    -------
    ShareChange or None
        None when the holder has too little above its target share for a write,
        or when no other node can take the part above the target.
    """
    target_by_holder = target_shares(row.partition, holders)
    excess = row.share_of(holder) - target_by_holder.get(holder, 0)
    if excess <= 0 or (
        excess < _MIN_HANDOVER_PPM and holder in target_by_holder
    ):
        return None
    return _move(row, holder, excess, target_by_holder, 'gift')


def plan_reclaim(
    row: ShareRow,
    gone: Incarnation,
    holders: EligibleHolders,
    successor: Incarnation | None = None,
) -> ShareChange | None:
    """Return the change that reclaims the share of a holder that is gone.

    Before the call, the lease row of the holder must have been deleted by a
    compare-and-set, so that the holder can no longer renew its lease. The lease
    row may be deleted in three cases: the row has not changed for 2 h + 60 s
    (the lease and a margin), the VM of the holder has restarted, or operators
    have declared the holder gone.

    Parameters
    ----------
    row : ShareRow
        The row as last read.
    gone : Incarnation
        Holder whose lease row was deleted.
    holders : EligibleHolders
        Nodes that may hold shares, without the holder that is gone.
    successor : Incarnation, optional
        Node that has restarted in the same VM and takes the whole share.

    Returns
    -------
    ShareChange or None
        None when the holder has no share, or when no other node can take the
        share.
    """
    share = row.share_of(gone)
    if not share:
        return None
    if successor is not None:
        target = {successor: row.share_of(successor) + share}
        return _move(row, gone, share, target, 'restarted in the same VM')
    target_by_holder = target_shares(row.partition, holders)
    return _move(row, gone, share, target_by_holder, 'holder gone')


def choose_reclaimer(
    partition: int,
    gone: Incarnation,
    live: Collection[Incarnation],
) -> Incarnation | None:
    """Return the one node that is to reclaim a share.

    One node is chosen, so that not all nodes try. Nodes that know of different
    members may choose different nodes. This is safe, because each change is
    written by compare-and-set.

    Parameters
    ----------
    partition : int
        Number of the partition.
    gone : Incarnation
        Holder whose share is reclaimed.
    live : collection of Incarnation
        Nodes that may reclaim the share.

    Returns
    -------
    Incarnation or None
        None when there is no live node.
    """
    order = rendezvous_order(f'reclaim/{partition}/{gone}', live)
    return order[0] if order else None


def _move(
    row: ShareRow,
    source: Incarnation,
    amount: int,
    target: Mapping[Incarnation, int],
    reason: str,
) -> ShareChange | None:
    share_by_holder = dict(row.share_by_holder)
    receivers = [holder for holder in sorted(target) if holder != source]
    left = amount
    for holder, deficit in _largest_deficit_first(receivers, target, row):
        part = min(left, deficit)
        share_by_holder[holder] = share_by_holder.get(holder, 0) + part
        left -= part
    if left and receivers:
        # All other holders have reached their targets, and a rest of the amount
        # is left. The first of these holders gets the rest, so that the sum of
        # the row stays the same.
        first = receivers[0]
        share_by_holder[first] = share_by_holder.get(first, 0) + left
        left = 0
    if left == amount:
        return None
    share_by_holder[source] -= amount - left
    kept = {node: ppm for node, ppm in share_by_holder.items() if ppm}
    check_shares(kept)
    return ShareChange(row.partition, row.version, kept, reason)


def _largest_deficit_first(
    receivers: Iterable[Incarnation],
    target: Mapping[Incarnation, int],
    row: ShareRow,
) -> list[tuple[Incarnation, int]]:
    deficits = [
        (holder, target[holder] - row.share_of(holder)) for holder in receivers
    ]
    return sorted(
        (pair for pair in deficits if pair[1] > 0),
        key=lambda pair: -pair[1],
    )
