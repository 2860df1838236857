"""Stages of a rollout over its duration."""

from dataclasses import dataclass
from typing import Final

from mustardshunt.rollouts._orders import RolloutBounds, RolloutPhase

# Part of the duration after which all traffic goes to the target.
ALL_AT: Final = 0.64
# Part of the duration after which the row is written, if the former upstreams
# have no calls in flight, and after which it is written anyway.
COMPLETED_AT: Final = 0.78
LATEST_COMPLETED_AT: Final = 0.9
# Part of the duration from which on the stages do not wait for more answers.
LATEST_ALL_AT: Final = 0.74
# Shortest time of all stages before ALL, and of one of them, as parts of the
# duration, for a decider that takes over.
MIN_STAGES_PART: Final = 0.3
MIN_STAGE_PART: Final = 0.04
# Part of the duration up to which the stages before ALL must end.
LATEST_STAGES_AT: Final = 0.85
# Part of the slack that is spread over the rollout. The rest is for the
# requests that nodes send before they have earned them, and for the time until
# all nodes know a verdict.
PLANNED_SLACK_PART: Final = 0.6
# Highest share of a stage before ALL.
MAX_SHARE: Final = 0.5
_MIN_REQUESTS: Final = 1.0


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """One stage before the target takes all traffic.

    Parameters
    ----------
    phase : RolloutPhase
        Phase of the rollout.
    factor : float
        Share of the stage, as a multiple of the share over the whole rollout.
    ends_at : float
        End of the stage, as a part of the time before ``ALL_AT``.
    """

    phase: RolloutPhase
    factor: float
    ends_at: float


# With a share of 0.1, these stages use 0.056 of the requests of the duration.
# The last ones send a few upstreams as much as they get when all traffic is
# moved, so that a version that is bad under load only is found before. What is
# left of the share is for the time in which such a fault is found in ALL.
PLAN: Final = (
    PlannedStage(RolloutPhase.CANARY, 0.2, 0.39),
    PlannedStage(RolloutPhase.RAMP, 0.6, 0.7),
    PlannedStage(RolloutPhase.RAMP, 1.5, 0.94),
    PlannedStage(RolloutPhase.RAMP, 4.0, 1.0),
)


def share_of(
    stage: PlannedStage,
    bounds: RolloutBounds,
    rate: float,
    duration: float,
) -> float:
    """Return the share of a stage.

    At a low rate, a part of the slack adds to the share: otherwise too few
    answers would arrive to judge a version by.

    Parameters
    ----------
    stage : PlannedStage
        The stage.
    bounds : RolloutBounds
        Bounds of the whole rollout.
    rate : float
        Requests a second for the service.
    duration : float
        Duration of the rollout in seconds.

    Examples
    --------
    >>> bounds = RolloutBounds(0.1, 50)
    >>> round(share_of(PLAN[0], bounds, 2000.0, 12.0), 3)
    0.02
    >>> round(share_of(PLAN[0], bounds, 20.0, 12.0), 3)
    0.045
    """
    requests = max(_MIN_REQUESTS, rate * duration)
    whole = bounds.share + PLANNED_SLACK_PART * bounds.slack / requests
    return min(MAX_SHARE, stage.factor * whole)
