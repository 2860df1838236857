"""Reports the platform's changes to the nodes of this data centre."""

from collections.abc import Iterable
from typing import Final, Protocol

from mustardshunt.base import NO_REVISION, Clock, Revision
from mustardshunt.load_balancing import Member
from mustardshunt.membership import FollowerRole
from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Frame,
    MemberState,
    OperatorState,
    Ping,
    StateRequest,
)
from mustardshunt.sidecar._data_centre_links import (
    DataCentreLinks,
    find_open_links,
)
from mustardshunt.sidecar._deployment_codec import (
    decode_member_state,
    decode_operator_state,
    encode_member_state,
)
from mustardshunt.sidecar._deployment_updater import DeploymentUpdater
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._peer_link import PeerLink
from mustardshunt.sidecar._platform_access import FollowGate
from mustardshunt.sidecar._ports import (
    MemberUpdate,
    OperatorSource,
    OperatorUpdate,
)
from mustardshunt.sidecar._sync import MemberSync, OperatorSync

# Time in which a follower usually reports a change that another peer already
# knows. After it, the change is requested from that peer.
REPORT_WAIT_SECONDS: Final = 0.15
# Interval at which a follower tells its listeners that it follows.
REPORT_SECONDS: Final = 1.0


class FrameSink(Protocol):
    """Sends frames to a peer."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...


class _InformedPeer:
    """A peer that knows changes which this node lacks."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._link: PeerLink | None = None
        self._noted_at = 0.0

    def note(self, link: PeerLink, now: float) -> None:
        """Note an informed peer; one in the own data centre is preferred."""
        if self._link is None or not self._link.is_open:
            self._link = link
            self._noted_at = now
        elif link.member.data_centre == self._data_centre:
            self._link = link

    def take_due(self, now: float) -> PeerLink | None:
        """Return the peer once a follower has had time to report."""
        link = self._link
        if link is None or now - self._noted_at < REPORT_WAIT_SECONDS:
            return None
        self._link = None
        return link


class DeploymentRelay:
    """Passes the state of the deployment between nodes.

    One node of each data centre follows the platform's changes and reports them
    to the others over links. A node that lacks a change that some peer knows
    requests it from this peer.

    Parameters
    ----------
    own : Member
        Entry of this node.
    role : FollowerRole
        Decides whether this node follows.
    gate : FollowGate
        Lets this node read the platform's changes.
    source : OperatorSource
        Parses the policies that peers send.
    updater : DeploymentUpdater
        Holds the policy and the evacuations that are in force.
    links : LinkManager
        Links to the other nodes.
    log : EventLog
        Log of the times at which this node follows.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        role: FollowerRole,
        gate: FollowGate,
        source: OperatorSource,
        updater: DeploymentUpdater,
        links: LinkManager,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self._own = own
        self._role = role
        self._gate = gate
        self._source = source
        self._updater = updater
        self._links = links
        self._log = log
        self._clock = clock
        self._operators: OperatorSync | None = None
        self._members: MemberSync | None = None
        self._listener_names: list[str] = []
        self._heard_changes = (NO_REVISION, NO_REVISION)
        self._informed = _InformedPeer(own.data_centre)
        self._reported_at = 0.0
        self.data_centres = DataCentreLinks(own.data_centre, links, clock)

    def connect(self, operators: OperatorSync, members: MemberSync) -> None:
        """Set the tasks that are created after this relay."""
        self._operators = operators
        self._members = members

    @property
    def is_following(self) -> bool:
        """Whether this node follows the platform's changes for others."""
        return self._gate.is_open

    @property
    def is_reporting(self) -> bool:
        """Whether this node follows, and the platform answers it."""
        return self._operators is not None and self._operators.is_answered

    def changes(self) -> tuple[Revision, Revision]:
        """Return the newest known changes of operators and of members."""
        if self._operators is None or self._members is None:
            return NO_REVISION, NO_REVISION
        return self._operators.newest_change, self._members.newest_change

    def ping(self, name: str) -> Ping:
        """Return the ping for a node."""
        is_listener = self.is_reporting and name in self._listener_names
        revision = NO_REVISION
        if is_listener and self._operators is not None:
            revision = self._operators.revision
        return Ping(*self.changes(), is_listener, revision)

    def check(self, now: float) -> None:
        """Start or stop to follow, end holds; called every 0.1 s."""
        self._updater.check(now)
        if self._members is not None:
            self._members.check(now)
        informed = self._informed.take_due(now)
        request = self._find_missing(*self._heard_changes)
        if informed is not None and request is not None:
            informed.send(request)
        if now - self._reported_at >= REPORT_SECONDS and self._gate.is_open:
            self._reported_at = now
            for link in self.listener_links():
                link.send(self.ping(link.member.name))
        if self._gate.is_open:
            self.data_centres.report(self.changes())
        is_following = self._role.is_following(now)
        if is_following == self._gate.is_open:
            return
        if is_following:
            self._gate.open()
        else:
            self._gate.close()
        self._log.record('following', now, is_following=is_following)
        self._update_listeners()

    def set_members(self, by_name: dict[str, Member]) -> None:
        """Set the nodes to which changes are reported while following."""
        self._listener_names = [
            name
            for name, member in by_name.items()
            if member.data_centre == self._own.data_centre
            and name != self._own.name
        ]
        self._role.set_members([*self._listener_names, self._own.name])
        self.data_centres.set_members(by_name)
        self._update_listeners()

    def report_operators(self, update: OperatorUpdate) -> None:
        """Send a change of operators to the listeners."""
        if not self.is_reporting:
            return
        has_news = update.evacuated or update.restored or update.orders
        if update.document or has_news:
            _send_all(self.listener_links(), self._updater.operator_state())

    def report_members(self, update: MemberUpdate, base: Revision) -> None:
        """Send changed entries to the listeners."""
        _send_all(self.listener_links(), encode_member_state(update, base))

    def greet(self, link: PeerLink, operator_change: Revision) -> None:
        """Send the whole state to a listener whose link has just opened.

        Parameters
        ----------
        link : PeerLink
            Link to the listener.
        operator_change : Revision
            Newest operator change that the listener knows.
        """
        is_listener = link.member.name in self._listener_names
        if not self.is_reporting or not is_listener:
            return
        link.send(self.ping(link.member.name))
        if self._updater.is_ahead:
            # A listener that has just started may have read an older policy
            # from the platform's copy.
            link.send(self._updater.operator_state())
        self.answer(StateRequest(operator_change, NO_REVISION), link)

    def answer(self, request: StateRequest, peer: FrameSink) -> None:
        """Send a peer the state that it lacks."""
        for frame in self._missing_state(request):
            peer.send(frame)

    def receive_operators(self, frame: OperatorState) -> None:
        """Apply the operator state of a peer.

        Raises
        ------
        FrameError
            The state cannot be decoded.
        """
        update = decode_operator_state(frame, self._source)
        operators = self._operators
        if operators is None:
            return
        known = operators.newest_change
        operators.receive(update)
        if operators.newest_change > known and self._gate.is_open:
            # The other nodes of this data centre rely on this node.
            _send_all(self.listener_links(), self._updater.operator_state())

    def receive_members(self, frame: MemberState) -> StateRequest | None:
        """Apply the entries that a peer has sent.

        Returns
        -------
        StateRequest or None
            Request for all entries, None if nothing is missing.

        Raises
        ------
        FrameError
            The entries cannot be decoded.
        """
        update = decode_member_state(frame)
        members = self._members
        if members is None:
            return None
        if frame.base > members.revision:
            return StateRequest(self.changes()[0], NO_REVISION)
        members.receive(update)
        return None

    def hear_ping(self, name: str, ping: Ping) -> StateRequest | None:
        """Record whether a peer follows the platform's changes.

        Returns
        -------
        StateRequest or None
            Request for what the peer knows and this node lacks, None if this
            node lacks nothing.
        """
        now = self._clock.now()
        self.data_centres.record(name)
        if ping.is_follower:
            self._role.record_report(name, now)
            if self._operators is not None:
                self._operators.record_complete(
                    ping.operator_revision, ping.operator_change
                )
        else:
            self._role.record_loss(name, now)
        return self._find_missing(ping.operator_change, ping.member_change)

    def lose_peer(self, name: str) -> None:
        """Record that the link of a peer was lost."""
        self._role.record_loss(name, self._clock.now())

    def hear_changes(
        self, link: PeerLink, operator_change: Revision, member_change: Revision
    ) -> None:
        """Note a peer that knows newer changes, to request them from it.

        The state is requested in a while, unless a follower reports it before.
        """
        self.data_centres.record(link.member.name)
        if self._find_missing(operator_change, member_change) is not None:
            self._informed.note(link, self._clock.now())

    def listener_links(self) -> list[PeerLink]:
        """Return the open links to the nodes of this data centre."""
        return find_open_links(self._links, self._listener_names)

    def _find_missing(
        self, operator_change: Revision, member_change: Revision
    ) -> StateRequest | None:
        """Return the request for newer changes, None if there are none."""
        own_operator_change, own_member_change = self.changes()
        is_missing = operator_change > own_operator_change
        if is_missing and self._operators is not None:
            self._operators.request_refresh(operator_change)
        self._heard_changes = (
            max(self._heard_changes[0], operator_change),
            max(self._heard_changes[1], member_change),
        )
        if is_missing or member_change > own_member_change:
            return StateRequest(own_operator_change, own_member_change)
        return None

    def _missing_state(
        self, request: StateRequest
    ) -> list[OperatorState | MemberState]:
        operator_change, member_change = self.changes()
        frames: list[OperatorState | MemberState] = []
        if operator_change > request.operator_change:
            frames.append(self._updater.operator_state())
        members = self._members
        if members is not None and member_change > request.member_change:
            snapshot = MemberUpdate(
                members.revision,
                members.stored(),
                (),
                is_snapshot=True,
                newest_change=member_change,
            )
            frames.append(encode_member_state(snapshot, NO_REVISION))
        return frames

    def _update_listeners(self) -> None:
        names = self._listener_names if self._gate.is_open else []
        self._links.set_listeners(names)
        if not self._gate.is_open:
            self.data_centres.close()


def _send_all(links: Iterable[PeerLink], frame: Frame) -> None:
    for link in links:
        link.send(frame)
