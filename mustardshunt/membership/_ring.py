"""Order of records, and the ring that decides who watches whom."""

import hashlib
from bisect import bisect, insort

from mustardshunt.base import Incarnation, MemberRecord, MemberState

# Neighbours in the own data centre; two of them may fail together and the
# node is still watched and still hears of changes.
LOCAL_NEIGHBOURS = 3

_RANK_BY_STATE = {
    MemberState.SUSPECT: 1,
    MemberState.SILENT: 2,
    MemberState.GONE: 3,
}


def record_order(record: MemberRecord) -> tuple[bool, int, int]:
    """Return a key that rises with each change of a member's record.

    A member alone raises its sequence. What others say of it stands at the
    same sequence, so that the member can refute it with the next one. Only
    ``GONE`` is final.

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
    """Tell whether a member takes part in the ring."""
    return record.state not in {MemberState.SILENT, MemberState.GONE}


class HashRing:
    """Live members of each data centre in the order of their hashes."""

    def __init__(self) -> None:
        self._places_by_data_centre: dict[
            str,
            list[tuple[bytes, Incarnation]],
        ] = {}

    def add(self, incarnation: Incarnation, data_centre: str) -> None:
        """Add a member."""
        places = self._places_by_data_centre.setdefault(data_centre, [])
        insort(places, _place_of(incarnation))

    def remove(self, incarnation: Incarnation, data_centre: str) -> None:
        """Remove a member."""
        places = self._places_by_data_centre[data_centre]
        places.remove(_place_of(incarnation))
        if not places:
            self._places_by_data_centre.pop(data_centre)

    def neighbours_of(
        self,
        incarnation: Incarnation,
        data_centre: str,
    ) -> list[Incarnation]:
        """Return whom a member watches.

        Parameters
        ----------
        incarnation : Incarnation
            The member; it need not be in the ring.
        data_centre : str
            Its data centre.

        Returns
        -------
        list of Incarnation
            The 3 next in its data centre and 1 in each other.
        """
        place = _place_of(incarnation)
        neighbours: list[Incarnation] = []
        for name, places in self._places_by_data_centre.items():
            start = bisect(places, place)
            wanted = LOCAL_NEIGHBOURS if name == data_centre else 1
            following = [item[1] for item in places[start : start + wanted]]
            if len(following) < wanted:
                following.extend(item[1] for item in places[:wanted])
            unique = list(dict.fromkeys(following))
            if incarnation in unique:
                unique.remove(incarnation)
            neighbours.extend(unique[:wanted])
        return neighbours


def _place_of(incarnation: Incarnation) -> tuple[bytes, Incarnation]:
    digest = hashlib.blake2b(incarnation.encode(), digest_size=8).digest()
    return digest, incarnation
