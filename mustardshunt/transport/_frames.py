"""Frames that nodes exchange over a link."""

from dataclasses import dataclass

from mustardshunt.base import CallId, Effect, Headers, Importance, Reason
from mustardshunt.outcomes import CallState

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each side of a new link.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    incarnation : str
        Identifies the run of the sending node.
    data_centre : str
        Data centre of the sending node.
    host : str
        Host at which peers reach the sending node.
    port : int
        Port at which peers reach the sending node.
    nonce : bytes
        Random challenge of the sender.
    link : int
        Number of the link. The dialer's number rises with each link that the
        dialer opens, so that the listener knows which of two links is newer.
        The listener sends 0.
    """

    protocol: int
    incarnation: str
    data_centre: str
    host: str
    port: int
    nonce: bytes
    link: int = 0


@dataclass(frozen=True, slots=True)
class Proof:
    """Proves that the sender knows the secret of the deployment.

    Parameters
    ----------
    mac : bytes
        HMAC-SHA-256 over both ``Hello`` frames.
    """

    mac: bytes


@dataclass(frozen=True, slots=True)
class CallFrame:
    """Call to the backend server beside the receiving node.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    root_id : CallId
        Identifier of the request that started the call chain.
    organisation : str
        Organisation for which the call runs.
    importance : Importance
        Importance of the request that started the call chain.
    route : str
        Name of the route.
    idempotent : bool
        Whether the call may run more than once.
    depth : int
        Depth of the call in the call chain.
    retries : int
        Retries left for the call and its child calls.
    remaining : float
        Time to the deadline of the call in seconds.
    method : str
        HTTP method.
    target : str
        Path and query.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    """

    number: int
    root_id: CallId
    organisation: str
    importance: Importance
    route: str
    idempotent: bool
    depth: int
    retries: int
    remaining: float
    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerFrame:
    """The backend server's answer to a call.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    retries : int or None
        Number of the call's permitted retries that were not used, None if that
        number is unknown.
    failed_deeper : bool
        Whether the failure comes from a call deeper in the call chain.
    level : int
        Shedding threshold of the answering node for the route: the lowest
        importance that the node accepts now.
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    """

    number: int
    retries: int | None
    failed_deeper: bool
    level: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RefusalFrame:
    """Reply to a call that was refused or failed.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    retries : int or None
        Number of the call's permitted retries that were not used, None if that
        number is unknown.
    failed_deeper : bool
        Whether the failure comes from a call deeper in the call chain.
    level : int
        Shedding threshold of the refusing node for the route: the lowest
        importance that the node accepts now.
    reason : Reason
        Why the call was refused.
    effect : Effect
        Whether the call ran.
    detail : str
        Explanation in plain text.
    retry_after : float
        Seconds after which a repeated request may be accepted.
    """

    number: int
    retries: int | None
    failed_deeper: bool
    level: int
    reason: Reason
    effect: Effect
    detail: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """Cancels a call whose sender no longer waits for the answer.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    """

    number: int


@dataclass(frozen=True, slots=True)
class CallStatusRequestFrame:
    """Requests the status of a call that was sent over a lost link.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    """

    number: int


@dataclass(frozen=True, slots=True)
class CallStatusFrame:
    """Status of a call that was sent over a lost link.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
    kind : CallState
        State of the call at the node that received it. For a finished call,
        that node sends the call's ``AnswerFrame`` or ``RefusalFrame`` instead
        of this frame.
    """

    number: int
    kind: CallState


@dataclass(frozen=True, slots=True)
class PingFrame:
    """Requests a ``PongFrame`` as proof that the receiver is alive.

    Parameters
    ----------
    number : int
        Number that the sender gave to the ping.
    """

    number: int


@dataclass(frozen=True, slots=True)
class PongFrame:
    """Reply to a ``PingFrame``.

    Parameters
    ----------
    number : int
        Number of the ping.
    """

    number: int
