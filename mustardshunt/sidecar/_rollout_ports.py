"""Interfaces between the rollouts of a node and its other components."""

from collections.abc import Collection
from typing import TYPE_CHECKING, Protocol, TypeAlias

from mustardshunt.relay import (
    Answered,
    AnswerLost,
    Frame,
    NotRun,
    RolloutReportFrame,
    RolloutStageFrame,
)
from mustardshunt.upstream import BackendServerStatus

if TYPE_CHECKING:
    from mustardshunt.sidecar._served_call import ServedCall

RolloutFrame: TypeAlias = RolloutStageFrame | RolloutReportFrame


class FrameSink(Protocol):
    """Sends frames to a peer."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...


class RolloutPeers(Protocol):
    """Exchanges stages and reports of rollouts with peers."""

    def hear_ping(self, name: str, is_follower: bool, sink: FrameSink) -> None:
        """Record whether a peer follows, and how it can be reached."""
        ...

    def lose_peer(self, name: str) -> None:
        """Record that the link of a peer was lost."""
        ...

    def greet(self, sink: FrameSink) -> None:
        """Tell the rollouts to a peer whose link has just opened."""
        ...

    def receive(self, frame: RolloutFrame, name: str) -> None:
        """Handle a frame of a peer."""
        ...


class IgnoredRollouts:
    """Ignores what peers tell of rollouts: the settings do not enable them."""

    def hear_ping(self, name: str, is_follower: bool, sink: FrameSink) -> None:
        """Do nothing."""

    def lose_peer(self, name: str) -> None:
        """Do nothing."""

    def greet(self, sink: FrameSink) -> None:
        """Do nothing."""

    def receive(self, frame: RolloutFrame, name: str) -> None:
        """Do nothing."""


class VersionChoice(Protocol):
    """Says which members of a service an attempt may use."""

    async def wait_confirmed(self, service: str) -> None:
        """Wait until the version in use is known, as far as it can be."""
        ...

    def excluded(self, service: str, tried: Collection[str]) -> Collection[str]:
        """Return the members to leave out; those tried are among them."""
        ...

    def fall_back(
        self, service: str, tried: Collection[str]
    ) -> Collection[str]:
        """Return the same when the choice just made found no member."""
        ...

    def record_result(
        self,
        service: str,
        name: str,
        result: Answered | NotRun | AnswerLost | None,
    ) -> None:
        """Record how an attempt at a member has ended."""
        ...


class MemberVersions(Protocol):
    """Keeps the versions of the members."""

    def record_status(
        self, name: str, status: BackendServerStatus, is_usable: bool
    ) -> bool:
        """Record a status; tell if the member may take calls."""
        ...

    def record_lost(self, name: str) -> None:
        """Record that a member cannot be reached."""
        ...


class RunObserver(Protocol):
    """Observes the runs of the backend server beside this node."""

    def record_run(
        self, served: 'ServedCall', result: Answered | NotRun | AnswerLost
    ) -> None:
        """Record how a call has ended."""
        ...
