"""Members to which calls can be sent, and their observed load."""

from dataclasses import dataclass, field

from mustardshunt.base import VmAddress
from mustardshunt.upstream import BackendServerStatus, ServerPhase


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the deployment, with its backend server.

    Parameters
    ----------
    name : str
        Name of the node; stays the same after a restart.
    incarnation : str
        Identifier of the node's process; changes with each restart.
    service : str
        Service of the backend server beside the node.
    data_centre : str
        Data centre of the node.
    address : VmAddress
        Address at which the node accepts connections of other nodes.
    """

    name: str
    incarnation: str
    service: str
    data_centre: str
    address: VmAddress


@dataclass(slots=True)
class MemberLoad:
    """Load, latency and failures of one member, as observed by this node.

    Parameters
    ----------
    member : Member
        The observed member.
    status : BackendServerStatus
        Last status that the member has published.
    is_connected : bool
        Whether the member can be reached.
    in_flight : int
        Last reported number of calls that run or are queued at the member.
    cutoff : float
        Last reported cutoff. The member accepts priority ranks below the
        cutoff.
    outstanding : int
        Number of calls that this node has sent to the member and that have no
        response yet.
    limit_utilisation : float
        Last reported part of the limit that the backend server names and that
        is used, 0 without a limit.
    sent_since_report : int
        Calls that this node has sent to the member since the last report.
    outstanding_at_report : int
        Value of ``outstanding`` at the last report of ``in_flight``.
    latency_ratio : float
        Smoothed ratio of the latency of calls to the typical latency of
        their routes.
    failure_rate : float
        Smoothed fraction of calls that failed, from 0 to 1.
    observed_at : float
        Time in seconds at which ``latency_ratio`` and ``failure_rate`` were
        last decayed.
    mean_run_by_route : dict of str to float
        Last reported mean duration in seconds of the runs of each route. Routes
        whose mean is unknown are missing.
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
    limit_utilisation: float = 0.0
    sent_since_report: int = 0
    outstanding_at_report: int = 0
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    observed_at: float = 0.0
    mean_run_by_route: dict[str, float] = field(default_factory=dict)

    def utilisation(self) -> float:
        """Return the estimated utilisation of the backend server.

        The estimate is the number of calls in flight, divided by the
        concurrency limit. The number of calls in flight is the last reported
        number plus the calls that this node has sent since the report. If calls
        are queued, the utilisation can be above 1. If the backend server names
        a limit of requests a second, the used part of it counts if it is
        higher.
        """
        since = self.outstanding - self.outstanding_at_report
        in_flight = max(self.in_flight + since, self.outstanding)
        utilisation = in_flight / max(1, self.status.limit)
        request_limit = self.status.request_limit
        if request_limit is None:
            return utilisation
        sent_part = self.sent_since_report / max(1.0, request_limit)
        return max(utilisation, self.limit_utilisation + sent_part)
