"""Frames that nodes exchange over a link.

The fields of a frame are encoded by position, so their order is part of the
protocol between nodes.
"""

from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import NO_REVISION, Revision
from mustardshunt.relay._body_frames import BodyPart, LargeCall
from mustardshunt.relay._quarantine_frames import QuarantineFrame
from mustardshunt.relay._rollout_frames import RolloutFrame
from mustardshunt.relay._server_frames import (
    BackendServerStatusUpdate,
    ServerLeaving,
    ServerLimit,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of the node that opens the connection.

    Parameters
    ----------
    incarnation : str
        Identifies the run of the node that opens the connection.
    link : int
        Number of the connection; it rises with each connection that the run
        opens.
    is_first : bool
        Whether this is the first connection that the run opens to the receiving
        node. If so, no call of an earlier connection can still be pending.
    """

    incarnation: str
    link: int
    is_first: bool


@dataclass(frozen=True, slots=True)
class Call:
    """Call to the backend server beside the receiving node.

    Parameters
    ----------
    number : int
        Number of the call, unique among the calls of the sending run.
    service : str
        Service of the backend server.
    route : str
        Name of the route.
    request_id : str
        Identifier that the caller gave to the request.
    remaining_ms : int
        Time to the deadline of the call in milliseconds.
    max_queue_wait_ms : int
        Longest time in the admission queue in milliseconds.
    priority_rank : int
        Dense rank of the priority, 0 is the most important.
    is_child_call : bool
        Whether a request that is already running makes the call.
    organisation : str
        Organisation for which the call runs, empty if there is none.
    caller_service : str
        Service of the backend server beside the node at which the request
        entered.
    method : str
        HTTP method.
    target : str
        Path and query.
    head : bytes
        Header lines that are passed on.
    body : bytes
        Complete body.
    fingerprint : str, default=''
        Digest that is the same for all repeats of the request.
    is_repeat : bool, default=False
        Whether an earlier attempt of the request has run or may have run.
    """

    number: int
    service: str
    route: str
    request_id: str
    remaining_ms: int
    max_queue_wait_ms: int
    priority_rank: int
    is_child_call: bool
    organisation: str
    caller_service: str
    method: str
    target: str
    head: bytes
    body: bytes
    fingerprint: str = ''
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's answer to a call.

    Parameters
    ----------
    number : int
        Number of the call.
    status : int
        HTTP status code.
    head : bytes
        Header lines that are passed on.
    body : bytes
        Complete body.
    in_flight : int
        Number of calls that run at the backend server or wait for it.
    cutoff_percent : int
        Cutoff of the backend server times 100.
    is_dependent : bool
        Whether the route of the call is a dependent route.
    limit_percent : int, default=0
        Used part of the limit that the backend server names, times 100.
    mean_run_ms : int, default=0
        Mean duration in milliseconds of the runs of the call's route at the
        backend server, 0 if unknown.
    """

    number: int
    status: int
    head: bytes
    body: bytes
    in_flight: int
    cutoff_percent: int
    is_dependent: bool
    limit_percent: int = 0
    mean_run_ms: int = 0


@dataclass(frozen=True, slots=True)
class NotRun:
    """Reply to a call that did not run and will not run.

    Parameters
    ----------
    number : int
        Number of the call.
    reason : str
        Why the call did not run.
    in_flight : int
        Number of calls that run at the backend server or wait for it, -1 if the
        number is unknown.
    cutoff_percent : int
        Cutoff of the backend server times 100.
    limit_percent : int, default=0
        Used part of the limit that the backend server names, times 100.
    retry_after_ms : int, default=0
        Time in milliseconds after which the backend server is expected to have
        capacity for the call, 0 if unknown.
    """

    number: int
    reason: str
    in_flight: int
    cutoff_percent: int
    limit_percent: int = 0
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Reply to a call that may have run and whose answer is lost.

    Parameters
    ----------
    number : int
        Number of the call.
    reason : str
        How the answer was lost.
    """

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a call whose sender no longer waits for the answer.

    Parameters
    ----------
    number : int
        Number of the call.
    """

    number: int


@dataclass(frozen=True, slots=True)
class CallStatusRequest:
    """Requests the status of calls that were sent over a lost link.

    The sender sends this frame over a new link.

    Parameters
    ----------
    numbers : tuple of int
        Numbers of the calls.
    """

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a ``Pong`` as proof that the receiver is alive.

    Parameters
    ----------
    operator_change : Revision
        Revision of the newest operator change that the sender knows.
    member_change : Revision
        Revision of the newest changed entry of a node that the sender knows.
    is_follower : bool
        Whether the sender follows the platform's changes for the receiver.
    operator_revision : Revision, default=NO_REVISION
        Revision up to which the sender knows all operator changes, if it
        follows.
    """

    operator_change: Revision
    member_change: Revision
    is_follower: bool
    operator_revision: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a ``Ping``.

    Parameters
    ----------
    operator_change : Revision
        Revision of the newest operator change that the sender knows.
    member_change : Revision
        Revision of the newest changed entry of a node that the sender knows.
    """

    operator_change: Revision
    member_change: Revision


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests what the receiver knows of the deployment and the sender lacks.

    Parameters
    ----------
    operator_change : Revision
        Revision of the newest operator change that the sender knows.
    member_change : Revision
        Revision of the newest changed entry of a node that the sender knows,
        ``NO_REVISION`` to request all entries.
    """

    operator_change: Revision
    member_change: Revision


@dataclass(frozen=True, slots=True)
class OperatorState:
    """Active policy and evacuated data centres that the sender knows.

    Parameters
    ----------
    revision : Revision
        Revision of the platform up to which the state is complete.
    newest_change : Revision
        Revision of the newest operator change in the state.
    document : bytes
        Text of the policy as operators wrote it.
    evacuated : bytes
        CBOR array of the evacuated data centres, each an array of its name and
        the era and the number of the revision of its evacuation.
    """

    revision: Revision
    newest_change: Revision
    document: bytes
    evacuated: bytes


@dataclass(frozen=True, slots=True)
class MemberState:
    """Entries of nodes that the sender knows.

    Parameters
    ----------
    base : Revision
        Revision of the platform that the receiver must know for this change to
        be complete, ``NO_REVISION`` for a state that holds all entries.
    revision : Revision
        Revision of the platform up to which the state is complete.
    newest_change : Revision
        Revision of the newest changed entry.
    entries : bytes
        CBOR array of the changed entries and of the names of removed nodes.
    """

    base: Revision
    revision: Revision
    newest_change: Revision
    entries: bytes


@dataclass(frozen=True, slots=True)
class TokenRequestFrame:
    """Requests tokens of an organisation's rate.

    Parameters
    ----------
    organisation : str
        Organisation; the sender lacks tokens of its rate.
    wanted : int
        Number of tokens that the sender could use soon.
    """

    organisation: str
    wanted: int


@dataclass(frozen=True, slots=True)
class TokenGrantFrame:
    """Tokens that the sender grants out of its own share.

    Parameters
    ----------
    organisation : str
        Organisation to which the tokens belong.
    amount : int
        Number of granted tokens. The receiver adds them to its own tokens.
    """

    organisation: str
    amount: int


_BodyFrame: TypeAlias = LargeCall | BodyPart
Frame: TypeAlias = (
    _BodyFrame
    | QuarantineFrame
    | RolloutFrame
    | Hello
    | BackendServerStatusUpdate
    | Call
    | Answered
    | NotRun
    | AnswerLost
    | Cancel
    | CallStatusRequest
    | Ping
    | Pong
    | StateRequest
    | OperatorState
    | MemberState
    | TokenRequestFrame
    | TokenGrantFrame
    | ServerLeaving
    | ServerLimit
)
