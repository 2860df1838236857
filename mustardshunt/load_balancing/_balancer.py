"""Load balancer: chooses the backend server for a call."""

import math
from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing._cost_rule import (
    CostRule,
    PlacedCall,
    UtilisationRule,
    decay,
)
from mustardshunt.load_balancing._members import Member, MemberLoad
from mustardshunt.upstream import (
    BackendServerStatus,
    LeavingRuns,
    ServerPhase,
)

# Upper bound of the recorded ratio of a call's latency to the typical latency.
# A higher ratio is recorded as this bound, which limits the effect of a single
# slow call.
MAX_LATENCY_RATIO: Final = 8.0
# Weight of a new call in a member's moving averages of failures and latency.
SMOOTHING_FACTOR: Final = 0.1
# Leaving backend servers that a node remembers. At the design size, fewer leave
# in a day.
MAX_LEAVING_RUNS: Final = 1024
# Routes whose mean runs are kept for a member; the oldest gives way.
MAX_ROUTES: Final = 64


class LoadBalancer:
    """Chooses the node to whose backend server a call is sent.

    Each node has a cost, which depends on utilisation, data centre, cold start,
    latency and failures, and in some rules on the call. The node with the
    lowest cost is chosen.

    Parameters
    ----------
    name : str
        Name of this node.
    data_centre : str
        Data centre of this node.
    random : RandomSource
        Random number generator for the jitter that is added to costs.
    cost_rule : CostRule or None, default=None
        Decides what each member costs for a call. None for the costs by
        utilisation.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        random: RandomSource,
        cost_rule: CostRule | None = None,
    ) -> None:
        self._name = name
        self._cost_rule = cost_rule or UtilisationRule(data_centre, random)
        self._load_by_name: dict[str, MemberLoad] = {}
        self._candidates_by_service: dict[str, list[MemberLoad]] = {}
        self._candidate_names: Collection[str] | None = None
        self._barred_names: frozenset[str] = frozenset()
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self._typical_latency_by_route: dict[str, float] = {}
        self._leaving_runs = LeavingRuns(MAX_LEAVING_RUNS)

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the members to which calls can be sent.

        The observed load of unchanged members is kept.

        Parameters
        ----------
        members : iterable of Member
            All members of the deployment. A member with a new incarnation
            starts without known load.
        """
        load_by_name: dict[str, MemberLoad] = {}
        for member in members:
            load = self._load_by_name.get(member.name)
            if load is None or load.member != member:
                load = MemberLoad(member)
            load_by_name[member.name] = load
        self._load_by_name = load_by_name
        self._update_candidates()

    def set_candidates(self, names: Collection[str]) -> None:
        """Restrict the choice to some members.

        A choice reads the load of all candidates, so its cost does not grow
        with the number of members.

        Parameters
        ----------
        names : collection of str
            Names of the members to which this node keeps links.
        """
        self._candidate_names = names
        self._update_candidates()

    def set_barred(self, names: frozenset[str]) -> None:
        """Set the members that take no calls because of their version."""
        if names != self._barred_names:
            self._barred_names = names
            self._update_candidates()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres that are out of service.

        Members in these data centres get no calls.
        """
        self._evacuated_data_centres = data_centres

    def update_status(self, name: str, status: BackendServerStatus) -> None:
        """Record the published status of a member's backend server.

        A backend server that has announced its leaving gets no calls, also when
        a later status, such as that of a restarted node, does not say so.

        Parameters
        ----------
        name : str
            Name of the member; an unknown member is ignored.
        status : BackendServerStatus
            Status that the member has published.
        """
        if status.is_leaving and status.run is not None:
            self._leaving_runs.add(status.run)
        load = self._load_by_name.get(name)
        if load is None:
            return
        if self.knows_leaving(status):
            status = replace(
                status, phase=ServerPhase.DRAINING, is_leaving=True
            )
        load.status = status
        load.is_connected = True
        if status.mean_run_route:
            self.record_mean_run(load, status.mean_run_route, status.mean_run)
        self.update_load(
            load, status.in_flight, status.cutoff, status.limit_utilisation
        )

    def knows_leaving(self, status: BackendServerStatus) -> bool:
        """Tell whether the run of a status leaves, unlike the status says."""
        return not status.is_leaving and status.run in self._leaving_runs

    def update_load(
        self,
        load: MemberLoad,
        in_flight: int,
        cutoff: float,
        limit_utilisation: float = 0.0,
    ) -> None:
        """Record the load that a member reports with each result of a call.

        Parameters
        ----------
        load : MemberLoad
            Member that has reported.
        in_flight : int
            Calls that run or are queued at the member.
        cutoff : float
            Cutoff of the member. The member accepts priority ranks below the
            cutoff.
        limit_utilisation : float, default=0.0
            Used part of the limit that the backend server names.
        """
        load.limit_utilisation = limit_utilisation
        load.sent_since_report = 0
        load.in_flight = in_flight
        load.cutoff = cutoff
        load.outstanding_at_report = load.outstanding

    def mark_disconnected(self, name: str) -> None:
        """Record that a member is unreachable.

        The member gets no calls until its next status arrives.
        """
        load = self._load_by_name.get(name)
        if load is not None:
            load.is_connected = False

    def member(self, name: str) -> Member | None:
        """Return the member with a given name, None if there is none."""
        load = self._load_by_name.get(name)
        return None if load is None else load.member

    def statuses(self, service: str) -> list[BackendServerStatus]:
        """Return the statuses of the members that accept calls to a service.

        In each status, the cutoff is replaced by the last cutoff that the
        member has reported. Members also report the cutoff with each result of
        a call, so the reported cutoff can be newer than the published status.
        """
        return [
            replace(load.status, cutoff=load.cutoff)
            for load in self._available(service)
        ]

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        now: float,
        route: str = '',
        remaining: float = math.inf,
    ) -> MemberLoad | None:
        """Choose the member with the lowest cost for a call.

        Parameters
        ----------
        service : str
            Service that is to run the call.
        excluded : collection of str
            Names of members to which the call has already been sent. These
            members are not chosen again.
        now : float
            Time in seconds.
        route : str, default=''
            Name of the call's route.
        remaining : float, default=math.inf
            Time in seconds until the caller stops waiting.

        Returns
        -------
        MemberLoad or None
            Member with the lowest cost, None if no member is available.
        """
        typical_latency = self._typical_latency_by_route.get(route, 0.0)
        call = PlacedCall(service, excluded, route, remaining, typical_latency)
        return self._cost_rule.cheapest(self._available(service), call, now)

    def record_start(self, load: MemberLoad) -> None:
        """Count a call that was sent to a member as outstanding."""
        load.outstanding += 1
        load.sent_since_report += 1

    def record_mean_run(
        self, load: MemberLoad, route: str, seconds: float
    ) -> None:
        """Record the mean duration of a route's runs that a member reports.

        Parameters
        ----------
        load : MemberLoad
            Member that has reported.
        route : str
            Name of the route.
        seconds : float
            Mean duration in seconds, 0 if the member does not know it.
        """
        by_route = load.mean_run_by_route
        if not seconds:
            by_route.pop(route, None)
            return
        if route not in by_route and len(by_route) >= MAX_ROUTES:
            by_route.pop(next(iter(by_route)))
        by_route[route] = seconds

    def record_end(
        self,
        load: MemberLoad,
        route: str,
        latency: float | None,
        has_failed: bool,
        now: float,
    ) -> None:
        """Record the latency and the success or failure of a call.

        The call is no longer counted as outstanding.

        Parameters
        ----------
        load : MemberLoad
            Member to which the call was sent.
        route : str
            Name of the call's route.
        latency : float or None
            Seconds from the call to its response. None if this time says
            nothing about the speed of the backend server.
        has_failed : bool
            Whether the call failed because of the backend server.
        now : float
            Time in seconds.
        """
        load.outstanding = max(0, load.outstanding - 1)
        decay(load, now)
        load.failure_rate += SMOOTHING_FACTOR * (
            float(has_failed) - load.failure_rate
        )
        if latency is None:
            return
        typical = self._typical_latency_by_route.get(route, latency)
        typical += SMOOTHING_FACTOR * 0.5 * (latency - typical)
        self._typical_latency_by_route[route] = typical
        ratio = min(MAX_LATENCY_RATIO, latency / max(typical, 1e-4))
        load.latency_ratio += SMOOTHING_FACTOR * (ratio - load.latency_ratio)

    def has_candidates(self, service: str) -> bool:
        """Tell whether any member can take calls to a service."""
        return any(True for _ in self._available(service))

    def _update_candidates(self) -> None:
        names = self._candidate_names
        if names is None:
            names = self._load_by_name
        self._candidates_by_service = {}
        for name in sorted(names):
            load = self._load_by_name.get(name)
            if load is None or name in self._barred_names:
                continue
            service = load.member.service
            self._candidates_by_service.setdefault(service, []).append(load)

    def _available(self, service: str) -> Iterable[MemberLoad]:
        for load in self._candidates_by_service.get(service, ()):
            if not load.is_connected:
                continue
            if load.status.phase is not ServerPhase.READY:
                continue
            if load.member.data_centre in self._evacuated_data_centres:
                continue
            yield load
