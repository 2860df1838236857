"""Rollout of one service, as its decider leads it."""

import math
from collections import deque
from dataclasses import replace
from typing import Final

from mustardshunt.rollouts._evidence import (
    Reference,
    VersionEvidence,
    find_fault,
    find_tail_fault,
)
from mustardshunt.rollouts._orders import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    RolloutStage,
    RolloutVerdict,
)
from mustardshunt.rollouts._plan import (
    ALL_AT,
    COMPLETED_AT,
    LATEST_ALL_AT,
    LATEST_COMPLETED_AT,
    LATEST_STAGES_AT,
    MIN_STAGE_PART,
    MIN_STAGES_PART,
    PLAN,
    share_of,
)
from mustardshunt.rollouts._reports import ReportTable, UpstreamReport

# Time in which the nodes beside the upstreams learn of the order and report.
FIRST_REPORTS_SECONDS: Final = 0.5
# Answers of a stage that are enough to go on, and the part of the expected
# answers that is enough if fewer are expected.
ENOUGH_ANSWERS: Final = 30
ENOUGH_PART: Final = 0.4
# Fewest answers of the target for a judgement, if the former version has at
# least as many times this number.
MIN_ANSWERS: Final = 4
MIN_ANSWERS_FACTOR: Final = 10
# Interval between snapshots of the evidence, and snapshots that are kept.
# A version that turns bad is judged by its last answers, which all the good
# ones before would hide.
SNAPSHOT_SECONDS: Final = 0.5
KEPT_SNAPSHOTS: Final = 5
# Time in the stage ALL before the former upstreams can be known to be unused.
SETTLE_SECONDS: Final = 0.6


class Rollout:
    """Leads a service to its target, or back.

    Parameters
    ----------
    order : RolloutOrder
        Valid order.
    bounds : RolloutBounds
        Bounds on the requests that a bad version may get.
    started_at : float
        Time in seconds at which the order was written.
    now : float
        Time in seconds at which this decider begins.
    former : str or None, default=None
        Version before the order, if it is recorded.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        started_at: float,
        now: float,
        former: str | None = None,
    ) -> None:
        self.order = order
        self._bounds = bounds
        self._started_at = started_at
        self._begun_at = now
        self.former = former
        self._reports = ReportTable()
        self._step = -1
        self._step_at = now
        self._step_evidence = VersionEvidence()
        self._snapshots: deque[tuple[VersionEvidence, VersionEvidence]] = deque(
            maxlen=KEPT_SNAPSHOTS
        )
        self._snapshot_at = -math.inf
        self._rate = 0.0
        self.verdict: RolloutVerdict | None = None

    @property
    def deadline(self) -> float:
        """Time in seconds at which the rollout must have ended."""
        return self._started_at + self.order.duration

    @property
    def phase(self) -> RolloutPhase:
        """Phase of the rollout."""
        if self.verdict is not None:
            return self.verdict.phase
        if self._step < 0:
            return RolloutPhase.CANARY
        if self._step < len(PLAN):
            return PLAN[self._step].phase
        return RolloutPhase.ALL

    def record_report(self, report: UpstreamReport, now: float) -> None:
        """Use the report of a node beside an upstream of the service."""
        self._reports.add(report, now)

    def advance(self, now: float) -> RolloutVerdict | None:
        """Go on to the next stage or to the end, if it is time.

        Parameters
        ----------
        now : float
            Time in seconds; called every 0.1 s.

        Returns
        -------
        RolloutVerdict or None
            The judgement, None while there is none. It does not change.
        """
        if self.verdict is not None:
            return self.verdict
        if self.former is None:
            self._find_former(now)
        target = self._reports.evidence(self.order.target)
        former = VersionEvidence()
        if self.former is not None:
            former = self._reports.evidence(self.former)
        self._take_snapshot(target, former, now)
        fault = self._find_fault(target, former, now)
        if fault:
            self.verdict = RolloutVerdict(RolloutPhase.ROLLED_BACK, fault)
            return self.verdict
        if self._step < len(PLAN):
            self._advance_step(target, former, now)
        elif self._may_complete(now):
            reason = f'{target.answers} answers, {target.failures} failed'
            self.verdict = RolloutVerdict(RolloutPhase.COMPLETED, reason)
        return self.verdict

    def stage(self, now: float) -> RolloutStage:
        """Return the stage that holds now, without the decider's fields."""
        order = self.order
        reports = self._reports.fresh(order.target, now)
        ready = [report for report in reports if report.is_ready]
        share = self._share()
        used = max(1, math.ceil(share * len(ready)))
        preferred = sorted(ready, key=lambda report: report.is_cold)
        former_rate = 0.0
        if self.former is not None:
            evidence = self._reports.evidence(self.former)
            former_rate = evidence.failures / max(1, evidence.answers)
        return RolloutStage(
            order.service,
            order.target,
            self.former,
            order.revision,
            self.phase,
            share=share,
            members=tuple(report.node for report in preferred[:used]),
            targets=tuple(report.node for report in ready),
            failure_rate=former_rate,
        )

    def _part(self, now: float) -> float:
        """Return the part of the duration that has passed."""
        return (now - self._started_at) / self.order.duration

    def _share(self) -> float:
        if self._step < 0:
            return 0.0
        if self._step == len(PLAN):
            return 1.0
        return share_of(
            PLAN[self._step], self._bounds, self._rate, self.order.duration
        )

    def _find_former(self, now: float) -> None:
        """Take the version whose first upstream has started first."""
        if now < self._begun_at + FIRST_REPORTS_SECONDS:
            return
        versions = self._reports.versions()
        versions.pop(self.order.target, None)
        if versions:
            self.former = min(
                versions, key=lambda version: (versions[version], version)
            )

    def _take_snapshot(
        self, target: VersionEvidence, former: VersionEvidence, now: float
    ) -> None:
        if now < self._snapshot_at + SNAPSHOT_SECONDS:
            return
        if self._snapshots and self._step < len(PLAN):
            before = self._snapshots[-1]
            answers = target.answers + former.answers
            answers -= before[0].answers + before[1].answers
            rate = max(0.0, answers / (now - self._snapshot_at))
            weight = 0.5 if self._rate else 1.0
            self._rate += weight * (rate - self._rate)
        self._snapshot_at = now
        self._snapshots.append((target, former))

    def _find_fault(
        self, target: VersionEvidence, former: VersionEvidence, now: float
    ) -> str:
        if now >= self.deadline:
            return 'the deadline has passed'
        if self._reports.is_any_fused(self.order.target):
            return 'a node has counted too many bad answers'
        if not target.answers:
            return ''
        # Whole, and since each of the last snapshots.
        for before in (
            (VersionEvidence(), VersionEvidence()),
            *self._snapshots,
        ):
            recent = target.plus(before[0], -1)
            paired = former.plus(before[1], -1)
            fault = find_fault(recent, Reference(paired, former))
            if fault:
                return fault
        if self.former is None:
            return ''
        return find_tail_fault(
            self._reports.relative(self.order.target),
            self._reports.relative(self.former),
        )

    def _advance_step(
        self, target: VersionEvidence, former: VersionEvidence, now: float
    ) -> None:
        begun = (self._begun_at - self._started_at) / self.order.duration
        all_at = max(ALL_AT, begun + MIN_STAGES_PART)
        if all_at > LATEST_STAGES_AT:
            self._roll_back('too little time is left')
            return
        part = self._part(now)
        is_late = part >= max(LATEST_ALL_AT, all_at)
        ready = [
            report
            for report in self._reports.fresh(self.order.target, now)
            if report.is_ready
        ]
        if self._step < 0:
            if ready and self.former is not None:
                self._begin_step(0, target, now)
            elif is_late:
                self._roll_back('no upstream of the target is ready')
            return
        if is_late:
            self._end_late(target, former, bool(ready), now)
            return
        ends_at = begun + PLAN[self._step].ends_at * (all_at - begun)
        if part >= ends_at and self._may_go_on(target, ready, now):
            self._begin_step(self._step + 1, target, now)

    def _end_late(
        self,
        target: VersionEvidence,
        former: VersionEvidence,
        has_ready: bool,
        now: float,
    ) -> None:
        """Judge by the answers that there are."""
        needed = former.answers >= MIN_ANSWERS * MIN_ANSWERS_FACTOR
        if not has_ready:
            self._roll_back('no upstream of the target is ready')
        elif needed and target.answers < MIN_ANSWERS:
            self._roll_back('the target has answered too few calls')
        else:
            self._begin_step(len(PLAN), target, now)

    def _may_go_on(
        self,
        target: VersionEvidence,
        ready: list[UpstreamReport],
        now: float,
    ) -> bool:
        stage_part = (now - self._step_at) / self.order.duration
        if stage_part < MIN_STAGE_PART or not ready:
            return False
        if not self._has_enough(target, now):
            return False
        is_last = self._step + 1 == len(PLAN)
        warm = [report for report in ready if not report.is_cold]
        # Cold upstreams take few calls.
        return not is_last or len(warm) * 2 >= len(ready)

    def _has_enough(self, target: VersionEvidence, now: float) -> bool:
        answers = target.answers - self._step_evidence.answers
        expected = self._share() * self._rate * (now - self._step_at)
        return answers >= min(ENOUGH_ANSWERS, ENOUGH_PART * expected)

    def _begin_step(
        self, step: int, target: VersionEvidence, now: float
    ) -> None:
        self._step = step
        self._step_at = now
        self._step_evidence = target

    def _may_complete(self, now: float) -> bool:
        part = self._part(now)
        if part >= LATEST_COMPLETED_AT:
            return True
        if part < COMPLETED_AT or now < self._step_at + SETTLE_SECONDS:
            return False
        if self.former is None:
            return True
        return all(
            not report.in_flight
            for report in self._reports.fresh(self.former, now)
        )

    def _roll_back(self, reason: str) -> None:
        self.verdict = RolloutVerdict(RolloutPhase.ROLLED_BACK, reason)


def end_of(stage: RolloutStage, verdict: RolloutVerdict) -> RolloutStage:
    """Return the end of a rollout as nodes are told it."""
    return replace(stage, phase=verdict.phase, share=0.0, members=())
