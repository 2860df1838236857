"""Rollout as the node beside an upstream sees it."""

import math
from typing import Final

from mustardshunt.rollouts._evidence import (
    RouteEvidence,
    VersionEvidence,
    bucket_of,
)
from mustardshunt.rollouts._orders import (
    RolloutBounds,
    RolloutPhase,
    RolloutStage,
)

# Bad answers after which a bad version gets no further request.
MAX_BAD_ANSWERS: Final = 50
# A version whose share of failures is above that of the former version by less
# than this, or by less than this factor, is not bad by its failures.
MIN_FUSE_DIFFERENCE: Final = 0.02
MIN_FUSE_FACTOR: Final = 2.0
# Time in the stage ALL after which an upstream of the former version takes no
# calls. Entry nodes know the stage by then, and send calls elsewhere.
FORMER_CLOSES_SECONDS: Final = 1.0
# Lost answers that count in one second: when an upstream crashes, all its calls
# are lost at once, which is one fault.
MAX_LOSSES_PER_SECOND: Final = 2
# Routes of which answers are counted; names come from the policy.
MAX_ROUTES: Final = 256


class UpstreamRollout:
    """Counts the answers of one upstream, and closes it when it must not run.

    Parameters
    ----------
    bounds : RolloutBounds
        Bounds on the requests that a bad version may get.
    """

    def __init__(self, bounds: RolloutBounds) -> None:
        self._bounds = bounds
        self.version = ''
        self.stage: RolloutStage | None = None
        self._heard_at = -math.inf
        self._valid_until = -math.inf
        self._all_since: float | None = None
        self._route_by_name: dict[str, RouteEvidence] = {}
        self._loss_second = 0
        self._losses = 0
        self.is_fused = False

    @property
    def target(self) -> str:
        """Target of the rollout for which answers are counted."""
        return '' if self.stage is None else self.stage.target

    def set_version(self, version: str) -> None:
        """Set the version that the upstream states."""
        if version != self.version:
            self.version = version
            self._clear()

    def apply(
        self, stage: RolloutStage, valid_until: float, now: float
    ) -> None:
        """Use a stage or the end of a rollout that replaces the former one."""
        if self.stage is None or self.stage.target != stage.target:
            self._clear()
        self.stage = stage
        self._heard_at = now
        self._valid_until = valid_until
        if stage.phase is not RolloutPhase.ALL:
            self._all_since = None
        elif self._all_since is None:
            self._all_since = now

    def is_counting(self, now: float) -> bool:
        """Tell whether answers are counted and reported."""
        stage = self.stage
        if stage is None or stage.phase.is_final:
            return False
        return now < self._heard_at + self._bounds.rollback

    def record(
        self,
        route: str,
        seconds: float,
        has_failed: bool,
        is_lost: bool,
        is_cold: bool,
        now: float,
    ) -> None:
        """Count a run that has ended.

        Parameters
        ----------
        route : str
            Route of the call.
        seconds : float
            Duration of the run, up to its cancellation if it was cancelled.
        has_failed : bool
            Whether the answer is a failure, or was lost.
        is_lost : bool
            Whether the answer was lost.
        is_cold : bool
            Whether the upstream is cold, so that the duration tells nothing.
        now : float
            Time in seconds.
        """
        known = self._route_by_name.get(route)
        if known is None:
            if len(self._route_by_name) >= MAX_ROUTES:
                return
            known = RouteEvidence()
        if is_lost and not self._counts_loss(now):
            return
        durations = {}
        if not is_cold and not has_failed:
            durations = {bucket_of(seconds): 1}
        self._route_by_name[route] = known.plus(
            RouteEvidence(1, int(has_failed), durations)
        )
        if has_failed:
            self._check_fuse()

    def evidence(self) -> VersionEvidence:
        """Return the answers that were counted since the order is known."""
        return VersionEvidence(dict(self._route_by_name))

    def is_closed(self, now: float) -> bool:
        """Tell whether the upstream must not run calls."""
        stage = self.stage
        if stage is None:
            return False
        if self.version == stage.target:
            return self._is_target_closed(stage, now)
        if self.version != stage.former:
            return False
        if stage.phase is RolloutPhase.COMPLETED:
            return True
        since = self._all_since
        if since is None or now >= self._valid_until:
            return False
        return now >= since + FORMER_CLOSES_SECONDS

    def _is_target_closed(self, stage: RolloutStage, now: float) -> bool:
        if stage.phase is RolloutPhase.COMPLETED:
            return False
        if stage.phase is RolloutPhase.ROLLED_BACK or self.is_fused:
            return True
        return now >= self._heard_at + self._bounds.rollback

    def _check_fuse(self) -> None:
        stage = self.stage
        if stage is None or self.version != stage.target:
            return
        evidence = self.evidence()
        failures = evidence.failures
        if failures < MAX_BAD_ANSWERS:
            return
        rate = failures / evidence.answers
        self.is_fused = self.is_fused or (
            rate >= stage.failure_rate + MIN_FUSE_DIFFERENCE
            and rate >= stage.failure_rate * MIN_FUSE_FACTOR
        )

    def _counts_loss(self, now: float) -> bool:
        if int(now) != self._loss_second:
            self._loss_second = int(now)
            self._losses = 0
        self._losses += 1
        return self._losses <= MAX_LOSSES_PER_SECOND

    def _clear(self) -> None:
        self._route_by_name = {}
        self.is_fused = False
