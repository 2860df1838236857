"""Asks, reports and grants for each request, in virtual time."""

import time
from collections.abc import Iterable
from typing import Final

from mustardshunt.base import Incarnation
from mustardshunt.measure.capacity._design_size import (
    DesignSize,
    OrganisationClass,
)
from mustardshunt.measure.capacity._measurements import GrantTrafficCost
from mustardshunt.node._frame_numbers import make_codec
from mustardshunt.rate import SendGrant, SendTokenRequest
from mustardshunt.rate._simulation import Action, Event
from mustardshunt.rate.measurement import Case, Tally, run_case

_FAR_DELAY: Final = 0.02
# Requests that are enough for a figure, and the shortest and longest run.
_REQUESTS: Final = 400
_SHORTEST: Final = 4.0
_LONGEST: Final = 60.0
# A run with all nodes takes long, so a part of them gets its part of the
# requests; holders and shares stay the same.
_VIRTUAL_NODES: Final = 140


class ByteTally(Tally):
    """Counts messages between nodes and their bytes as well."""

    def __init__(self, rate: float, burst: float) -> None:
        super().__init__(rate, burst)
        self.message_count = 0
        self.byte_count = 0
        self.started_at = 0.0
        self._codec = make_codec()

    def handled(
        self,
        node: Incarnation,
        event: Event,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        """Count asks, reports and grants that leave the node."""
        for action in actions:
            match action:
                case SendTokenRequest(holder, frame) if holder != node:
                    self._count(frame)
                case SendGrant(wallet, grant) if wallet != node:
                    self._count(grant)

    def reset(self) -> None:
        """Forget what was counted during the warm-up."""
        super().reset()
        self.message_count = 0
        self.byte_count = 0
        self.started_at = time.process_time()

    def _count(self, frame: object) -> None:
        self.message_count += 1
        self.byte_count += len(self._codec.encode(frame))


def measure_grant_traffic(
    size: DesignSize,
    entry_nodes: int,
) -> tuple[GrantTrafficCost, ...]:
    """Run one organisation of each class.

    Parameters
    ----------
    size : DesignSize
        Gives the classes and data centres.
    entry_nodes : int
        Nodes over which an organisation's requests are spread.
    """
    return tuple(
        _measure_class(size, found, entry_nodes) for found in size.classes
    )


def _measure_class(
    size: DesignSize,
    found: OrganisationClass,
    entry_nodes: int,
) -> GrantTrafficCost:
    nodes = min(entry_nodes, _VIRTUAL_NODES)
    load = found.load * nodes / entry_nodes
    seconds = _REQUESTS / (found.rate * load)
    case = Case(
        found.name,
        size.data_centres,
        _VIRTUAL_NODES // size.data_centres,
        found.rate,
        found.burst,
        load,
        seconds=min(max(seconds, _SHORTEST), _LONGEST),
        far_delay=_FAR_DELAY,
        entry_nodes=nodes,
    )
    tally = ByteTally(found.rate, found.burst)
    run_case(case, tally)
    requests = tally.admitted_count + tally.refused_count
    used = time.process_time() - tally.started_at
    return GrantTrafficCost(
        found.name,
        entry_nodes,
        requests,
        tally.message_count / requests,
        tally.byte_count / requests,
        used / requests,
    )
