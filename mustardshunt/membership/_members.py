"""Table of the records that a node knows."""

from dataclasses import dataclass, replace

from mustardshunt.base import Incarnation, MemberRecord, MemberState
from mustardshunt.membership._ring import HashRing, is_live, record_order


@dataclass(slots=True)
class MemberEntry:
    """A record and since when it has been known.

    Parameters
    ----------
    record : MemberRecord
        Newest record.
    changed_at : float
        When it came, in seconds.
    """

    record: MemberRecord
    changed_at: float


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """What a node knows of the fleet.

    Parameters
    ----------
    records : tuple of MemberRecord
        All records, by incarnation.
    neighbours : tuple of Incarnation
        Peers that this node watches.
    linked : tuple of Incarnation
        Peers with an open link.
    """

    records: tuple[MemberRecord, ...]
    neighbours: tuple[Incarnation, ...]
    linked: tuple[Incarnation, ...]


class MemberTable:
    """Newest record of each member; records only rise.

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
        """Take a record over when it is newer.

        Parameters
        ----------
        record : MemberRecord
            Record of another member, or the own one raised by this node.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            Whether it was newer.
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
        self._move(known.record, record)
        known.record = record
        known.changed_at = now
        return True

    def refute(self, claim: MemberRecord, now: float) -> MemberRecord | None:
        """Answer what others say of this node.

        Parameters
        ----------
        claim : MemberRecord
            Record of this node that came from a peer.
        now : float
            Time, in seconds.

        Returns
        -------
        MemberRecord or None
            Own record with a higher sequence, None when the claim is old. A
            claim that this node is gone stands, since another process has
            bound its address; the node must stop.
        """
        if record_order(claim) <= record_order(self.own):
            return None
        newer = claim
        if claim.state is not MemberState.GONE:
            newer = replace(self.own, sequence=claim.sequence + 1)
        self.accept(newer, now)
        return newer

    def find_same_address(self, record: MemberRecord) -> list[MemberRecord]:
        """Return the members that claim a record's address as well."""
        return [
            member.record
            for member in self.by_id.values()
            if member.record.address == record.address
            and member.record.incarnation != record.incarnation
            and member.record.state is not MemberState.GONE
        ]

    def drop_expired(self, before: float) -> list[MemberRecord]:
        """Drop silent and gone members that have not changed for long.

        Parameters
        ----------
        before : float
            Members that changed before this time are dropped.

        Returns
        -------
        list of MemberRecord
            Records that were dropped.
        """
        old = [
            member.record
            for member in self.by_id.values()
            if not is_live(member.record)
            and member.changed_at < before
            and member.record.incarnation != self.own.incarnation
        ]
        for record in old:
            self.by_id.pop(record.incarnation)
        return old

    def find_retry_candidates(self, *, isolated: bool) -> list[MemberRecord]:
        """Return the members that may answer although nobody hears them.

        Parameters
        ----------
        isolated : bool
            Whether this node hears nobody, so that every member counts.
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

    def _move(self, old: MemberRecord, new: MemberRecord) -> None:
        if is_live(old) and not is_live(new):
            self.ring.remove(old.incarnation, old.data_centre)
        elif is_live(new) and not is_live(old):
            self.ring.add(new.incarnation, new.data_centre)
