"""Data classes that the gate receives, returns and publishes."""

import enum
from collections.abc import Hashable
from dataclasses import dataclass

from mustardshunt.base import Reason


class ServerPhase(enum.StrEnum):
    """Phase in the life cycle of a backend server, as its node knows it."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One process of a backend server, from its start to its end.

    Parameters
    ----------
    instance : str
        Identifier of the process; a restarted process may have the same one.
    started_at : int or None
        Time on the backend server's clock at which the process started, in
        milliseconds. None if the time is unknown.
    """

    instance: str
    started_at: int | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report that a backend server sends to its node.

    Parameters
    ----------
    instance : str
        Identifier of the process of the backend server.
    started_at : int or None
        Time on the backend server's clock at which the process started, in
        milliseconds. None if the time is unknown.
    sequence : int
        Sequence number, which rises with each heartbeat of a process.
    phase : ServerPhase
        ``READY`` or ``DRAINING``.
    slots : int
        Requests that the backend server can run at the same time.
    cold_for : float
        Remaining duration of the cold start in seconds, 0 when warm.
    version : str, default=''
        Version of the backend server's software, empty if it states none.
    """

    instance: str
    started_at: int | None
    sequence: int
    phase: ServerPhase
    slots: int
    cold_for: float
    version: str = ''

    @property
    def run(self) -> ServerRun:
        """Process that sent the heartbeat."""
        return ServerRun(self.instance, self.started_at)


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that requests a slot of the backend server.

    Parameters
    ----------
    key : hashable
        Identity of the call, unique among the calls in the gate.
    priority_rank : int
        Priority rank of the call, 0 is the most important.
    is_child_call : bool
        Whether the call is made by a request that already runs.
    organisation : str
        Organisation for which the call runs.
    start_deadline : float
        Latest time in seconds at which the call may start. If the call started
        later, the response would be too late for the caller.
    route : str, default=''
        Name of the route of the call.
    end_deadline : float, default=inf
        Time in seconds at which the caller stops waiting for the answer.
    """

    key: Hashable
    priority_rank: int
    is_child_call: bool
    organisation: str
    start_deadline: float
    route: str = ''
    end_deadline: float = float('inf')


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A queued call that is refused without having run.

    Parameters
    ----------
    request : AdmissionRequest
        The refused call.
    reason : Reason
        Reason of the refusal.
    """

    request: AdmissionRequest
    reason: Reason


@dataclass(frozen=True, slots=True)
class DequeuedCalls:
    """Calls that have left the admission queue.

    Parameters
    ----------
    started : tuple of AdmissionRequest
        Calls that are to be sent to the backend server now.
    refused : tuple of RefusedCall
        Calls that are to be refused.
    """

    started: tuple[AdmissionRequest, ...] = ()
    refused: tuple[RefusedCall, ...] = ()


class AdmissionDecision(enum.Enum):
    """Decision on an admitted call: start the call at once, or queue it."""

    STARTED = 'started'
    QUEUED = 'queued'


@dataclass(frozen=True, slots=True)
class BackendServerStatus:
    """Status of a backend server, which its node publishes to other nodes.

    Parameters
    ----------
    phase : ServerPhase
        Phase of the backend server, which accepts calls only if ``READY``.
    is_cold : bool
        Whether the backend server is in its cold start.
    in_flight : int
        Calls that run or are queued.
    limit : int
        Concurrency limit: calls that may run at the same time.
    cutoff : float
        Priority ranks below this number are accepted.
    hops : int
        Number of calls in the chain from this backend server to the service
        whose overload set ``cutoff``. The number is 0 if that service is the
        service of this backend server.
    own_cutoff : float
        Cutoff for calls that make no child calls. Only the overload of this
        backend server lowers this cutoff.
    run : ServerRun or None, default=None
        Process of the backend server, None if the node knows none.
    is_leaving : bool, default=False
        Whether the process has announced that it leaves. Unlike the phase, this
        is never taken back for the same process.
    request_limit : float or None, default=None
        Requests a second that the process takes from all nodes together, None
        if it names no limit.
    limit_utilisation : float, default=0.0
        Used part of ``request_limit``, 1 or more when it is used up.
    version : str, default=''
        Version of the backend server's software, empty if unknown.
    mean_run : float, default=0.0
        Mean duration in seconds of the runs of ``mean_run_route`` at the
        backend server, 0 if unknown.
    mean_run_route : str, default=''
        Route with the most runs, empty if no mean is known.
    """

    phase: ServerPhase
    is_cold: bool
    in_flight: int
    limit: int
    cutoff: float
    hops: int = 0
    own_cutoff: float = float('inf')
    run: ServerRun | None = None
    is_leaving: bool = False
    request_limit: float | None = None
    limit_utilisation: float = 0.0
    version: str = ''
    mean_run: float = 0.0
    mean_run_route: str = ''
