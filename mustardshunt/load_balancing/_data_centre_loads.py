"""Decides to which data centres the calls of a node may go."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from mustardshunt.load_balancing._members import MemberLoad

# Differences between the mean utilisations of the candidates here and in
# another data centre at which calls begin and cease to go there. Traffic
# between data centres is expensive; members of a slow data centre are more
# utilised than others by up to 0.37 at the normal load of deployment A.
LEAVE_DIFFERENCE: Final = 0.12
RETURN_DIFFERENCE: Final = 0.06
# Cost of a member in a data centre to which calls go. It lies between the two
# differences, so the difference that the calls leave behind keeps the decision.
OPEN_REMOTE_COST: Final = 0.09
# Time constant of the means. The callers of two data centres would
# otherwise follow each change of the other one and send their calls past each
# other.
SMOOTHING_SECONDS: Final = 0.5
# Most decisions that are kept until they are taken.
MAX_KEPT_CHANGES: Final = 64


@dataclass(slots=True)
class _ServiceState:
    updated_at: float = 0.0
    mean_by_data_centre: dict[str, float] = field(default_factory=dict)
    open_data_centres: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class DataCentreChange:
    """Calls to a service begin or cease to go to another data centre.

    Parameters
    ----------
    service : str
        Name of the service.
    data_centre : str
        The other data centre.
    is_open : bool
        Whether calls may go there from now on.
    difference : float
        Mean utilisation of the candidates here less that of those there.
    """

    service: str
    data_centre: str
    is_open: bool
    difference: float


class DataCentreLoads:
    """Mean load of the candidates of each service in each data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._state_by_service: dict[str, _ServiceState] = {}
        # Decisions since they were last taken, oldest first.
        self._changes: list[DataCentreChange] = []

    def remote_costs(
        self,
        service: str,
        loads: Sequence[MemberLoad],
        utilisations: Sequence[float | None],
        now: float,
    ) -> list[float]:
        """Return the cost of the distance for each candidate of a service.

        Without a sound candidate in the own data centre, the distance is no
        reason against a member.

        Parameters
        ----------
        service : str
            Name of the service.
        loads : sequence of MemberLoad
            Members that can take calls.
        utilisations : sequence of float or None
            Utilisation of each member, None if it does not count.
        now : float
            Time in seconds.
        """
        state = self._state_by_service.get(service)
        if state is None:
            state = _ServiceState()
            self._state_by_service[service] = state
        by_data_centre: dict[str, list[float]] = {}
        for load, utilisation in zip(loads, utilisations, strict=True):
            if utilisation is not None:
                name = load.member.data_centre
                by_data_centre.setdefault(name, []).append(utilisation)
        if self._data_centre not in by_data_centre:
            return [0.0 for _ in loads]
        _smooth(state, by_data_centre, now)
        self._decide(service, state)
        return [self._remote_cost(state, load) for load in loads]

    def take_changes(self) -> list[DataCentreChange]:
        """Return the decisions since the last call, oldest first."""
        changes = self._changes
        self._changes = []
        return changes

    def _remote_cost(self, state: _ServiceState, load: MemberLoad) -> float:
        data_centre = load.member.data_centre
        if data_centre == self._data_centre:
            return 0.0
        if data_centre in state.open_data_centres:
            return OPEN_REMOTE_COST
        return math.inf

    def _decide(self, service: str, state: _ServiceState) -> None:
        means = state.mean_by_data_centre
        own = means[self._data_centre]
        for data_centre, mean in means.items():
            if data_centre == self._data_centre:
                continue
            was_open = data_centre in state.open_data_centres
            bound = RETURN_DIFFERENCE if was_open else LEAVE_DIFFERENCE
            is_open = own - mean > bound
            if is_open == was_open:
                continue
            state.open_data_centres ^= {data_centre}
            if len(self._changes) < MAX_KEPT_CHANGES:
                self._changes.append(
                    DataCentreChange(service, data_centre, is_open, own - mean)
                )


def _smooth(
    state: _ServiceState, by_data_centre: dict[str, list[float]], now: float
) -> None:
    weight = 1.0 - math.exp((state.updated_at - now) / SMOOTHING_SECONDS)
    state.updated_at = now
    for name, members in by_data_centre.items():
        mean = sum(members) / len(members)
        smoothed = state.mean_by_data_centre.get(name, mean)
        smoothed += weight * (mean - smoothed)
        state.mean_by_data_centre[name] = smoothed
