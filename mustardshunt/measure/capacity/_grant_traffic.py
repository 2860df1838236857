"""Measures the traffic of token grants in virtual time."""

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

_FAR_DELAY_SECONDS: Final = 0.02
# A run lasts until this many requests have been sent, within the bounds below.
_TARGET_REQUESTS: Final = 400
_MIN_SECONDS: Final = 4.0
_MAX_SECONDS: Final = 60.0
# Simulating all nodes takes too long. Fewer nodes are simulated, with the
# corresponding fraction of the requests. The shares, and the number of nodes
# that hold shares, are those of the design size.
_SIMULATED_NODES: Final = 140


class ByteTally(Tally):
    """Counts messages and bytes between nodes in addition to calls."""

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
        """Count token requests and grants that are sent to other nodes."""
        for action in actions:
            match action:
                case SendTokenRequest(holder, frame) if holder != node:
                    self._count(frame)
                case SendGrant(receiver, grant) if receiver != node:
                    self._count(grant)

    def reset(self) -> None:
        """Set all counts to zero at the end of the warm-up."""
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
    """Measure the grant traffic of one organisation of each class.

    Parameters
    ----------
    size : DesignSize
        Size that gives the classes and the number of data centres.
    entry_nodes : int
        Number of nodes that receive the organisation's requests.
    """
    return tuple(
        _measure_class(size, organisation_class, entry_nodes)
        for organisation_class in size.classes
    )


def _measure_class(
    size: DesignSize,
    organisation_class: OrganisationClass,
    entry_nodes: int,
) -> GrantTrafficCost:
    nodes = min(entry_nodes, _SIMULATED_NODES)
    load = organisation_class.load * nodes / entry_nodes
    seconds = _TARGET_REQUESTS / (organisation_class.rate * load)
    case = Case(
        organisation_class.name,
        size.data_centres,
        _SIMULATED_NODES // size.data_centres,
        organisation_class.rate,
        organisation_class.burst,
        load,
        seconds=min(max(seconds, _MIN_SECONDS), _MAX_SECONDS),
        far_delay=_FAR_DELAY_SECONDS,
        entry_nodes=nodes,
    )
    tally = ByteTally(organisation_class.rate, organisation_class.burst)
    run_case(case, tally)
    requests = tally.admitted_count + tally.refused_count
    processor_seconds = time.process_time() - tally.started_at
    return GrantTrafficCost(
        organisation_class.name,
        entry_nodes,
        requests,
        tally.message_count / requests,
        tally.byte_count / requests,
        processor_seconds / requests,
    )
