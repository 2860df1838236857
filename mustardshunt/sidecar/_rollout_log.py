"""Log lines of a node that decides on rollouts."""

from typing import Final

from mustardshunt.base import Clock
from mustardshunt.observability import EventLog
from mustardshunt.rollouts import Rollout, RolloutOrder, RolloutStage

# Factor by which the share of a phase changes when its next step begins.
# Smaller changes follow the rate of requests and are not logged.
STEP_FACTOR: Final = 1.25


class RolloutLog:
    """Records changes of the rollouts on which a node decides.

    Parameters
    ----------
    log : EventLog
        Log of the node.
    clock : Clock
        Source of the time.
    """

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock

    def ordered(self, order: RolloutOrder) -> None:
        """Record an order that this node has read."""
        self._log.record(
            'rollout-ordered',
            self._clock.now(),
            service=order.service,
            target=order.target,
            duration=order.duration,
            revision=order.revision.number,
        )

    def refused(self, order: RolloutOrder) -> None:
        """Record an order that cannot be followed."""
        self._log.record(
            'rollout-refused',
            self._clock.now(),
            service=order.service,
            target=order.target,
            fault=order.fault,
        )

    def deciding(self, rollout: Rollout, term: int) -> None:
        """Record that this node decides on a rollout from now on."""
        now = self._clock.now()
        self._log.record(
            'rollout-deciding',
            now,
            service=rollout.order.service,
            target=rollout.order.target,
            former=rollout.former,
            term=term,
            seconds_left=round(rollout.deadline - now, 1),
        )

    def stage(
        self, stage: RolloutStage, now: float, told: RolloutStage | None
    ) -> None:
        """Record a stage that differs from the one that was told before."""
        if told is not None and told.phase is stage.phase:
            change = stage.share / told.share if told.share else STEP_FACTOR
            if 1 / STEP_FACTOR < change < STEP_FACTOR:
                return
        self._log.record(
            'rollout-stage',
            now,
            service=stage.service,
            target=stage.target,
            former=stage.former,
            phase=stage.phase.value,
            share=round(stage.share, 4),
            members=list(stage.members),
            targets=len(stage.targets),
        )

    def verdict(self, stage: RolloutStage, reason: str) -> None:
        """Record how a rollout ends, and why."""
        self._log.record(
            'rollout-verdict',
            self._clock.now(),
            service=stage.service,
            target=stage.target,
            state=stage.phase.value,
            reason=reason,
        )
