"""Spreads crashes and verdicts over the links between nodes."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

from mustardshunt.base import Clock, rank_of
from mustardshunt.load_balancing import Member
from mustardshunt.membership import REPORT_TIMEOUT_SECONDS
from mustardshunt.quarantine import CrashReport, Fingerprint
from mustardshunt.relay import CrashReportFrame, Frame, LiftFrame, VerdictFrame
from mustardshunt.sidecar._crash_codec import (
    decode_report,
    decode_verdict,
    encode_report,
    encode_verdict,
)
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._peer_link import PeerLink

# Most frames that are kept for a follower or a data centre that cannot be
# reached, and the time for which they are kept.
MAX_KEPT_FRAMES: Final = 128
KEPT_SECONDS: Final = 60.0
# Nodes of each other data centre to which a follower sends, so that the loss of
# one does not lose the frame.
PEERS_PER_DATA_CENTRE: Final = 2
# Interval at which followers repeat their verdicts to other data centres, for
# one that was cut off when the verdict was reached.
REPEAT_SECONDS: Final = 5.0

QuarantineFrame: TypeAlias = CrashReportFrame | VerdictFrame | LiftFrame


class FrameSink(Protocol):
    """Sends frames to a peer."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...


class Followers(Protocol):
    """Knows whether this node follows, and its listeners."""

    @property
    def is_following(self) -> bool:
        """Whether this node follows the platform's changes for others."""
        ...

    def listener_links(self) -> list[PeerLink]:
        """Return the open links to the nodes of this data centre."""
        ...


@dataclass(frozen=True, slots=True)
class _Follower:
    sink: FrameSink
    heard_at: float


class CrashRelay:
    """Collects crash reports at the followers, which tell all nodes a verdict.

    A node sends the crash of its backend server to the follower of its data
    centre only, and followers send it to the other data centres. Verdicts are
    rare. Followers send them to all nodes, and each node tells those that it
    knows to a peer whose link has just opened.

    Parameters
    ----------
    own : Member
        Entry of this node.
    monitor : CrashMonitor
        Counts crashes and holds the verdicts.
    followers : Followers
        Knows whether this node follows, and its listeners.
    links : LinkManager
        Links to the other nodes.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        monitor: CrashMonitor,
        followers: Followers,
        links: LinkManager,
        clock: Clock,
    ) -> None:
        self._own = own
        self._monitor = monitor
        self._followers = followers
        self._links = links
        self._clock = clock
        self._follower_by_name: dict[str, _Follower] = {}
        self._names_by_data_centre: dict[str, list[str]] = {}
        # Frames by their number, with the time at which they were added.
        self._kept: OrderedDict[int, tuple[float, QuarantineFrame]] = (
            OrderedDict()
        )
        self._last_number = 0
        # Number of the last frame that was sent to a follower, a data centre,
        # or the listeners.
        self._sent_by_target: dict[tuple[str, str], int] = {}
        self._spread_level: dict[Fingerprint, int] = {}
        self._is_receiving_from_follower = False
        self._was_following = False
        self._repeated_at = 0.0

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Set the nodes of the deployment."""
        names_by_data_centre: dict[str, list[str]] = {}
        for name in sorted(by_name, key=rank_of):
            data_centre = by_name[name].data_centre
            if data_centre != self._own.data_centre:
                names_by_data_centre.setdefault(data_centre, []).append(name)
        self._names_by_data_centre = names_by_data_centre

    def hear_ping(self, name: str, is_follower: bool, sink: FrameSink) -> None:
        """Record whether a peer follows, and how it can be reached."""
        if not is_follower:
            self.lose_peer(name)
            return
        known = self._follower_by_name.get(name)
        if known is None or known.sink is not sink:
            # The follower, or its link, is new: it may lack what was sent.
            self._sent_by_target.pop(('follower', name), None)
        self._follower_by_name[name] = _Follower(sink, self._clock.now())
        self._flush()

    def lose_peer(self, name: str) -> None:
        """Record that a peer does not follow, or that its link was lost."""
        self._follower_by_name.pop(name, None)
        self._sent_by_target.pop(('follower', name), None)

    def greet(self, sink: FrameSink) -> None:
        """Tell the verdicts to a peer whose link has just opened."""
        now = self._clock.now()
        for verdict in self._monitor.verdicts():
            sink.send(encode_verdict(verdict, now))

    def receive(self, frame: QuarantineFrame, name: str) -> None:
        """Handle a frame of a peer.

        Raises
        ------
        FrameError
            The frame cannot be decoded.
        """
        # A node that does not follow has nobody to tell what its follower said.
        self._is_receiving_from_follower = (
            name in self._follower_by_name and not self._followers.is_following
        )
        try:
            self._handle(frame)
        finally:
            self._is_receiving_from_follower = False

    def spread_report(self, report: CrashReport) -> None:
        """Tell the followers of a crash."""
        self._keep(encode_report(report))
        self._flush()

    def spread_verdicts(self) -> None:
        """Tell other nodes each verdict that is new or has more evidence."""
        now = self._clock.now()
        verdicts = self._monitor.verdicts()
        for verdict in verdicts:
            known_level = self._spread_level.get(verdict.fingerprint, 0)
            if verdict.level > known_level:
                self._keep(encode_verdict(verdict, now))
        self._spread_level = {
            verdict.fingerprint: verdict.level for verdict in verdicts
        }
        self._flush()

    def spread_lift(self, fingerprint: Fingerprint) -> None:
        """Tell other nodes that an operator has lifted a quarantine."""
        self._keep(LiftFrame(fingerprint))
        self._flush()

    def check(self, now: float) -> None:
        """Send what could not be sent before; called every 0.1 s."""
        for name, follower in list(self._follower_by_name.items()):
            if now - follower.heard_at > REPORT_TIMEOUT_SECONDS:
                self.lose_peer(name)
        while self._kept:
            number, (kept_at, _) = next(iter(self._kept.items()))
            if now - kept_at < KEPT_SECONDS:
                break
            del self._kept[number]
        is_following = self._followers.is_following
        if is_following and not self._was_following:
            self._sent_by_target.clear()
            for link in self._followers.listener_links():
                self.greet(link)
        self._was_following = is_following
        self._flush()
        if is_following and now - self._repeated_at > REPEAT_SECONDS:
            self._repeated_at = now
            self._repeat()

    def _handle(self, frame: QuarantineFrame) -> None:
        match frame:
            case CrashReportFrame():
                self._monitor.hear_report(decode_report(frame))
            case VerdictFrame():
                now = self._clock.now()
                self._monitor.hear_verdict(decode_verdict(frame, now))
            case LiftFrame():
                self._monitor.lift(Fingerprint(frame.fingerprint))

    def _keep(self, frame: QuarantineFrame) -> None:
        if self._is_receiving_from_follower:
            return
        self._last_number += 1
        self._kept[self._last_number] = (self._clock.now(), frame)
        if len(self._kept) > MAX_KEPT_FRAMES:
            self._kept.popitem(last=False)

    def _flush(self) -> None:
        if not self._kept:
            return
        if self._followers.is_following:
            for data_centre in self._names_by_data_centre:
                self._tell_data_centre(data_centre)
            self._tell_listeners()
            return
        for name, follower in self._follower_by_name.items():
            for frame in self._take(('follower', name)):
                follower.sink.send(frame)

    def _tell_data_centre(self, data_centre: str) -> None:
        links = self._open_links(data_centre)
        if not links:
            # The frames are sent by a later check, when a link is open.
            return
        for frame in self._take(('data centre', data_centre)):
            for link in links:
                link.send(frame)

    def _tell_listeners(self) -> None:
        links = self._followers.listener_links()
        for frame in self._take(('listeners', '')):
            if isinstance(frame, CrashReportFrame):
                # Only followers count crashes, so that a crash costs no frame
                # to each node.
                continue
            for link in links:
                link.send(frame)

    def _take(self, target: tuple[str, str]) -> list[QuarantineFrame]:
        sent = self._sent_by_target.get(target, 0)
        if sent == self._last_number:
            return []
        self._sent_by_target[target] = self._last_number
        return [
            frame for number, (_, frame) in self._kept.items() if number > sent
        ]

    def _open_links(self, data_centre: str) -> list[PeerLink]:
        names = self._names_by_data_centre[data_centre]
        links = []
        for name in names:
            link = self._links.find(name)
            if link is not None and link.is_open:
                links.append(link)
            if len(links) == PEERS_PER_DATA_CENTRE:
                break
        target = ('data centre', data_centre)
        is_up_to_date = self._sent_by_target.get(target) == self._last_number
        if not links and not is_up_to_date:
            for name in names[:PEERS_PER_DATA_CENTRE]:
                self._links.open(name)
        return links

    def _repeat(self) -> None:
        if not self._monitor.verdicts():
            return
        for data_centre in self._names_by_data_centre:
            for link in self._open_links(data_centre)[:1]:
                self.greet(link)
