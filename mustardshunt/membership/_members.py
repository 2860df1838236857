"""Table of the member records that a node holds."""

from dataclasses import dataclass, replace

from mustardshunt.base import Incarnation, MemberRecord, MemberState
from mustardshunt.membership._ring import HashRing, is_live, record_order


@dataclass(slots=True)
class MemberEntry:
    """A member's record and the time of its last change.

    Parameters
    ----------
    record : MemberRecord
        Newest record.
    changed_at : float
        Time at which this node stored the record, in seconds.
    """

    record: MemberRecord
    changed_at: float


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """Member records, neighbours and links of one node at one moment.

    Parameters
    ----------
    records : tuple of MemberRecord
        All records, sorted by incarnation.
    neighbours : tuple of Incarnation
        Peers that this node monitors.
    linked : tuple of Incarnation
        Peers with an open link.
    """

    records: tuple[MemberRecord, ...]
    neighbours: tuple[Incarnation, ...]
    linked: tuple[Incarnation, ...]


class MemberTable:
    """Newest record of each member.

    A record is replaced only by a newer record; ``record_order`` defines which
    of two records is newer.

    Parameters
    ----------
    own : MemberRecord
        Record of this node.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own = own
        self.ring = HashRing()
        self.by_id: dict[Incarnation, MemberEntry] = {
            own.incarnation: MemberEntry(own, 0.0),
        }
        self.ring.add(own.incarnation, own.data_centre)

    def accept(self, record: MemberRecord, now: float) -> bool:
        """Store a record if it is newer than the stored record of the member.

        Parameters
        ----------
        record : MemberRecord
            Record of another member, or a newer record of this node.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            Whether the record was newer and is now in the table.
        """
        known = self.by_id.get(record.incarnation)
        if known is None:
            self.by_id[record.incarnation] = MemberEntry(record, now)
            if is_live(record):
                self.ring.add(record.incarnation, record.data_centre)
            return True
        if record_order(record) <= record_order(known.record):
            return False
        if record.incarnation == self.own.incarnation:
            self.own = record
        self._update_ring(known.record, record)
        known.record = record
        known.changed_at = now
        return True

    def refute(self, received: MemberRecord, now: float) -> MemberRecord | None:
        """Refute a newer record of this node that a peer has sent.

        Parameters
        ----------
        received : MemberRecord
            Record of this node that a peer sent.
        now : float
            Time, in seconds.

        Returns
        -------
        MemberRecord or None
            Record of this node that is now in the table; None when the received
            record is not newer. The sequence number of the returned record is
            higher than that of the received record. A received record with the
            state ``GONE`` is stored and returned unchanged: another process has
            bound the address of this node, so the node must stop.
        """
        if record_order(received) <= record_order(self.own):
            return None
        newer = received
        if received.state is not MemberState.GONE:
            newer = replace(self.own, sequence=received.sequence + 1)
        self.accept(newer, now)
        return newer

    def find_same_address(self, record: MemberRecord) -> list[MemberRecord]:
        """Return records of other members, not gone, at the same address."""
        return [
            member.record
            for member in self.by_id.values()
            if member.record.address == record.address
            and member.record.incarnation != record.incarnation
            and member.record.state is not MemberState.GONE
        ]

    def drop_expired(self, before: float) -> list[MemberRecord]:
        """Drop members that have been silent or gone since before a time.

        Parameters
        ----------
        before : float
            Members that last changed before this time, in seconds, are
            dropped.

        Returns
        -------
        list of MemberRecord
            Records of the dropped members.
        """
        expired = [
            member.record
            for member in self.by_id.values()
            if not is_live(member.record)
            and member.changed_at < before
            and member.record.incarnation != self.own.incarnation
        ]
        for record in expired:
            self.by_id.pop(record.incarnation)
        return expired

    def find_retry_candidates(self, *, isolated: bool) -> list[MemberRecord]:
        """Return the members to which a new connection may succeed.

        These are the silent members. When this node is isolated, all live
        members except this node are included.

        Parameters
        ----------
        isolated : bool
            Whether all peers are silent to this node.
        """
        return [
            member.record
            for member in self.by_id.values()
            if member.record.state is MemberState.SILENT
            or (
                isolated
                and is_live(member.record)
                and member.record != self.own
            )
        ]

    def _update_ring(self, old: MemberRecord, new: MemberRecord) -> None:
        if is_live(old) and not is_live(new):
            self.ring.remove(old.incarnation, old.data_centre)
        elif is_live(new) and not is_live(old):
            self.ring.add(new.incarnation, new.data_centre)
