"""Frames about rollouts.

The fields of a frame are encoded by position, so their order is part of the
protocol between nodes.
"""

from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import Revision


@dataclass(frozen=True, slots=True)
class RolloutStageFrame:
    """Tells the current stage of a rollout, or its end.

    Parameters
    ----------
    service : str
        Service that is moved.
    target : str
        Version to which the service is moved.
    order : Revision
        Revision of the order.
    phase : str
        Phase of the rollout.
    term : int
        Rises with each decider.
    number : int
        Rises with each stage of a decider.
    share : float
        Share of the requests that may go to the target.
    seconds_left : float
        Time in seconds for which the stage may be used.
    details : bytes
        CBOR array of the other fields.
    """

    service: str
    target: str
    order: Revision
    phase: str
    term: int
    number: int
    share: float
    seconds_left: float
    details: bytes


@dataclass(frozen=True, slots=True)
class RolloutReportFrame:
    """Tells the state of an upstream in a rollout, and its answers so far.

    Parameters
    ----------
    node : str
        Name of the node beside the upstream.
    incarnation : str
        Process of the node.
    sequence : int
        Number of the report.
    service : str
        Service of the upstream.
    version : str
        Version of the upstream.
    target : str
        Target of the rollout.
    details : bytes
        CBOR array of the other fields.
    """

    node: str
    incarnation: str
    sequence: int
    service: str
    version: str
    target: str
    details: bytes


RolloutFrame: TypeAlias = RolloutStageFrame | RolloutReportFrame
