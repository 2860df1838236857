"""Spreads the stages and reports of rollouts over the links between nodes."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.base import Clock, rank_of
from mustardshunt.load_balancing import Member
from mustardshunt.membership import REPORT_TIMEOUT_SECONDS
from mustardshunt.relay import RolloutReportFrame, RolloutStageFrame
from mustardshunt.rollouts import RolloutStage, UpstreamReport
from mustardshunt.sidecar._crash_relay import Followers
from mustardshunt.sidecar._data_centre_links import find_open_links
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._peer_link import PeerLink
from mustardshunt.sidecar._rollout_codec import (
    decode_report,
    decode_stage,
    encode_report,
    encode_stage,
)
from mustardshunt.sidecar._rollout_ports import FrameSink, RolloutFrame

# Nodes of each other data centre to which a follower sends, so that the loss of
# one does not lose the frame.
PEERS_PER_DATA_CENTRE: Final = 2
# Time for which followers repeat the end of a rollout to their listeners, and
# the interval.
REPEATED_SECONDS: Final = 20.0
REPEAT_INTERVAL_SECONDS: Final = 1.0
# Processes of nodes whose last report is known.
MAX_REPORTERS: Final = 4096


class StageHolder(Protocol):
    """Holds the stages that this node knows."""

    def apply(self, stage: RolloutStage, seconds_left: float) -> bool:
        """Use a stage; tell if it is news."""
        ...

    def held(self) -> list[tuple[RolloutStage, float]]:
        """Return the known stages, each with the time that is left."""
        ...


@dataclass(frozen=True, slots=True)
class _Follower:
    sink: FrameSink
    heard_at: float


class RolloutRelay:
    """Collects reports at the followers, and tells all nodes the stages.

    A node sends its reports to the follower of its data centre, and followers
    send them to the other data centres, since one of them decides. A stage
    takes the way back: a follower sends it to its listeners and to two nodes of
    each other data centre, which tell their follower.

    Parameters
    ----------
    own : Member
        Entry of this node.
    followers : Followers
        Knows whether this node follows, and its listeners.
    links : LinkManager
        Links to the other nodes.
    holder : StageHolder
        Holds the stages that this node knows.
    valid_seconds : float
        Time for which a stage may be used without a newer one.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        followers: Followers,
        links: LinkManager,
        holder: StageHolder,
        valid_seconds: float,
        clock: Clock,
    ) -> None:
        self._own = own
        self._followers = followers
        self._links = links
        self._holder = holder
        self._valid_seconds = valid_seconds
        self._clock = clock
        self._on_stage: Callable[[RolloutStage], None] = _ignore
        self._on_report: Callable[[UpstreamReport], None] = _ignore
        self._follower_by_name: dict[str, _Follower] = {}
        self._data_centre_by_name: dict[str, str] = {}
        self._names_by_data_centre: dict[str, list[str]] = {}
        self._sequence_by_reporter: OrderedDict[tuple[str, str], int] = (
            OrderedDict()
        )
        self._ended_at_by_service: dict[str, float] = {}
        self._repeated_at = 0.0

    def connect(
        self,
        on_stage: Callable[[RolloutStage], None],
        on_report: Callable[[UpstreamReport], None],
    ) -> None:
        """Set what is called with each stage and, at a follower, report."""
        self._on_stage = on_stage
        self._on_report = on_report

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Set the nodes of the deployment."""
        self._data_centre_by_name = {}
        self._names_by_data_centre = {}
        for name in sorted(by_name, key=rank_of):
            data_centre = by_name[name].data_centre
            self._data_centre_by_name[name] = data_centre
            if data_centre != self._own.data_centre:
                self._names_by_data_centre.setdefault(data_centre, []).append(
                    name
                )

    def own_rank(self) -> int:
        """Return the rank of this node's data centre."""
        others = self._names_by_data_centre
        return sum(
            rank_of(other) < rank_of(self._own.data_centre) for other in others
        )

    def hear_ping(self, name: str, is_follower: bool, sink: FrameSink) -> None:
        """Record whether a peer follows, and how it can be reached."""
        if is_follower:
            self._follower_by_name[name] = _Follower(sink, self._clock.now())
        else:
            self.lose_peer(name)

    def lose_peer(self, name: str) -> None:
        """Record that a peer does not follow, or that its link was lost."""
        self._follower_by_name.pop(name, None)

    def greet(self, sink: FrameSink) -> None:
        """Tell the known stages to a peer whose link has just opened."""
        for stage, seconds_left in self._holder.held():
            sink.send(encode_stage(stage, seconds_left))

    def receive(self, frame: RolloutFrame, name: str) -> None:
        """Handle a frame of a peer.

        Raises
        ------
        FrameError
            The frame cannot be decoded.
        """
        if isinstance(frame, RolloutReportFrame):
            self._handle_report(frame, name)
            return
        stage, seconds_left = decode_stage(frame)
        is_news = self._holder.apply(stage, seconds_left)
        self._on_stage(stage)
        if is_news:
            self._note_end(stage)
            self._forward(frame, name)

    def send_report(self, report: UpstreamReport) -> None:
        """Send a report of this node to the followers."""
        self._handle_report(encode_report(report), self._own.name)

    def spread(self, stage: RolloutStage) -> bool:
        """Use a stage here and tell it to all nodes; tell if it is news."""
        is_news = self._holder.apply(stage, self._valid_seconds)
        if is_news:
            self._note_end(stage)
            self._forward(
                encode_stage(stage, self._valid_seconds), self._own.name
            )
        return is_news

    def check(self, now: float) -> None:
        """Repeat the ends of rollouts; called every 0.1 s."""
        for name, follower in list(self._follower_by_name.items()):
            if now - follower.heard_at > REPORT_TIMEOUT_SECONDS:
                self.lose_peer(name)
        if now - self._repeated_at < REPEAT_INTERVAL_SECONDS:
            return
        self._repeated_at = now
        for service, ended_at in list(self._ended_at_by_service.items()):
            if now - ended_at > REPEATED_SECONDS:
                del self._ended_at_by_service[service]
        if self._ended_at_by_service and self._followers.is_following:
            self._repeat_ends()

    def _repeat_ends(self) -> None:
        links = [*self._followers.listener_links(), *self._far_links()]
        for stage, seconds_left in self._holder.held():
            if stage.service not in self._ended_at_by_service:
                continue
            frame = encode_stage(stage, seconds_left)
            for link in links:
                link.send(frame)

    def _note_end(self, stage: RolloutStage) -> None:
        if stage.phase.is_final:
            self._ended_at_by_service[stage.service] = self._clock.now()

    def _handle_report(self, frame: RolloutReportFrame, name: str) -> None:
        report = decode_report(frame)
        reporter = (frame.incarnation, frame.version)
        if self._sequence_by_reporter.get(reporter, -1) >= frame.sequence:
            return
        self._sequence_by_reporter[reporter] = frame.sequence
        self._sequence_by_reporter.move_to_end(reporter)
        if len(self._sequence_by_reporter) > MAX_REPORTERS:
            self._sequence_by_reporter.popitem(last=False)
        if self._followers.is_following:
            self._on_report(report)
        self._forward(frame, name)

    def _forward(
        self, frame: RolloutStageFrame | RolloutReportFrame, name: str
    ) -> None:
        """Send a frame on: from the nodes to the followers and back."""
        if not self._followers.is_following:
            if name in self._follower_by_name:
                return
            for follower in list(self._follower_by_name.values()):
                follower.sink.send(frame)
            return
        origin = self._data_centre_by_name.get(name, self._own.data_centre)
        if origin == self._own.data_centre:
            for link in self._far_links():
                link.send(frame)
        if isinstance(frame, RolloutStageFrame):
            for link in self._followers.listener_links():
                if link.member.name != name:
                    link.send(frame)

    def _far_links(self) -> list[PeerLink]:
        links: list[PeerLink] = []
        for names in self._names_by_data_centre.values():
            found = find_open_links(self._links, names)
            if not found:
                # The next frames find the links open.
                for name in names[:PEERS_PER_DATA_CENTRE]:
                    self._links.open(name)
            links.extend(found[:PEERS_PER_DATA_CENTRE])
        return links


def _ignore(item: object) -> None:
    """Do nothing: the component is not connected yet."""
