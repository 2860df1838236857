"""Events that a gate takes, actions that it returns, and its snapshot."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import CallId, Importance, Refusal


class BackendServerState(enum.StrEnum):
    """What a backend server says of itself, or its node of it."""

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class CallFailureKind(enum.StrEnum):
    """How a started call ended without an answer that counts."""

    SHED = 'shed'
    CONNECTION_LOST = 'connection-lost'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call asks to be started.

    Parameters
    ----------
    call_id : CallId
        Identity; the outcome log ensures that it is not in the gate yet.
    organisation : str
        Organisation that the call is counted for.
    importance : Importance
        Importance of the request at the head of the chain.
    deadline : float
        Time after which nobody waits, in seconds.
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
        Identity.
    total_time : float
        Seconds from start to answer.
    self_time : float
        The same without the time spent waiting for child calls.
    """

    call_id: CallId
    total_time: float
    self_time: float


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A started call ended without an answer that counts.

    Parameters
    ----------
    call_id : CallId
        Identity.
    kind : CallFailureKind
        How it ended.
    total_time : float
        Seconds from start to end.
    self_time : float
        The same without the time spent waiting for child calls.
    """

    call_id: CallId
    kind: CallFailureKind
    total_time: float
    self_time: float


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The sender of a call no longer waits for it.

    Only a queued call is affected. The node ends a started call itself and
    reports it as ``CallFailed``.

    Parameters
    ----------
    call_id : CallId
        Identity.
    """

    call_id: CallId


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """The backend server sent a heartbeat, or the node missed several.

    Parameters
    ----------
    state : BackendServerState
        Its state; ``GONE`` when heartbeats stay away.
    start_id : str
        Changes each time the backend server starts.
    """

    state: BackendServerState
    start_id: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed; expected at least every 0.1 s."""


@dataclass(frozen=True, slots=True)
class StartCall:
    """Send a call to the backend server.

    Parameters
    ----------
    call_id : CallId
        Identity.
    """

    call_id: CallId


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Answer a call with a refusal; nothing goes to the backend server.

    Parameters
    ----------
    call_id : CallId
        Identity.
    refusal : Refusal
        The answer.
    """

    call_id: CallId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class GateSnapshot:
    """View of a gate at one time.

    Parameters
    ----------
    state : BackendServerState
        State of the backend server.
    limit : int
        Calls that may be in flight now, cold-start cap included.
    learned_limit : int
        The same without the cap.
    in_flight : int
        Calls started and not ended.
    queued : int
        Calls waiting.
    shedding_threshold : Importance
        Lowest importance that is accepted now.
    is_ramping : bool
        Whether the cold-start cap is in force.
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
