"""Keeps the fleet's records up to date over the links of the node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from mustardshunt.base import (
    Clock,
    Incarnation,
    MemberRecord,
    MemberState,
)
from mustardshunt.membership import (
    CloseLink,
    MemberChanged,
    Membership,
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
from mustardshunt.transport import Link, LinkPool

_LIVE_STATES = frozenset((
    MemberState.JOINING,
    MemberState.COLD,
    MemberState.READY,
    MemberState.DRAINING,
    MemberState.SUSPECT,
))


@dataclass(frozen=True, slots=True)
class MembersFrame:
    """Changed records of members.

    Parameters
    ----------
    records : tuple of MemberRecord
        Records in any order.
    """

    records: tuple[MemberRecord, ...]


class MemberSync:
    """Feeds links and frames to the fleet and carries out its actions.

    Parameters
    ----------
    fleet : Membership
        Decides on members.
    links : LinkPool
        Links of this node.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        fleet: Membership,
        links: LinkPool,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._subscribers: list[Callable[[MemberRecord], None]] = []
        self._clock = clock
        self._ticked_at = 0.0

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._fleet.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All records that are known."""
        return self._fleet.snapshot().records

    def list_live(self) -> list[MemberRecord]:
        """Return the records of nodes that run, this one included."""
        return [
            record for record in self.records if record.state in _LIVE_STATES
        ]

    def list_live_in_data_centre(self) -> list[Incarnation]:
        """Return the nodes of the own data centre that run."""
        return [
            record.incarnation
            for record in self.list_live()
            if record.data_centre == self.own.data_centre
        ]

    def handle_records(self, link: Link, frame: MembersFrame) -> None:
        """Take records from a peer."""
        self.handle(RecordsArrived(frame.records, link.incarnation))

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a node, None when it is not known."""
        return self._fleet.find(incarnation)

    def list_neighbours(self) -> list[Incarnation]:
        """Return the peers that are watched, and those that watch."""
        return self._fleet.linked()

    def subscribe(self, take_member: Callable[[MemberRecord], None]) -> None:
        """Tell a part of the node of each record that changes."""
        self._subscribers.append(take_member)

    def set_state(self, state: MemberState, service: str) -> None:
        """Change the state of this node and its backend server."""
        own = self._fleet.own
        if (own.state, own.service) == (state, service):
            return
        logger.info('own state is {} for service {!r}', state, service)
        self.handle(OwnStateChanged(state, service))

    def handle(self, event: MembershipEvent) -> None:
        """Feed an event to the fleet and carry out its actions."""
        self._apply(self._fleet.handle(event, self._clock.now()))

    def handle_open(self, link: Link) -> None:
        """Take notice of an open link."""
        event = PeerLinked(link.incarnation, link.address, link.dialed)
        self.handle(event)

    def handle_close(self, link: Link) -> None:
        """Take notice of a closed link."""
        if self._links.find_any(link.incarnation) is None:
            self.handle(PeerUnlinked(link.incarnation))

    def tick(self) -> None:
        """Report which peers were heard, and let the fleet judge."""
        for link in self._links.links:
            if link.received_at > self._ticked_at:
                self.handle(PeerHeard(link.incarnation))
        self._ticked_at = self._clock.now()
        self._links.pinned_peers = frozenset(self._fleet.neighbours())
        self.handle(MembershipTick())

    def _apply(self, actions: Iterable[MembershipAction]) -> None:
        for action in actions:
            match action:
                case SendRecords(peer, records):
                    self._send(peer, MembersFrame(records))
                case MemberChanged(record):
                    self._release_gone(record)
                    for take_member in self._subscribers:
                        take_member(record)
                case OpenLink(address, _):
                    self._links.open(address)
                case PingPeer(peer):
                    self._ping(peer)
                case CloseLink(peer):
                    self._close(peer)

    def _release_gone(self, record: MemberRecord) -> None:
        if record.state is not MemberState.GONE:
            return
        is_taken = any(
            other.address == record.address
            for other in self.list_live()
            if other.incarnation != record.incarnation
        )
        if not is_taken:
            self._links.release(record.address)

    def _send(self, peer: Incarnation, frame: object) -> None:
        link = self._links.find_any(peer)
        if link is not None:
            link.send(frame)

    def _ping(self, peer: Incarnation) -> None:
        link = self._links.find_any(peer)
        if link is not None:
            link.ping(self._clock.now())

    def _close(self, peer: Incarnation) -> None:
        link = self._links.find_any(peer)
        if link is None:
            return
        # A link that carries calls is left to the pool, which closes it when
        # it has been idle for long.
        if link.is_silent(self._clock.now()):
            link.abort()
