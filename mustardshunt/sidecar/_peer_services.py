"""Functions of a node that serve requests of other nodes, except calls."""

from dataclasses import dataclass, field
from typing import Protocol

from mustardshunt.base import Revision
from mustardshunt.relay import (
    CrashReportFrame,
    FrameStream,
    LiftFrame,
    MemberState,
    OperatorState,
    Ping,
    StateRequest,
    VerdictFrame,
)
from mustardshunt.sidecar._rollout_ports import IgnoredRollouts, RolloutPeers


class DeploymentServices(Protocol):
    """Exchanges the state of the deployment with nodes that open links."""

    def changes(self) -> tuple[Revision, Revision]:
        """Return the newest known changes of operators and of members."""
        ...

    def hear_ping(self, name: str, ping: Ping) -> StateRequest | None:
        """Record whether a peer follows; return what is missing here."""
        ...

    def lose_peer(self, name: str) -> None:
        """Record that the link of a peer was lost."""
        ...

    def answer(self, request: StateRequest, peer: FrameStream) -> None:
        """Send a peer the state that it lacks."""
        ...

    def receive_operators(self, frame: OperatorState) -> None:
        """Apply the operator state of a peer."""
        ...

    def receive_members(self, frame: MemberState) -> StateRequest | None:
        """Apply the entries of a peer; return what is missing, if anything."""
        ...


class TokenServices(Protocol):
    """Moves tokens between this node's shares and other nodes."""

    def grant(self, organisation: str, requester: str, wanted: int) -> int:
        """Remove at most ``wanted`` tokens, return how many were removed."""
        ...

    def take_back(self, organisation: str, amount: int) -> None:
        """Add tokens that another node returns."""
        ...


class CrashServices(Protocol):
    """Exchanges crash reports and verdicts with nodes that open links."""

    def hear_ping(
        self, name: str, is_follower: bool, sink: FrameStream
    ) -> None:
        """Record whether a peer follows, and how it can be reached."""
        ...

    def lose_peer(self, name: str) -> None:
        """Record that the link of a peer was lost."""
        ...

    def greet(self, sink: FrameStream) -> None:
        """Tell the verdicts to a peer whose link has just opened."""
        ...

    def receive(
        self, frame: CrashReportFrame | VerdictFrame | LiftFrame, name: str
    ) -> None:
        """Handle a frame of a peer."""
        ...


@dataclass(frozen=True, slots=True)
class PeerServices:
    """Functions that serve requests of other nodes, except calls.

    Parameters
    ----------
    relay : DeploymentServices
        Exchanges the state of the deployment with other nodes.
    tokens : TokenServices
        Moves tokens of the organisations' rates.
    crashes : CrashServices
        Exchanges crash reports and verdicts with other nodes.
    rollouts : RolloutPeers
        Exchanges stages and reports of rollouts with other nodes.
    """

    relay: DeploymentServices
    tokens: TokenServices
    crashes: CrashServices
    rollouts: RolloutPeers = field(default_factory=IgnoredRollouts)
