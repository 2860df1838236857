"""Events that the call tracker handles and actions that it returns."""

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
        Node to which the call is sent.
    link : int
        Number of the link, which increases with each link to that node.
    idempotent : bool
        Whether the call may run more than once.
    """

    call_id: CallId
    peer: Incarnation
    link: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class AnswerArrived:
    """An answer or refusal has arrived, on any link with the peer.

    Parameters
    ----------
    call_id : CallId
        Call that is answered or refused.
    peer : Incarnation
        Node that sent the answer or refusal.
    outcome : Outcome
        Result of the call.
    """

    call_id: CallId
    peer: Incarnation
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class CallStatusArrived:
    """The peer has answered a status request.

    Parameters
    ----------
    call_id : CallId
        Call whose status was requested.
    peer : Incarnation
        Node that sent the status.
    status : CallStatus
        Status of the call at that node.
    """

    call_id: CallId
    peer: Incarnation
    status: CallStatus


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller no longer waits for a call.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    peer : Incarnation
        Node to which the call was sent.
    outcome : Outcome
        Result to report to the request, such as a refusal because the deadline
        has passed.
    """

    call_id: CallId
    peer: Incarnation
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """The handshake of a link to a peer is complete.

    Parameters
    ----------
    peer : Incarnation
        Node at the other end.
    link : int
        Number of the link, which increases with each link to that node.
    """

    peer: Incarnation
    link: int


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A link is lost, or no bytes arrive although calls wait for answers.

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
    """The process of a peer has ended; the same incarnation never returns.

    Parameters
    ----------
    peer : Incarnation
        Node that is gone.
    """

    peer: Incarnation


@dataclass(frozen=True, slots=True)
class CallTrackerTick:
    """Timer event, sent a few times a second; overdue requests are repeated."""


@dataclass(frozen=True, slots=True)
class CallResolved:
    """Give the result of a call to the request that waits for it.

    Each call is resolved once.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    outcome : Outcome
        Result of the call.
    """

    call_id: CallId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class RequestCallStatus:
    """Request the status of a call from a peer.

    Parameters
    ----------
    peer : Incarnation
        Node to which the call was sent.
    link : int
        Number of the link on which to send the request.
    call_id : CallId
        Identity of the call.
    """

    peer: Incarnation
    link: int
    call_id: CallId


@dataclass(frozen=True, slots=True)
class ReopenLink:
    """Open a new link to the same incarnation of a peer.

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
