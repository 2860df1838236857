"""Order of member records, and the hash ring that assigns neighbours."""

import hashlib
from bisect import bisect, insort

from mustardshunt.base import Incarnation, MemberRecord, MemberState

# Number of members that a node monitors in its data centre; as many members
# monitor the node. With three, two of these members can fail together, and the
# node is still monitored and still receives changed records.
LOCAL_NEIGHBOURS = 3

_RANK_BY_STATE = {
    MemberState.SUSPECT: 1,
    MemberState.SILENT: 2,
    MemberState.GONE: 3,
}


def record_order(record: MemberRecord) -> tuple[bool, int, int]:
    """Return a sort key that is greater for a newer record of a member.

    Only the member itself increments the sequence number of its record. A node
    that suspects the member changes the state and keeps the sequence number, so
    that the member can refute the suspicion with the next number. The state
    ``GONE`` is final: a record with this state is newer than a record with any
    sequence number and another state.

    Examples
    --------
    >>> from mustardshunt.base import VmAddress
    >>> address = VmAddress('127.0.0.1', 7000)
    >>> ready = MemberRecord(
    ...     Incarnation('a'), 4, 'dc1', 's', MemberState.READY, address)
    >>> record_order(ready)
    (False, 4, 0)
    """
    rank = _RANK_BY_STATE.get(record.state, 0)
    return record.state is MemberState.GONE, record.sequence, rank


def is_live(record: MemberRecord) -> bool:
    """Return whether a member is neither silent nor gone."""
    return record.state not in {MemberState.SILENT, MemberState.GONE}


class HashRing:
    """Live members of each data centre, sorted by a hash of incarnations."""

    def __init__(self) -> None:
        self._positions_by_data_centre: dict[
            str,
            list[tuple[bytes, Incarnation]],
        ] = {}

    def add(self, incarnation: Incarnation, data_centre: str) -> None:
        """Add a member to the ring of its data centre."""
        positions = self._positions_by_data_centre.setdefault(data_centre, [])
        insort(positions, _position_of(incarnation))

    def remove(self, incarnation: Incarnation, data_centre: str) -> None:
        """Remove a member from the ring of its data centre."""
        positions = self._positions_by_data_centre[data_centre]
        positions.remove(_position_of(incarnation))
        if not positions:
            self._positions_by_data_centre.pop(data_centre)

    def neighbours_of(
        self,
        incarnation: Incarnation,
        data_centre: str,
    ) -> list[Incarnation]:
        """Return the members that one member monitors.

        Parameters
        ----------
        incarnation : Incarnation
            The monitoring member, which need not be in the ring.
        data_centre : str
            Data centre of the monitoring member.

        Returns
        -------
        list of Incarnation
            The next 3 members on the ring of the same data centre, and the next
            member on the ring of each other data centre.
        """
        position = _position_of(incarnation)
        neighbours: list[Incarnation] = []
        for name, positions in self._positions_by_data_centre.items():
            start = bisect(positions, position)
            count = LOCAL_NEIGHBOURS if name == data_centre else 1
            following = [item[1] for item in positions[start : start + count]]
            if len(following) < count:
                following.extend(item[1] for item in positions[:count])
            unique = list(dict.fromkeys(following))
            if incarnation in unique:
                unique.remove(incarnation)
            neighbours.extend(unique[:count])
        return neighbours


def _position_of(incarnation: Incarnation) -> tuple[bytes, Incarnation]:
    digest = hashlib.blake2b(incarnation.encode(), digest_size=8).digest()
    return digest, incarnation
