"""Components that the links to other nodes report to."""

from typing import TYPE_CHECKING, Protocol

from mustardshunt.base import Revision
from mustardshunt.relay import (
    BackendServerStatusUpdate,
    CrashReportFrame,
    LiftFrame,
    MemberState,
    OperatorState,
    Ping,
    StateRequest,
    TokenGrantFrame,
    VerdictFrame,
)

if TYPE_CHECKING:
    from mustardshunt.sidecar._peer_link import PeerLink


class PeerEvents(Protocol):
    """Receives events and messages of peers."""

    def peer_status(self, name: str, update: BackendServerStatusUpdate) -> None:
        """Use the status of a peer's backend server for load balancing."""
        ...

    def peer_lost(self, name: str) -> None:
        """Send no more calls to a peer without a working link."""
        ...

    def peer_tokens(self, name: str, grant: TokenGrantFrame) -> None:
        """Add the tokens, possibly none, that a peer has granted."""
        ...


class DeploymentPeers(Protocol):
    """Exchanges the state of the deployment with peers."""

    def ping(self, name: str) -> Ping:
        """Return the ping for a node."""
        ...

    def greet(self, link: 'PeerLink', operator_change: Revision) -> None:
        """Send the state to a listener whose link has just opened."""
        ...

    def hear_changes(
        self,
        link: 'PeerLink',
        operator_change: Revision,
        member_change: Revision,
    ) -> None:
        """Request the state of a peer that knows newer changes."""
        ...

    def answer(self, request: StateRequest, peer: 'PeerLink') -> None:
        """Send a listener the state that it lacks."""
        ...

    def receive_operators(self, frame: OperatorState) -> None:
        """Apply the operator state of a peer."""
        ...

    def receive_members(self, frame: MemberState) -> StateRequest | None:
        """Apply the entries of a peer; return what is missing, if anything."""
        ...


class CrashPeers(Protocol):
    """Exchanges crash reports and verdicts with peers."""

    def greet(self, sink: 'PeerLink') -> None:
        """Tell the verdicts to a peer whose link has just opened."""
        ...

    def receive(
        self, frame: CrashReportFrame | VerdictFrame | LiftFrame, name: str
    ) -> None:
        """Handle a frame of a peer."""
        ...
