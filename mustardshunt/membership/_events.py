"""Events and actions of the fleet."""

from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import (
    Incarnation,
    MemberRecord,
    MemberState,
    VmAddress,
)


@dataclass(frozen=True, slots=True)
class RecordsArrived:
    """Records have come from a peer, from the platform or from a handshake.

    Parameters
    ----------
    records : tuple of MemberRecord
        Records in any order.
    peer : Incarnation or None, default=None
        Peer that sent them; None for the platform.
    """

    records: tuple[MemberRecord, ...]
    peer: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class OwnStateChanged:
    """The own node or its backend server has changed its state.

    Parameters
    ----------
    state : MemberState
        New state.
    service : str
        Service of the backend server, empty when there is none.
    """

    state: MemberState
    service: str


@dataclass(frozen=True, slots=True)
class PeerLinked:
    """A link with a peer has finished its handshake.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    address : VmAddress
        Where that node listens.
    opened_here : bool
        Whether this node opened the link.
    """

    peer: Incarnation
    address: VmAddress
    opened_here: bool


@dataclass(frozen=True, slots=True)
class PeerUnlinked:
    """The last link with a peer is closed.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """Bytes have come from a peer; may be reported a few times a second.

    Parameters
    ----------
    peer : Incarnation
        Node that was heard.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class MembershipTick:
    """Time has passed; sent four times a second."""


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send changed records to a peer.

    Parameters
    ----------
    peer : Incarnation
        Node to send to.
    records : tuple of MemberRecord
        Records.
    """

    peer: Incarnation
    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a link to an address.

    Parameters
    ----------
    address : VmAddress
        Where the node listens.
    peer : Incarnation or None, default=None
        Node that is expected there, None when any will do.
    """

    address: VmAddress
    peer: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link with a peer.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class PingPeer:
    """Send a ping to a peer.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Tell the router and the fate tracker of a changed member.

    Parameters
    ----------
    record : MemberRecord
        New record; state ``GONE`` also when it is forgotten.
    """

    record: MemberRecord


MembershipEvent: TypeAlias = (
    RecordsArrived
    | OwnStateChanged
    | PeerLinked
    | PeerUnlinked
    | PeerHeard
    | MembershipTick
)
MembershipAction: TypeAlias = (
    SendRecords | OpenLink | CloseLink | PingPeer | MemberChanged
)
