"""What the gate of a backend server takes in and tells."""

import enum
from collections.abc import Hashable
from dataclasses import dataclass

from mustardshunt.base import Reason


class ServerPhase(enum.StrEnum):
    """Where a backend server is in its life, as far as its node knows."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Names the run of the backend server.
    started_at : int or None
        Start of that run in milliseconds of its own clock.
    sequence : int
        Rises with each heartbeat of a run.
    phase : ServerPhase
        ``READY`` or ``DRAINING``.
    slots : int
        Requests that it serves at the same time.
    cold_for : float
        Seconds for which it stays cold.
    """

    instance: str
    started_at: int | None
    sequence: int
    phase: ServerPhase
    slots: int
    cold_for: float


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks for the backend server.

    Parameters
    ----------
    key : hashable
        Identity of the call.
    priority_rank : int
        Position of its rank, 0 is the most important.
    is_child_call : bool
        Whether a request that already runs needs the call.
    organisation : str
        Organisation for which it runs.
    start_deadline : float
        Time after which a start no longer serves its caller.
    """

    key: Hashable
    priority_rank: int
    is_child_call: bool
    organisation: str
    start_deadline: float


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A waiting call that is turned away without having run.

    Parameters
    ----------
    request : AdmissionRequest
        The call.
    reason : Reason
        Why.
    """

    request: AdmissionRequest
    reason: Reason


@dataclass(frozen=True, slots=True)
class DequeuedCalls:
    """Waiting calls that may start now, and those turned away.

    Parameters
    ----------
    started : tuple of AdmissionRequest
        To be sent to the backend server.
    refused : tuple of RefusedCall
        To be refused.
    """

    started: tuple[AdmissionRequest, ...] = ()
    refused: tuple[RefusedCall, ...] = ()


class AdmissionDecision(enum.Enum):
    """What becomes of a call that arrives."""

    STARTED = 'started'
    QUEUED = 'queued'


@dataclass(frozen=True, slots=True)
class BackendServerStatus:
    """What other nodes need to know of a backend server.

    Parameters
    ----------
    phase : ServerPhase
        Whether it takes calls.
    is_cold : bool
        Whether it is in its cold start.
    in_flight : int
        Calls that run or wait.
    limit : int
        Calls that may run at the same time.
    cutoff : float
        Positions below this are accepted.
    hops : int
        Calls down the chain at which the cutoff arose, 0 for the backend
        server itself.
    own_cutoff : float
        The same as ``cutoff`` for calls that need no other service.
    """

    phase: ServerPhase
    is_cold: bool
    in_flight: int
    limit: int
    cutoff: float
    hops: int = 0
    own_cutoff: float = float('inf')
