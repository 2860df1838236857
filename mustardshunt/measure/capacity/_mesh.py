"""Computes the links between all nodes from the membership ring."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.base import Incarnation, MemberRecord
from mustardshunt.measure.capacity._design_size import DesignSize
from mustardshunt.measure.capacity._measurements import Mesh
from mustardshunt.measure.capacity._samples import make_record
from mustardshunt.membership._ring import HashRing

_FLOOD_COUNT: Final = 20


def measure_mesh(size: DesignSize) -> Mesh:
    """Compute the links of all nodes and the hops of flooded messages.

    Parameters
    ----------
    size : DesignSize
        Size that gives the numbers of nodes, data centres and services.
    """
    peers_by_node = _compute_links(size)
    data_centre_by_node = {
        record.incarnation: record.data_centre for record in _list_records(size)
    }
    is_near_by_link = [
        data_centre_by_node[peer] == data_centre_by_node[node]
        for node, peers in peers_by_node.items()
        for peer in peers
    ]
    origins = list(peers_by_node)[:_FLOOD_COUNT]
    return Mesh(
        len(is_near_by_link) / size.nodes,
        sum(is_near_by_link) / size.nodes,
        max(_count_hops(peers_by_node, origin) for origin in origins),
    )


def _list_records(size: DesignSize) -> tuple[MemberRecord, ...]:
    return tuple(
        make_record(number, size.data_centres, size.services)
        for number in range(size.nodes)
    )


def _compute_links(size: DesignSize) -> dict[Incarnation, set[Incarnation]]:
    records = _list_records(size)
    peers_by_node: dict[Incarnation, set[Incarnation]] = {
        record.incarnation: set() for record in records
    }
    ring = HashRing()
    for record in records:
        ring.add(record.incarnation, record.data_centre)
    for record in records:
        neighbours = ring.neighbours_of(record.incarnation, record.data_centre)
        for peer in neighbours:
            peers_by_node[record.incarnation].add(peer)
            peers_by_node[peer].add(record.incarnation)
    return peers_by_node


def _count_hops(
    peers_by_node: Mapping[Incarnation, Iterable[Incarnation]],
    origin: Incarnation,
) -> int:
    """Return the hops after which a flooded message has reached all nodes."""
    hops_by_node = {origin: 0}
    queue = deque([origin])
    while queue:
        node = queue.popleft()
        for peer in peers_by_node[node]:
            if peer not in hops_by_node:
                hops_by_node[peer] = hops_by_node[node] + 1
                queue.append(peer)
    return max(hops_by_node.values())
