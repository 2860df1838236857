"""Links of the whole fleet, from the rings of the real aggregate."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.base import Incarnation, MemberRecord
from mustardshunt.measure.capacity._design_size import DesignSize
from mustardshunt.measure.capacity._measurements import Mesh
from mustardshunt.measure.capacity._samples import make_record
from mustardshunt.membership._ring import HashRing

_FLOODS: Final = 20


def measure_mesh(size: DesignSize) -> Mesh:
    """Build the links of all nodes and flood over them.

    Parameters
    ----------
    size : DesignSize
        Gives the nodes and data centres.
    """
    peers_by_node = _link_all(size)
    place_by_node = {
        record.incarnation: record.data_centre for record in _list_records(size)
    }
    near = [
        place_by_node[peer] == place_by_node[node]
        for node, peers in peers_by_node.items()
        for peer in peers
    ]
    starts = list(peers_by_node)[:_FLOODS]
    return Mesh(
        len(near) / size.nodes,
        sum(near) / size.nodes,
        max(_flood(peers_by_node, start) for start in starts),
    )


def _list_records(size: DesignSize) -> tuple[MemberRecord, ...]:
    return tuple(
        make_record(number, size.data_centres, size.services)
        for number in range(size.nodes)
    )


def _link_all(size: DesignSize) -> dict[Incarnation, set[Incarnation]]:
    records = _list_records(size)
    peers_by_node: dict[Incarnation, set[Incarnation]] = {
        record.incarnation: set() for record in records
    }
    ring = HashRing()
    for record in records:
        ring.add(record.incarnation, record.data_centre)
    for record in records:
        watched = ring.neighbours_of(record.incarnation, record.data_centre)
        for peer in watched:
            peers_by_node[record.incarnation].add(peer)
            peers_by_node[peer].add(record.incarnation)
    return peers_by_node


def _flood(
    peers_by_node: Mapping[Incarnation, Iterable[Incarnation]],
    start: Incarnation,
) -> int:
    """Return the hops until the last node is reached."""
    hops_by_node = {start: 0}
    waiting = deque([start])
    while waiting:
        node = waiting.popleft()
        for peer in peers_by_node[node]:
            if peer not in hops_by_node:
                hops_by_node[peer] = hops_by_node[node] + 1
                waiting.append(peer)
    return max(hops_by_node.values())
