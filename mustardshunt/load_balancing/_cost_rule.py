"""Cost of a member for a call, by utilisation and distance."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing._members import MemberLoad

# Additional cost of a backend server in another data centre. All costs are in
# units of utilisation; 1 is a fully used backend server. Traffic between data
# centres is expensive. A call therefore leaves its data centre only if the
# utilisation elsewhere is lower by at least about this much.
REMOTE_COST: Final = 0.5
# Additional cost of a cold backend server, in units of utilisation. A cold
# backend server gets calls only when the other backend servers are much more
# utilised.
COLD_COST: Final = 0.4
# Additional cost of a backend server at which all calls fail, in units of
# utilisation. If a fraction of the calls fails, the cost is this fraction of
# FAILURE_COST.
FAILURE_COST: Final = 2.0
# Bound on the ratio of a backend server's latency to the typical latency. Up to
# this bound, a slow backend server has no additional cost, because backend
# servers of one service differ in speed by up to a factor of 2. Above the
# bound, the additional cost is SLOWNESS_COST times the excess.
TOLERATED_LATENCY_RATIO: Final = 1.6
SLOWNESS_COST: Final = 0.4
# Largest random addition to the cost of a backend server. Without the addition,
# all nodes with the same information would choose the same backend server.
# Differences in cost that are smaller than this are noise.
JITTER: Final = 0.06
# Time in which observed failures and latencies lose half of their weight. A
# member that was avoided because of failures or high latency therefore gets
# calls again.
HALF_LIFE_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """Call for which a member is chosen.

    Parameters
    ----------
    service : str
        Service that is to run the call.
    excluded : collection of str
        Names of members that cannot get the call.
    route : str
        Name of the call's route.
    remaining : float
        Time in seconds until the caller stops waiting.
    typical_latency : float
        Smoothed latency of the route in seconds, 0 if unknown.
    """

    service: str
    excluded: Collection[str]
    route: str
    remaining: float
    typical_latency: float


class CostRule(Protocol):
    """Decides what members cost for a call."""

    def cheapest(
        self, loads: Iterable[MemberLoad], call: PlacedCall, now: float
    ) -> MemberLoad | None:
        """Return the member with the lowest cost, None if there is none.

        Parameters
        ----------
        loads : iterable of MemberLoad
            Members that can take calls.
        call : PlacedCall
            The call.
        now : float
            Time in seconds.
        """
        ...


class UtilisationRule:
    """Costs by the utilisation of each member, whatever the call.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    random : RandomSource
        Random number generator for the jitter that is added to costs.
    """

    def __init__(self, data_centre: str, random: RandomSource) -> None:
        self._data_centre = data_centre
        self._random = random

    def cheapest(
        self, loads: Iterable[MemberLoad], call: PlacedCall, now: float
    ) -> MemberLoad | None:
        """Return the member with the lowest cost, None if there is none."""
        best = None
        lowest = math.inf
        for load in loads:
            if load.member.name in call.excluded:
                continue
            decay(load, now)
            cost = load.utilisation() + JITTER * self._random.random()
            if load.member.data_centre != self._data_centre:
                cost += REMOTE_COST
            # As ``penalty``, which would add a call for each member.
            if load.status.is_cold:
                cost += COLD_COST
            if load.latency_ratio > TOLERATED_LATENCY_RATIO:
                excess = load.latency_ratio - TOLERATED_LATENCY_RATIO
                cost += SLOWNESS_COST * excess
            cost += FAILURE_COST * load.failure_rate
            if cost < lowest:
                best, lowest = load, cost
        return best


def penalty(load: MemberLoad) -> float:
    """Return the cost of a member's cold start, latency and failures."""
    cost = COLD_COST if load.status.is_cold else 0.0
    slowness = max(0.0, load.latency_ratio - TOLERATED_LATENCY_RATIO)
    return cost + SLOWNESS_COST * slowness + FAILURE_COST * load.failure_rate


def decay(load: MemberLoad, now: float) -> None:
    """Let the observed failures and latency of a member lose weight."""
    elapsed = now - load.observed_at
    if elapsed < HALF_LIFE_SECONDS / 8:
        return
    remaining = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
    load.failure_rate *= remaining
    load.latency_ratio = 1.0 + (load.latency_ratio - 1.0) * remaining
    load.observed_at = now
