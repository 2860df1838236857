"""Nodes as candidates for calls, and what is known of their load."""

from dataclasses import dataclass, field

from mustardshunt.base import VmAddress
from mustardshunt.upstream import BackendServerStatus, ServerPhase


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the deployment.

    Parameters
    ----------
    name : str
        Name of the node, the same after a restart.
    incarnation : str
        Run of the node's process.
    service : str
        Service of the backend server beside the node.
    data_centre : str
        Data centre of the node.
    address : VmAddress
        Where the node listens for its peers.
    """

    name: str
    incarnation: str
    service: str
    data_centre: str
    address: VmAddress


@dataclass(slots=True)
class MemberLoad:
    """What this node has seen of one member.

    Parameters
    ----------
    member : Member
        The member.
    status : BackendServerStatus
        Last state that the member has told.
    is_connected : bool
        Whether calls can be sent to it.
    in_flight : int
        Calls at its backend server, as it told last.
    cutoff : float
        Positions of ranks below this are accepted, as it told last.
    outstanding : int
        Calls sent by this node and not answered.
    outstanding_at_report : int
        The same when ``in_flight`` arrived.
    latency_ratio : float
        Smoothed latency relative to the other members of the service.
    failure_rate : float
        Smoothed share of calls that failed.
    observed_at : float
        Time of the last observation in seconds.
    """

    member: Member
    status: BackendServerStatus = field(
        default_factory=lambda: BackendServerStatus(
            ServerPhase.UNKNOWN, False, 0, 1, 1.0
        ),
    )
    is_connected: bool = False
    in_flight: int = 0
    cutoff: float = 1.0
    outstanding: int = 0
    outstanding_at_report: int = 0
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    observed_at: float = 0.0

    def utilisation(self) -> float:
        """Return the estimated load of the backend server, 1 when full."""
        since = self.outstanding - self.outstanding_at_report
        in_flight = max(self.in_flight + since, self.outstanding)
        return in_flight / max(1, self.status.limit)
