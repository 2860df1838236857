"""Frames that nodes exchange over a link."""

from dataclasses import dataclass

from mustardshunt.base import CallId, Effect, Headers, Importance, Reason
from mustardshunt.outcomes import CallState

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of both sides.

    Parameters
    ----------
    protocol : int
        Version of the protocol.
    incarnation, data_centre, host : str
        Who speaks and where its peers reach it.
    port : int
        Port for peers.
    nonce : bytes
        Random challenge of the sender.
    link : int
        Number of the link at the side that opens it, rising with each one,
        so that the other side knows which of two links is newer.
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
    """Answer to the challenge of the other side's ``Hello``."""

    mac: bytes


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A call for the receiver's backend server.

    Parameters
    ----------
    number : int
        Number of the call at its sender.
    root_id : CallId
        Request that started the chain.
    organisation : str
        Organisation for which the call runs.
    importance : Importance
        Importance of the request that started the chain.
    route : str
        Name of the route.
    idempotent : bool
        Whether the call may run more than once.
    depth, retries : int
        Depth of the call, and retries left for it and its children.
    remaining : float
        Seconds until nobody waits any more.
    method, target : str
        HTTP method, path and query.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
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
    """Whole answer to a call.

    Parameters
    ----------
    number : int
        Number of the call at its sender.
    retries : int or None
        Retries that were not spent, None when that is not known.
    failed_deeper : bool
        Whether a failure comes from deeper in the chain.
    level : int
        Lowest importance that the answering node accepts for the route now.
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
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
    """Refusal of a call.

    Parameters
    ----------
    number : int
        Number of the call at its sender.
    retries : int or None
        Retries that were not spent, None when that is not known.
    failed_deeper : bool
        Whether a failure comes from deeper in the chain.
    level : int
        Lowest importance that the refusing node accepts for the route now.
    reason : Reason
        Why the call was refused.
    effect : Effect
        Whether it ran.
    detail : str
        For people.
    retry_after : float
        Seconds after which a repeat may be served.
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
    """Nobody waits for a call any more."""

    number: int


@dataclass(frozen=True, slots=True)
class CallStatusRequestFrame:
    """Asks what became of a call that went over a lost link."""

    number: int


@dataclass(frozen=True, slots=True)
class CallStatusFrame:
    """Tells what became of a call.

    Parameters
    ----------
    number : int
        Number of the call at its sender.
    kind : CallState
        What the callee knows; a finished call is answered by its
        ``AnswerFrame`` or ``RefusalFrame`` instead.
    """

    number: int
    kind: CallState


@dataclass(frozen=True, slots=True)
class PingFrame:
    """Asks the other side for any traffic."""

    number: int


@dataclass(frozen=True, slots=True)
class PongFrame:
    """Answers a ping."""

    number: int
