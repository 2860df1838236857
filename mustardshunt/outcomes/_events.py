"""Events and actions of the fate tracker."""

from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import CallId, Incarnation
from mustardshunt.outcomes._model import CallStatus, Outcome


@dataclass(frozen=True, slots=True)
class CallSent:
    """A call is about to be written to a link.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    peer : Incarnation
        Node to which it goes.
    link : int
        Number of the link, rising with each link to that node.
    idempotent : bool
        Whether the call may run more than once.
    """

    call_id: CallId
    peer: Incarnation
    link: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """An answer or refusal has come, on any link of the peer.

    Parameters
    ----------
    call_id : CallId
        Call that it names.
    peer : Incarnation
        Node that sent it.
    outcome : Outcome
        What it says.
    """

    call_id: CallId
    peer: Incarnation
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallStatusArrived:
    """The answer to a question for a fate has come.

    Parameters
    ----------
    call_id : CallId
        Call that it names.
    peer : Incarnation
        Node that sent it.
    status : CallStatus
        What it says.
    """

    call_id: CallId
    peer: Incarnation
    status: CallStatus


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """Nobody waits for a call any more.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    peer : Incarnation
        Node to which it went.
    outcome : Outcome
        Result to report, such as a deadline that has passed.
    """

    call_id: CallId
    peer: Incarnation
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to a peer has finished its handshake.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    link : int
        Number of the link, rising with each link to that node.
    """

    peer: Incarnation
    link: int


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A link is lost, or silent although calls wait.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    link : int
        Number of the link.
    """

    peer: Incarnation
    link: int


@dataclass(frozen=True, slots=True)
class PeerGone:
    """An incarnation has ended for good.

    Parameters
    ----------
    peer : Incarnation
        Node that is gone.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class CallTrackerTick:
    """Time has passed; sent a few times a second."""


@dataclass(frozen=True, slots=True)
class CallResolved:
    """Hand the one result of a call to whoever waits for it.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    outcome : Outcome
        Its result.
    """

    call_id: CallId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RequestCallStatus:
    """Ask a peer for the fate of a call.

    Parameters
    ----------
    peer : Incarnation
        Node to ask.
    link : int
        Link on which to ask.
    call_id : CallId
        Call to name.
    """

    peer: Incarnation
    link: int
    call_id: CallId


@dataclass(frozen=True, slots=True)
class ReopenLink:
    """Open a link to the same incarnation.

    Parameters
    ----------
    peer : Incarnation
        Node to connect to.
    """

    peer: Incarnation


CallTrackerEvent: TypeAlias = (
    CallSent
    | AnswerArrived
    | CallStatusArrived
    | CallAbandoned
    | LinkOpened
    | LinkFailed
    | PeerGone
    | CallTrackerTick
)
CallTrackerAction: TypeAlias = CallResolved | RequestCallStatus | ReopenLink
