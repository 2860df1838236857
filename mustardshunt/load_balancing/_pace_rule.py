"""Cost of a member by its pace, the call's remaining time and distance."""

import math
import statistics
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing._cost_rule import (
    COLD_COST,
    JITTER,
    PlacedCall,
    decay,
    penalty,
)
from mustardshunt.load_balancing._data_centre_loads import DataCentreLoads
from mustardshunt.load_balancing._members import MemberLoad

# Cost of a member whose runs take twice the mean, first for a call with plenty
# of time, then for one whose time is just enough.
RELAXED_PACE_COST: Final = 0.6
URGENT_PACE_COST: Final = 1.0
# A call is urgent if its remaining time is at most this many typical latencies
# of its route.
URGENT_LATENCIES: Final = 2.0
# Mean utilisation of the candidates from which on the pace costs less, and at
# which it costs nothing. Near the capacity, calls would queue at fast members.
# Chosen in virtual time; the figures near the capacity vary between seeds by
# more than the variants differ (docs/design/placement.md).
BALANCED_FROM: Final = 0.5
BALANCED_AT: Final = 1.1
# Bounds on the pace. Backend servers of one service differ by a factor of 2.4;
# a figure beyond is a fault that must not decide alone.
MIN_PACE: Final = 0.5
MAX_PACE: Final = 2.0
# Means that differ from the median by more than this factor count as this much
# in the mean over the candidates, so that one wrong figure changes little.
MAX_MEDIAN_RATIO: Final = 3.0
# Above this ratio of the observed latency to the pace, the latency counts. A
# member that turned slow a moment ago still reports its former mean, and noise
# changes the smoothed latency by half now and then.
MAX_LATENCY_TO_PACE: Final = 2.5
# Time for which the paces for calls of one route are kept. They change slowly,
# and their calculation takes longer than the rest of a choice.
PACES_SECONDS: Final = 0.1
# Most routes whose paces are kept.
MAX_KEPT_PACES: Final = 256


@dataclass(frozen=True, slots=True)
class _Paces:
    valid_until: float
    by_name: dict[str, float]


class PaceRule:
    """Costs by pace, remaining time and the load of whole data centres.

    A member costs more the slower it is, and more so for a call with little
    time. Calls leave the data centre by the mean over its members.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    random : RandomSource
        Random number generator for the jitter that is added to costs.
    """

    def __init__(self, data_centre: str, random: RandomSource) -> None:
        self._random = random
        self._paces_by_call: dict[tuple[str, str], _Paces] = {}
        self.data_centres = DataCentreLoads(data_centre)

    def cheapest(
        self, loads: Iterable[MemberLoad], call: PlacedCall, now: float
    ) -> MemberLoad | None:
        """Return the member with the lowest cost, None if there is none."""
        candidates = [
            load for load in loads if load.member.name not in call.excluded
        ]
        if not candidates:
            return None
        return self._cheapest(candidates, call, now)

    def _cheapest(
        self, loads: Sequence[MemberLoad], call: PlacedCall, now: float
    ) -> MemberLoad:
        costs, utilisations = _load_costs(loads, now)
        distances = self.data_centres.remote_costs(
            call.service, loads, utilisations, now
        )
        pace_cost = pace_cost_of(call) * _spare_part(utilisations)
        best = loads[0]
        lowest = math.inf
        for load, pace, cost, distance in zip(
            loads, self._paces(loads, call, now), costs, distances, strict=True
        ):
            excess = _observed_pace(pace, load) - 1.0
            cost += pace_cost * excess + distance
            cost += JITTER * self._random.random()
            if cost < lowest:
                best, lowest = load, cost
        return best

    def _paces(
        self, loads: Sequence[MemberLoad], call: PlacedCall, now: float
    ) -> list[float]:
        key = (call.service, call.route)
        known = self._paces_by_call.get(key)
        if known is not None and now < known.valid_until:
            by_name = known.by_name
            if all(load.member.name in by_name for load in loads):
                return [by_name[load.member.name] for load in loads]
        paces = paces_of(loads, call.route)
        if len(self._paces_by_call) >= MAX_KEPT_PACES:
            self._paces_by_call.clear()
        names = (load.member.name for load in loads)
        self._paces_by_call[key] = _Paces(
            now + PACES_SECONDS, dict(zip(names, paces, strict=True))
        )
        return paces


def _load_costs(
    loads: Sequence[MemberLoad], now: float
) -> tuple[list[float], list[float | None]]:
    """Return the costs without pace and distance, and the utilisations.

    The utilisation is None for a member that is to get few calls, since it says
    little of its data centre.
    """
    costs = []
    utilisations: list[float | None] = []
    for load in loads:
        decay(load, now)
        utilisation = load.utilisation()
        added = penalty(load)
        costs.append(utilisation + added)
        utilisations.append(utilisation if added < COLD_COST else None)
    return costs, utilisations


def _spare_part(utilisations: Sequence[float | None]) -> float:
    """Return how far calls may prefer fast members, from 0 to 1."""
    known = [used for used in utilisations if used is not None]
    if not known:
        return 1.0
    mean = sum(known) / len(known)
    spare = (BALANCED_AT - mean) / (BALANCED_AT - BALANCED_FROM)
    return min(1.0, max(0.0, spare))


def pace_cost_of(call: PlacedCall) -> float:
    """Return the cost of a member that takes twice the mean for a call."""
    urgent_below = URGENT_LATENCIES * call.typical_latency
    urgency = min(1.0, urgent_below / max(call.remaining, 1e-3))
    return RELAXED_PACE_COST + urgency * (URGENT_PACE_COST - RELAXED_PACE_COST)


def paces_of(loads: Sequence[MemberLoad], route: str) -> list[float]:
    """Return the relative run durations of members, 1 where unknown.

    Only runs of one route are compared. This is the route whose mean is known
    of the most members; of several, the route of the call.

    Parameters
    ----------
    loads : sequence of MemberLoad
        Candidates for a call.
    route : str
        Name of the call's route.
    """
    counts = Counter(name for load in loads for name in load.mean_run_by_route)
    if not counts:
        return [1.0 for _ in loads]
    most = max(counts.values())
    if counts[route] < most:
        route = min(name for name, count in counts.items() if count == most)
    means = [load.mean_run_by_route.get(route, 0.0) for load in loads]
    typical = _typical_of([mean for mean in means if mean])
    return [
        min(max(mean / typical, MIN_PACE), MAX_PACE) if mean else 1.0
        for mean in means
    ]


def _observed_pace(pace: float, load: MemberLoad) -> float:
    """Return the pace, or the observed latency if that contradicts it."""
    if load.latency_ratio > MAX_LATENCY_TO_PACE * pace:
        return min(load.latency_ratio, MAX_PACE)
    return pace


def _typical_of(means: list[float]) -> float:
    median = statistics.median(means)
    lowest = median / MAX_MEDIAN_RATIO
    highest = median * MAX_MEDIAN_RATIO
    bounded = sum(min(max(mean, lowest), highest) for mean in means)
    return bounded / len(means)
