"""Choice of the backend server for a call."""

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing._members import Member, MemberLoad
from mustardshunt.upstream import BackendServerStatus, ServerPhase

# Costs are in units of load: 1 is a full backend server. A call crosses to
# another data centre only when that saves half of a backend server's load,
# because bytes between data centres are dear.
REMOTE_COST: Final = 0.5
# A cold backend server is kept for what the others have no room for.
COLD_COST: Final = 0.4
FAILURE_COST: Final = 2.0
# Backend servers of one service differ in speed by up to a factor of 2; only
# what is slower than that is avoided.
USUAL_SLOWNESS: Final = 1.6
SLOWNESS_COST: Final = 0.4
MAX_SLOWNESS: Final = 8.0
# Differences below this are noise; it keeps nodes from all choosing the same.
JITTER: Final = 0.06
SMOOTHING: Final = 0.1
# Observations lose half of their weight in this time without new ones, so
# that an avoided member is tried again.
HALF_LIFE_SECONDS: Final = 2.0


class LoadBalancer:
    """Chooses members by load, distance, latency and failures.

    Parameters
    ----------
    name : str
        Name of this node.
    data_centre : str
        Data centre of this node.
    random : RandomSource
        Breaks ties.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        random: RandomSource,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._random = random
        self._load_by_name: dict[str, MemberLoad] = {}
        self._names_by_service: dict[str, list[str]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._latency_by_route: dict[str, float] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the list of members; what is known of them is kept."""
        loads: dict[str, MemberLoad] = {}
        names_by_service: dict[str, list[str]] = {}
        for member in members:
            known = self._load_by_name.get(member.name)
            if known is None or known.member != member:
                known = MemberLoad(member)
            loads[member.name] = known
            names_by_service.setdefault(member.service, []).append(member.name)
        self._load_by_name = loads
        self._names_by_service = names_by_service

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Take the data centres that get no calls."""
        self._evacuated = data_centres

    def update_status(self, name: str, view: BackendServerStatus) -> None:
        """Take what a member tells of its backend server."""
        load = self._load_by_name.get(name)
        if load is None:
            return
        load.status = view
        load.is_connected = True
        self.update_load(load, view.in_flight, view.cutoff)

    def update_load(
        self,
        load: MemberLoad,
        in_flight: int,
        cutoff: float,
    ) -> None:
        """Take the load that a member tells with each result."""
        load.in_flight = in_flight
        load.cutoff = cutoff
        load.outstanding_at_report = load.outstanding

    def mark_disconnected(self, name: str) -> None:
        """Note that a member cannot be reached."""
        load = self._load_by_name.get(name)
        if load is not None:
            load.is_connected = False

    def member(self, name: str) -> Member | None:
        """Return a member by its name."""
        load = self._load_by_name.get(name)
        return None if load is None else load.member

    def statuses(self, service: str) -> list[BackendServerStatus]:
        """Return the states of the members that take calls of a service.

        The cutoff is that of the last result, which is newer than the last
        state that was shown.
        """
        return [
            replace(load.status, cutoff=load.cutoff)
            for load in self._open(service)
        ]

    def choose(
        self,
        service: str,
        excluded: Collection[str],
        now: float,
    ) -> MemberLoad | None:
        """Choose a member for a call.

        Parameters
        ----------
        service : str
            Service that is to run the call.
        excluded : collection of str
            Names of members that were tried already.
        now : float
            Time in seconds.

        Returns
        -------
        MemberLoad or None
            None when no member can take the call.
        """
        best = None
        lowest = float('inf')
        for load in self._open(service):
            if load.member.name in excluded:
                continue
            cost = self._cost(load, now)
            if cost < lowest:
                best, lowest = load, cost
        return best

    def record_start(self, load: MemberLoad) -> None:
        """Note that a call was sent."""
        load.outstanding += 1

    def record_end(
        self,
        load: MemberLoad,
        route: str,
        latency: float | None,
        has_failed: bool,
        now: float,
    ) -> None:
        """Note that a call has ended.

        Parameters
        ----------
        load : MemberLoad
            Member that was called.
        route : str
            Name of the call's route.
        latency : float or None
            Seconds until the answer, None if they say nothing of the member.
        has_failed : bool
            Whether the call failed for reasons of its backend server.
        now : float
            Time in seconds.
        """
        load.outstanding = max(0, load.outstanding - 1)
        _decay(load, now)
        load.failure_rate += SMOOTHING * (float(has_failed) - load.failure_rate)
        if latency is None:
            return
        usual = self._latency_by_route.get(route, latency)
        usual += SMOOTHING * 0.5 * (latency - usual)
        self._latency_by_route[route] = usual
        ratio = min(MAX_SLOWNESS, latency / max(usual, 1e-4))
        load.latency_ratio += SMOOTHING * (ratio - load.latency_ratio)

    def _open(self, service: str) -> Iterable[MemberLoad]:
        for name in self._names_by_service.get(service, ()):
            load = self._load_by_name[name]
            if not load.is_connected:
                continue
            if load.status.phase is not ServerPhase.READY:
                continue
            if load.member.data_centre in self._evacuated:
                continue
            yield load

    def _cost(self, load: MemberLoad, now: float) -> float:
        _decay(load, now)
        cost = load.utilisation() + JITTER * self._random.random()
        if load.member.data_centre != self._data_centre:
            cost += REMOTE_COST
        if load.status.is_cold:
            cost += COLD_COST
        slowness = max(0.0, load.latency_ratio - USUAL_SLOWNESS)
        return (
            cost + SLOWNESS_COST * slowness + FAILURE_COST * load.failure_rate
        )


def _decay(load: MemberLoad, now: float) -> None:
    passed = now - load.observed_at
    if passed < HALF_LIFE_SECONDS / 8:
        return
    kept = 0.5 ** (passed / HALF_LIFE_SECONDS)
    load.failure_rate *= kept
    load.latency_ratio = 1.0 + (load.latency_ratio - 1.0) * kept
    load.observed_at = now
