"""Exchanges membership records with peers over the links of the node."""

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
    """Membership records of nodes, sent to a peer.

    Parameters
    ----------
    records : tuple of MemberRecord
        Records of any nodes, in any order.
    """

    records: tuple[MemberRecord, ...]


class MemberSync:
    """Passes link events to the membership, and carries out the actions.

    The membership decides on an action, such as a ping, after an event.

    Parameters
    ----------
    membership : Membership
        Detects failed nodes and decides which records go to which peer.
    links : LinkPool
        Links of this node.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        membership: Membership,
        links: LinkPool,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._links = links
        self._subscribers: list[Callable[[MemberRecord], None]] = []
        self._clock = clock
        self._ticked_at = 0.0

    @property
    def own(self) -> MemberRecord:
        """Membership record of this node."""
        return self._membership.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """Membership records of all known nodes."""
        return self._membership.snapshot().records

    def list_live(self) -> list[MemberRecord]:
        """Return the records of all live nodes, including this node."""
        return [
            record for record in self.records if record.state in _LIVE_STATES
        ]

    def list_live_in_data_centre(self) -> list[Incarnation]:
        """Return the live nodes in the data centre of this node."""
        return [
            record.incarnation
            for record in self.list_live()
            if record.data_centre == self.own.data_centre
        ]

    def handle_records(self, link: Link, frame: MembersFrame) -> None:
        """Pass membership records that a peer has sent to the membership."""
        self.handle(RecordsArrived(frame.records, link.incarnation))

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of a node, None when the node is not known."""
        return self._membership.find(incarnation)

    def list_neighbours(self) -> list[Incarnation]:
        """Return the peers with an open link.

        They include peers that watch this node for failures and peers that
        this node watches.
        """
        return self._membership.linked()

    def subscribe(self, handle_change: Callable[[MemberRecord], None]) -> None:
        """Call a function with each membership record that changes."""
        self._subscribers.append(handle_change)

    def set_state(self, state: MemberState, service: str) -> None:
        """Publish this node's state and the service of its backend server."""
        own = self._membership.own
        if (own.state, own.service) == (state, service):
            return
        logger.info(
            'this node is now {} for service {!r}, formerly {} for {!r}',
            state,
            service,
            own.state,
            own.service,
        )
        self.handle(OwnStateChanged(state, service))

    def handle(self, event: MembershipEvent) -> None:
        """Pass an event to the membership and carry out the actions."""
        self._apply(self._membership.handle(event, self._clock.now()))

    def handle_open(self, link: Link) -> None:
        """Report a link that has opened to the membership."""
        event = PeerLinked(link.incarnation, link.address, link.dialed)
        self.handle(event)

    def handle_close(self, link: Link) -> None:
        """Report to the membership when the last link to a peer has closed."""
        if self._links.find_any(link.incarnation) is None:
            self.handle(PeerUnlinked(link.incarnation))

    def tick(self) -> None:
        """Report the peers that sent something since the last tick.

        The membership then checks which peers have failed.
        """
        for link in self._links.links:
            if link.received_at > self._ticked_at:
                self.handle(PeerHeard(link.incarnation))
        self._ticked_at = self._clock.now()
        self._links.pinned_peers = frozenset(self._membership.neighbours())
        self.handle(MembershipTick())

    def _apply(self, actions: Iterable[MembershipAction]) -> None:
        for action in actions:
            match action:
                case SendRecords(peer, records):
                    self._send(peer, MembersFrame(records))
                case MemberChanged(record):
                    self._release_address(record)
                    for handle_change in self._subscribers:
                        handle_change(record)
                case OpenLink(address, _):
                    self._links.open(address)
                case PingPeer(peer):
                    self._ping(peer)
                case CloseLink(peer):
                    self._close(peer)

    def _release_address(self, record: MemberRecord) -> None:
        if record.state is not MemberState.GONE:
            return
        is_reused = any(
            other.address == record.address
            for other in self.list_live()
            if other.incarnation != record.incarnation
        )
        if not is_reused:
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
        # A link that is not silent may have calls in flight, so it stays open.
        # The link pool closes the link after a long idle time.
        if link.is_silent(self._clock.now()):
            link.abort()
