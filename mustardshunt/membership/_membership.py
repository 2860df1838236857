"""Members of the fleet, their failure detection and the flooding."""

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

# From suspect to silent; enough for a refutation to cross the fleet.
SILENT_AFTER_SECONDS = 2.0
FORGET_AFTER_SECONDS = 600.0
# One member that nobody hears is tried at this interval, so that two parts of
# the fleet find each other again after a partition.
RECONNECT_INTERVAL_SECONDS = 5.0


class Membership:
    """Member records, who is watched, and what is flooded.

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
        self._watches = FailureDetector()
        self._last_retry = float('-inf')

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._table.own

    def handle(
        self, event: MembershipEvent, now: float
    ) -> list[MembershipAction]:
        """Take one event and return what to do.

        Parameters
        ----------
        event : MembershipEvent
            What has happened.
        now : float
            Time, in seconds.
        """
        match event:
            case PeerHeard(peer):
                self._watches.record_heard(peer, now)
                return []
            case RecordsArrived(records, peer):
                return self._take(records, now, peer)
            case OwnStateChanged(state, service):
                own = replace(
                    self.own,
                    sequence=self.own.sequence + 1,
                    state=state,
                    service=service,
                )
                self._table.accept(own, now)
                return self._spread((own,), now)
            case PeerLinked():
                return self._handle_linked(event, now)
            case PeerUnlinked(peer):
                self._watches.record_unlinked(peer)
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
        """Return the peers that this node watches."""
        own = self.own
        return self._table.ring.neighbours_of(own.incarnation, own.data_centre)

    def linked(self) -> list[Incarnation]:
        """Return the peers with an open link."""
        return self._watches.linked()

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a node, None when it is not known."""
        member = self._table.by_id.get(incarnation)
        return None if member is None else member.record

    def snapshot(self) -> MembershipSnapshot:
        """Return what this node knows."""
        members = sorted(self._table.by_id.items())
        return MembershipSnapshot(
            tuple(member.record for _, member in members),
            tuple(self.neighbours()),
            tuple(self._watches.linked()),
        )

    def _take(
        self,
        records: tuple[MemberRecord, ...],
        now: float,
        sender: Incarnation | None = None,
    ) -> list[MembershipAction]:
        """Take newer records over and flood them to the other peers."""
        news: dict[Incarnation, MemberRecord] = {}
        for record in records:
            for newer in self._accept(record, now):
                news[newer.incarnation] = newer
        return self._spread(tuple(news.values()), now, sender)

    def _spread(
        self,
        changed: tuple[MemberRecord, ...],
        now: float,
        sender: Incarnation | None = None,
    ) -> list[MembershipAction]:
        """Report changes and flood them over all links but the sender's."""
        if not changed:
            return []
        actions: list[MembershipAction] = [
            MemberChanged(item) for item in changed
        ]
        own_news = self.own in changed
        for peer in self._watches.linked():
            if peer != sender:
                actions.append(SendRecords(peer, changed))
            elif own_news:
                # The sender holds an older record of this node.
                actions.append(SendRecords(peer, (self.own,)))
        return actions + self._update_links(now)

    def _accept(self, record: MemberRecord, now: float) -> list[MemberRecord]:
        """Return what is news: the record, or what refutes or follows it."""
        table = self._table
        own = self.own
        if record.incarnation == own.incarnation:
            newer = table.refute(record, now)
            return [] if newer is None else [newer]
        known = table.by_id.get(record.incarnation)
        doubted = known is not None and known.record.state in {
            MemberState.SUSPECT,
            MemberState.SILENT,
        }
        # Only one process can listen at an address, and it is this one.
        if record.address == own.address:
            record = replace(record, state=MemberState.GONE)
        if not table.accept(record, now):
            return []
        if doubted and is_live(record):
            self._watches.record_refuted(record.incarnation, now)
        return [record]

    def _handle_linked(
        self,
        event: PeerLinked,
        now: float,
    ) -> list[MembershipAction]:
        self._watches.record_linked(
            event.peer,
            now,
            opened_here=event.opened_here,
        )
        known = tuple(member.record for member in self._table.by_id.values())
        actions: list[MembershipAction] = [SendRecords(event.peer, known)]
        return actions + self._retire(event.peer, event.address, now)

    def _retire(
        self,
        peer: Incarnation,
        address: VmAddress,
        now: float,
    ) -> list[MembershipAction]:
        """Declare gone who listened at an address where another answers."""
        found = replace(self.own, incarnation=peer, address=address)
        replaced = tuple(
            replace(record, state=MemberState.GONE)
            for record in self._table.find_same_address(found)
        )
        return self._take(replaced, now)

    def _handle_tick(self, now: float) -> list[MembershipAction]:
        self._watches.record_tick(now)
        actions: list[MembershipAction] = [
            PingPeer(peer) for peer in self._watches.find_pings(now)
        ]
        actions.extend(self._judge_all(now))
        for record in self._table.drop_expired(now - self._forget_after):
            gone = replace(record, state=MemberState.GONE)
            actions.append(MemberChanged(gone))
        actions.extend(self._retry_lost(now))
        return actions + self._update_links(now)

    def _judge_all(self, now: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        isolated = self._watches.is_isolated(now)
        for peer in self._watches.find_silent(now):
            actions.extend(self._reopen(peer, now))
            if not isolated:
                actions.extend(self._take(self._judge(peer, now), now))
        return actions

    def _reopen(self, peer: Incarnation, now: float) -> list[MembershipAction]:
        """Replace a silent link, since a new connection may work."""
        watch = self._watches.by_peer[peer]
        member = self._table.by_id.get(peer)
        if member is None or not watch.take_due_reopening(now):
            return []
        opening = OpenLink(member.record.address, peer)
        if not watch.is_linked:
            return [opening]
        watch.is_linked = False
        return [CloseLink(peer), opening]

    def _judge(
        self,
        peer: Incarnation,
        now: float,
    ) -> tuple[MemberRecord, ...]:
        """Return the record that this node's evidence allows."""
        member = self._table.by_id.get(peer)
        doubted_until = self._watches.by_peer[peer].suspicion_paused_until
        if member is None or not is_live(member.record) or now < doubted_until:
            return ()
        if member.record.state is not MemberState.SUSPECT:
            return (replace(member.record, state=MemberState.SUSPECT),)
        if now - member.changed_at < SILENT_AFTER_SECONDS:
            return ()
        return (replace(member.record, state=MemberState.SILENT),)

    def _retry_lost(self, now: float) -> list[MembershipAction]:
        if now - self._last_retry < RECONNECT_INTERVAL_SECONDS:
            return []
        self._last_retry = now
        isolated = self._watches.is_isolated(now)
        lost = self._table.find_retry_candidates(isolated=isolated)
        if not lost:
            return []
        record = self._random.choice(lost)
        return [OpenLink(record.address, record.incarnation)]

    def _update_links(self, now: float) -> list[MembershipAction]:
        """Open links to new neighbours and close those nobody needs."""
        wanted = self.neighbours()
        actions: list[MembershipAction] = []
        for peer in wanted:
            watch = self._watches.by_peer.setdefault(peer, PeerEvidence(now))
            if not watch.is_linked and watch.take_due_reopening(now):
                record = self._table.by_id[peer].record
                actions.append(OpenLink(record.address, peer))
        return actions + self._close_unneeded(wanted)

    def _close_unneeded(
        self, wanted: list[Incarnation]
    ) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        # A list, not a set, so that the order of actions is always the same.
        for peer, watch in list(self._watches.by_peer.items()):
            if peer in wanted:
                continue
            if not watch.is_linked:
                self._watches.by_peer.pop(peer)
            elif watch.opened_here and not self._may_be_watched_by(peer):
                watch.is_linked = False
                actions.append(CloseLink(peer))
        return actions

    def _may_be_watched_by(self, peer: Incarnation) -> bool:
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
    """Return a fleet that knows only this node.

    Parameters
    ----------
    own : MemberRecord
        First record of this node.
    random : RandomSource
        Source of random choices.
    forget_after : float, default=600.0
        Seconds after which silent and gone members are dropped.
    """
    check_range('forget_after', forget_after, SILENT_AFTER_SECONDS)
    return Membership(own, random, forget_after)
