"""Events that a gate handles, actions that it returns, and its snapshot."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import CallId, Importance, Refusal


class BackendServerState(enum.StrEnum):
    """State of a backend server.

    The backend server reports its state in heartbeats. When heartbeats are
    missing, the node of the backend server sets the state to ``GONE``.
    """

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class CallFailureKind(enum.StrEnum):
    """How a started call ended without a usable answer."""

    SHED = 'shed'
    CONNECTION_LOST = 'connection-lost'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call arrived at the gate.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call. The outcome log ensures that the gate does
        not hold this call already.
    organisation : str
        Organisation on whose behalf the call is made.
    importance : Importance
        Importance of the request that began the chain of calls.
    deadline : float
        Time after which the caller no longer waits, in seconds.
    """

    call_id: CallId
    organisation: str
    importance: Importance
    deadline: float


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """A started call was answered completely.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    total_time : float
        Time from start to answer, in seconds.
    self_time : float
        Total time less the time spent waiting for child calls, in seconds.
    """

    call_id: CallId
    total_time: float
    self_time: float


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A started call ended without a usable answer.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    kind : CallFailureKind
        How the call ended.
    total_time : float
        Time from start to end, in seconds.
    self_time : float
        Total time less the time spent waiting for child calls, in seconds.
    """

    call_id: CallId
    kind: CallFailureKind
    total_time: float
    self_time: float


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The sender no longer waits for the answer to a call.

    The gate removes the call from its queue. If the call has already started,
    the node ends the call and reports it as ``CallFailed``.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    """

    call_id: CallId


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The backend server sent a heartbeat, or several heartbeats are missing.

    Parameters
    ----------
    state : BackendServerState
        State of the backend server; ``GONE`` when heartbeats are missing.
    start_id : str
        Identifier of the process of the backend server. The identifier changes
        each time the backend server starts.
    """

    state: BackendServerState
    start_id: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer event, sent by the node at least every 0.1 s.

    At each tick, the gate refuses the queued calls whose deadline has passed.
    """


@dataclass(frozen=True, slots=True)
class StartCall:
    """Send a call to the backend server.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    """

    call_id: CallId


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Answer a call with a refusal; the backend server does not get the call.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    refusal : Refusal
        Reason of the refusal, and whether the call has run.
    """

    call_id: CallId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class GateSnapshot:
    """State and figures of a gate at one moment.

    Parameters
    ----------
    state : BackendServerState
        State of the backend server.
    limit : int
        Calls that may be in flight now: the concurrency limit, or the
        cold-start cap if that is lower.
    learned_limit : int
        Concurrency limit, without regard to the cold-start cap.
    in_flight : int
        Calls that have started and not ended.
    queued : int
        Calls that wait in the queue.
    shedding_threshold : Importance
        Lowest importance that the gate accepts now.
    is_ramping : bool
        Whether the cold-start cap is active.
    """

    state: BackendServerState
    limit: int
    learned_limit: int
    in_flight: int
    queued: int
    shedding_threshold: Importance
    is_ramping: bool


GateEvent: TypeAlias = (
    CallArrived
    | CallAnswered
    | CallFailed
    | CallCancelled
    | HeartbeatReceived
    | Tick
)
GateAction: TypeAlias = StartCall | RefuseCall
