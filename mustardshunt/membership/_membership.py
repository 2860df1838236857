"""Group membership: finds members, detects failures and gossips records."""

from dataclasses import replace

from mustardshunt.base import (
    Incarnation,
    MemberRecord,
    MemberState,
    RandomSource,
    VmAddress,
    check_range,
)
from mustardshunt.membership._events import (
    CloseLink,
    MemberChanged,
    MembershipAction,
    MembershipEvent,
    MembershipTick,
    OpenLink,
    OwnStateChanged,
    PeerHeard,
    PeerLinked,
    PeerUnlinked,
    PingPeer,
    RecordsArrived,
    SendRecords,
)
from mustardshunt.membership._failure_detector import (
    FailureDetector,
    PeerEvidence,
)
from mustardshunt.membership._members import MembershipSnapshot, MemberTable
from mustardshunt.membership._ring import is_live

# Time after which a suspect member becomes silent. In this time, a refutation
# by the member can reach all nodes.
SILENT_AFTER_SECONDS = 2.0
FORGET_AFTER_SECONDS = 600.0
# Interval between attempts to open a link to a silent member, one member at a
# time. After a network partition has ended, these attempts connect its two
# sides again.
RECONNECT_INTERVAL_SECONDS = 5.0


class Membership:
    """Member records, the peers to monitor, and the records to gossip.

    Parameters
    ----------
    own : MemberRecord
        First record of this node.
    random : RandomSource
        Source of random choices.
    forget_after : float
        Seconds after which silent and gone members are dropped.
    """

    def __init__(
        self,
        own: MemberRecord,
        random: RandomSource,
        forget_after: float,
    ) -> None:
        self._table = MemberTable(own)
        self._random = random
        self._forget_after = forget_after
        self._detector = FailureDetector()
        self._last_reconnect = float('-inf')

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._table.own

    def handle(
        self, event: MembershipEvent, now: float
    ) -> list[MembershipAction]:
        """Handle one event and return the actions to carry out.

        Parameters
        ----------
        event : MembershipEvent
            Event to handle.
        now : float
            Time, in seconds.

        Returns
        -------
        list of MembershipAction
            Actions, in the order in which they are to be carried out.
        """
        match event:
            case PeerHeard(peer):
                self._detector.record_heard(peer, now)
                return []
            case RecordsArrived(records, peer):
                return self._accept_records(records, now, peer)
            case OwnStateChanged(state, service):
                own = replace(
                    self.own,
                    sequence=self.own.sequence + 1,
                    state=state,
                    service=service,
                )
                self._table.accept(own, now)
                return self._gossip((own,), now)
            case PeerLinked():
                return self._handle_linked(event, now)
            case PeerUnlinked(peer):
                self._detector.record_unlinked(peer)
                return self._update_links(now)
            case MembershipTick():
                return self._handle_tick(now)

    def members_of(self, service: str) -> list[MemberRecord]:
        """Return the live members that offer a service."""
        return [
            member.record
            for member in self._table.by_id.values()
            if member.record.service == service and is_live(member.record)
        ]

    def neighbours(self) -> list[Incarnation]:
        """Return the peers that this node monitors."""
        own = self.own
        return self._table.ring.neighbours_of(own.incarnation, own.data_centre)

    def linked(self) -> list[Incarnation]:
        """Return the peers with an open link."""
        return self._detector.linked()

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a node; None when the node is unknown."""
        member = self._table.by_id.get(incarnation)
        return None if member is None else member.record

    def snapshot(self) -> MembershipSnapshot:
        """Return all member records, the neighbours and the linked peers."""
        members = sorted(self._table.by_id.items())
        return MembershipSnapshot(
            tuple(member.record for _, member in members),
            tuple(self.neighbours()),
            tuple(self._detector.linked()),
        )

    def _accept_records(
        self,
        records: tuple[MemberRecord, ...],
        now: float,
        sender: Incarnation | None = None,
    ) -> list[MembershipAction]:
        """Store newer records, report them and send them to other peers."""
        changed_by_id: dict[Incarnation, MemberRecord] = {}
        for record in records:
            for newer in self._accept_record(record, now):
                changed_by_id[newer.incarnation] = newer
        return self._gossip(tuple(changed_by_id.values()), now, sender)

    def _gossip(
        self,
        changed: tuple[MemberRecord, ...],
        now: float,
        sender: Incarnation | None = None,
    ) -> list[MembershipAction]:
        """Report changed records, send them to linked peers, update the links.

        The records are not sent back to the peer that sent them. If the record
        of this node has changed, that peer gets only this record.
        """
        if not changed:
            return []
        actions: list[MembershipAction] = [
            MemberChanged(item) for item in changed
        ]
        own_changed = self.own in changed
        for peer in self._detector.linked():
            if peer != sender:
                actions.append(SendRecords(peer, changed))
            elif own_changed:
                # The peer that sent the records does not have the newest record
                # of this node yet.
                actions.append(SendRecords(peer, (self.own,)))
        return actions + self._update_links(now)

    def _accept_record(
        self, record: MemberRecord, now: float
    ) -> list[MemberRecord]:
        """Store a received record if it is newer, and return what changed.

        The list is empty when the record is not newer. Otherwise the list holds
        the record that was stored. A received record about this node is
        replaced by a refutation, except when its state is ``GONE``. Another
        member that claims the address of this node is stored with the state
        ``GONE``.
        """
        table = self._table
        own = self.own
        if record.incarnation == own.incarnation:
            newer = table.refute(record, now)
            return [] if newer is None else [newer]
        known = table.by_id.get(record.incarnation)
        was_suspected = known is not None and known.record.state in {
            MemberState.SUSPECT,
            MemberState.SILENT,
        }
        # Only one process can listen at an address. This node listens at this
        # address, so the process of another member with this address has ended.
        if record.address == own.address:
            record = replace(record, state=MemberState.GONE)
        if not table.accept(record, now):
            return []
        if was_suspected and is_live(record):
            self._detector.record_refuted(record.incarnation, now)
        return [record]

    def _handle_linked(
        self,
        event: PeerLinked,
        now: float,
    ) -> list[MembershipAction]:
        self._detector.record_linked(
            event.peer,
            now,
            opened_here=event.opened_here,
        )
        known = tuple(member.record for member in self._table.by_id.values())
        actions: list[MembershipAction] = [SendRecords(event.peer, known)]
        return actions + self._mark_replaced(event.peer, event.address, now)

    def _mark_replaced(
        self,
        peer: Incarnation,
        address: VmAddress,
        now: float,
    ) -> list[MembershipAction]:
        """Mark the other members at the address of a linked peer as gone.

        Only one process can listen at an address. The linked peer answers
        there, so the processes of the other members have ended.
        """
        answering = replace(self.own, incarnation=peer, address=address)
        replaced = tuple(
            replace(record, state=MemberState.GONE)
            for record in self._table.find_same_address(answering)
        )
        return self._accept_records(replaced, now)

    def _handle_tick(self, now: float) -> list[MembershipAction]:
        self._detector.record_tick(now)
        actions: list[MembershipAction] = [
            PingPeer(peer) for peer in self._detector.find_pings(now)
        ]
        actions.extend(self._update_suspicions(now))
        for record in self._table.drop_expired(now - self._forget_after):
            gone = replace(record, state=MemberState.GONE)
            actions.append(MemberChanged(gone))
        actions.extend(self._reconnect_lost(now))
        return actions + self._update_links(now)

    def _update_suspicions(self, now: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        isolated = self._detector.is_isolated(now)
        for peer in self._detector.find_silent(now):
            actions.extend(self._reopen(peer, now))
            if not isolated:
                actions.extend(
                    self._accept_records(
                        self._escalate_suspicion(peer, now), now
                    )
                )
        return actions

    def _reopen(self, peer: Incarnation, now: float) -> list[MembershipAction]:
        """Open a new link to a silent peer, and close the old link if any.

        A new connection may work although the old connection does not.
        """
        evidence = self._detector.by_peer[peer]
        member = self._table.by_id.get(peer)
        if member is None or not evidence.take_due_reopening(now):
            return []
        open_link = OpenLink(member.record.address, peer)
        if not evidence.is_linked:
            return [open_link]
        evidence.is_linked = False
        return [CloseLink(peer), open_link]

    def _escalate_suspicion(
        self,
        peer: Incarnation,
        now: float,
    ) -> tuple[MemberRecord, ...]:
        """Return the record of a silent peer with its next state.

        A live member first becomes suspect. A member that has been suspect for
        2 s becomes silent. The tuple is empty while the state does not change.
        """
        member = self._table.by_id.get(peer)
        paused_until = self._detector.by_peer[peer].suspicion_paused_until
        if member is None or not is_live(member.record) or now < paused_until:
            return ()
        if member.record.state is not MemberState.SUSPECT:
            return (replace(member.record, state=MemberState.SUSPECT),)
        if now - member.changed_at < SILENT_AFTER_SECONDS:
            return ()
        return (replace(member.record, state=MemberState.SILENT),)

    def _reconnect_lost(self, now: float) -> list[MembershipAction]:
        if now - self._last_reconnect < RECONNECT_INTERVAL_SECONDS:
            return []
        self._last_reconnect = now
        isolated = self._detector.is_isolated(now)
        lost = self._table.find_retry_candidates(isolated=isolated)
        if not lost:
            return []
        record = self._random.choice(lost)
        return [OpenLink(record.address, record.incarnation)]

    def _update_links(self, now: float) -> list[MembershipAction]:
        """Open links to unlinked neighbours; close links no longer needed."""
        neighbours = self.neighbours()
        actions: list[MembershipAction] = []
        for peer in neighbours:
            evidence = self._detector.by_peer.setdefault(
                peer, PeerEvidence(now)
            )
            if not evidence.is_linked and evidence.take_due_reopening(now):
                record = self._table.by_id[peer].record
                actions.append(OpenLink(record.address, peer))
        return actions + self._close_unneeded(neighbours)

    def _close_unneeded(
        self, neighbours: list[Incarnation]
    ) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        # The loop iterates over a list, not a set, so that the same events
        # always give the same actions in the same order.
        for peer, evidence in list(self._detector.by_peer.items()):
            if peer in neighbours:
                continue
            if not evidence.is_linked:
                self._detector.by_peer.pop(peer)
            elif evidence.opened_here and not self._may_be_monitored_by(peer):
                evidence.is_linked = False
                actions.append(CloseLink(peer))
        return actions

    def _may_be_monitored_by(self, peer: Incarnation) -> bool:
        member = self._table.by_id.get(peer)
        if member is None:
            return True
        data_centre = member.record.data_centre
        ring = self._table.ring
        return self.own.incarnation in ring.neighbours_of(peer, data_centre)


def make_membership(
    own: MemberRecord,
    random: RandomSource,
    forget_after: float = FORGET_AFTER_SECONDS,
) -> Membership:
    """Check the parameters and return a membership with only this node.

    Parameters
    ----------
    own : MemberRecord
        First record of this node.
    random : RandomSource
        Source of random choices.
    forget_after : float, default=600.0
        Seconds after which silent and gone members are dropped.

    Raises
    ------
    ParameterError
        ``forget_after`` is shorter than 2.0 s, the time in which a suspect
        member becomes silent.
    """
    check_range('forget_after', forget_after, SILENT_AFTER_SECONDS)
    return Membership(own, random, forget_after)
