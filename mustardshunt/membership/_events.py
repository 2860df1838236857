"""Events that the membership handles and actions that it returns."""

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
    """Member records arrived from a peer, the platform or a handshake.

    Parameters
    ----------
    records : tuple of MemberRecord
        Records in any order.
    peer : Incarnation or None, default=None
        Peer that sent the records; None for the platform.
    """

    records: tuple[MemberRecord, ...]
    peer: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class OwnStateChanged:
    """The state of this node or of its backend server has changed.

    Parameters
    ----------
    state : MemberState
        New state of this node.
    service : str
        Service of the backend server; empty without a backend server.
    """

    state: MemberState
    service: str


@dataclass(frozen=True, slots=True)
class PeerLinked:
    """The handshake of a link with a peer is complete.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    address : VmAddress
        Address at which that node listens.
    opened_here : bool
        Whether this node opened the link.
    """

    peer: Incarnation
    address: VmAddress
    opened_here: bool


@dataclass(frozen=True, slots=True)
class PeerUnlinked:
    """The last open link with a peer has closed.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """Bytes have arrived from a peer.

    The event may be reported a few times a second instead of once for each
    received frame.

    Parameters
    ----------
    peer : Incarnation
        Node that sent the bytes.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class MembershipTick:
    """Timer event, sent four times a second; starts pings and suspicions."""


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send changed records to a peer.

    Parameters
    ----------
    peer : Incarnation
        Node to send the records to.
    records : tuple of MemberRecord
        Records that are new to this node, or records that the peer may lack.
    """

    peer: Incarnation
    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a link to an address.

    Parameters
    ----------
    address : VmAddress
        Address at which the node listens.
    peer : Incarnation or None, default=None
        Node expected at the address; None accepts any node.
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
    """Notify the router and the call tracker of a changed member record.

    Parameters
    ----------
    record : MemberRecord
        New record. When a member is dropped from the table because it has been
        silent for long, the state of the new record is ``GONE``.
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
