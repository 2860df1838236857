"""Frames about the backend server beside a node.

The fields of a frame are encoded by position, so their order is part of the
protocol between nodes.
"""

from dataclasses import dataclass

from mustardshunt.base import Revision


@dataclass(frozen=True, slots=True)
class BackendServerStatusUpdate:
    """Status of the backend server, published by its node to callers.

    Parameters
    ----------
    name : str
        Name of the sending node.
    incarnation : str
        Identifies the run of the sending node.
    phase : str
        Phase of the backend server; the phase tells whether the backend server
        accepts calls.
    is_cold : bool
        Whether the backend server is in its cold start.
    in_flight : int
        Number of calls that run at the backend server or wait for it.
    limit : int
        Concurrency limit of the backend server, in calls.
    cutoff : float
        Bound on priority ranks: only calls with a rank below the bound are
        accepted.
    hops : int
        Number of hops down the call chain to the overloaded backend server that
        caused the cutoff; 0 if that is this backend server.
    own_cutoff : float
        Cutoff for calls of routes without dependencies.
    revision : Revision
        Revision of the newest operator change that the node knows.
    instance : str, default=''
        Identifier of the backend server's process, empty if unknown.
    started_at : int, default=-1
        Start of this process in milliseconds, -1 if unknown.
    is_leaving : bool, default=False
        Whether this process has announced that it leaves.
    request_limit : float, default=-1.0
        Requests a second that this process takes from all nodes together, -1 if
        it names no limit.
    limit_utilisation : float, default=0.0
        Used part of ``request_limit``, 1 or more when it is used up.
    version : str, default=''
        Version of the backend server's software, empty if unknown.
    mean_run_ms : int, default=0
        Mean duration in milliseconds of the runs of ``mean_run_route`` at the
        backend server, 0 if unknown.
    mean_run_route : str, default=''
        Route with the most runs, empty if no mean is known.
    """

    name: str
    incarnation: str
    phase: str
    is_cold: bool
    in_flight: int
    limit: int
    cutoff: float
    hops: int
    own_cutoff: float
    revision: Revision
    instance: str = ''
    started_at: int = -1
    is_leaving: bool = False
    request_limit: float = -1.0
    limit_utilisation: float = 0.0
    version: str = ''
    mean_run_ms: int = 0
    mean_run_route: str = ''


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """Tells a node that its backend server leaves.

    A node that was restarted does not know what it published before.

    Parameters
    ----------
    instance : str
        Identifier of the backend server's process.
    started_at : int
        Start of this process in milliseconds, -1 if unknown.
    """

    instance: str
    started_at: int


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Tells a restarted node which limit its backend server has named.

    Parameters
    ----------
    instance : str
        Identifier of the backend server's process.
    started_at : int
        Start of this process in milliseconds, -1 if unknown.
    rate : float
        Requests a second that this process takes from all nodes together.
    """

    instance: str
    started_at: int
    rate: float
