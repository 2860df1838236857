"""Decides on rollouts, at a follower whose turn it is."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from mustardshunt.base import NO_REVISION, Clock, RandomSource
from mustardshunt.load_balancing import Member
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.rollouts import (
    STAGE_SECONDS,
    DeciderTurn,
    Rollout,
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    RolloutStage,
    UpstreamReport,
    end_of,
)
from mustardshunt.sidecar._platform_access import Backoff, PlatformAvailability
from mustardshunt.sidecar._ports import OperatorUpdate, PlatformError
from mustardshunt.sidecar._rollout_lead import Lead, former_version
from mustardshunt.sidecar._rollout_log import RolloutLog
from mustardshunt.sidecar._rollout_node import RolloutNode
from mustardshunt.sidecar._rollout_records import (
    RolloutDirectory,
    RolloutRecord,
    RolloutStatus,
)
from mustardshunt.sidecar._rollout_relay import RolloutRelay

# Time after which a rollout begins although the platform does not answer. The
# order has come from there, so that the platform was reachable shortly before.
BEGIN_TIMEOUT_SECONDS: Final = 1.0
# Orders that are kept; one for each service is in use.
MAX_ORDERS: Final = 512


@dataclass(frozen=True, slots=True)
class DeciderComponents:
    """Components that a decider uses.

    Parameters
    ----------
    directory : RolloutDirectory
        Keeps the states of rollouts.
    is_following : callable
        Tells whether this node follows the platform for its data centre.
    node : RolloutNode
        Holds the stages that this node knows.
    relay : RolloutRelay
        Tells the stages to all nodes.
    registry : PolicyRegistry
        Names the services.
    availability : PlatformAvailability
        Records answered and failed requests.
    """

    directory: RolloutDirectory
    is_following: Callable[[], bool]
    node: RolloutNode
    relay: RolloutRelay
    registry: PolicyRegistry
    availability: PlatformAvailability


class RolloutDecider:
    """Leads the rollouts that operators order.

    Each follower knows the orders, and one of them decides. Stages go on while
    the platform does not answer; the end is written when it does.

    Parameters
    ----------
    own : Member
        Entry of this node.
    bounds : RolloutBounds
        Bounds on the requests that a bad version may get.
    components : DeciderComponents
        Components that the decider uses.
    random : RandomSource
        Source of the jitter in pauses.
    log : EventLog
        Log of orders, stages and verdicts.
    clock : Clock
        Source of the monotonic time.
    time_of_day : callable
        Returns the seconds since the epoch.
    """

    def __init__(
        self,
        own: Member,
        bounds: RolloutBounds,
        components: DeciderComponents,
        random: RandomSource,
        log: EventLog,
        clock: Clock,
        time_of_day: Callable[[], float],
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._directory = components.directory
        self._is_following = components.is_following
        self._node = components.node
        self._relay = components.relay
        self._registry = components.registry
        self._availability = components.availability
        self._backoff = Backoff(random)
        self._log = RolloutLog(log, clock)
        self._clock = clock
        self._time_of_day = time_of_day
        self._lead_by_service: dict[str, Lead] = {}
        self._era = NO_REVISION.era
        self._work_added = asyncio.Event()

    def receive(self, update: OperatorUpdate) -> None:
        """Use the orders of an update that the platform has sent."""
        is_new_era = NO_REVISION.era < self._era < update.revision.era
        self._era = max(self._era, update.revision.era)
        for order in update.orders:
            self._receive_order(order)
        if is_new_era:
            # The platform's copy may lack the ends that are known here.
            for lead in self._lead_by_service.values():
                end = self._known_end(lead)
                if end is not None:
                    lead.needs_end = end
            self._work_added.set()

    def hear_report(self, report: UpstreamReport) -> None:
        """Use the report of a node beside an upstream."""
        lead = self._lead_by_service.get(report.service)
        if lead is None or lead.order.target != report.target:
            return
        lead.reports[report.incarnation, report.version] = report
        if lead.rollout is not None:
            lead.rollout.record_report(report, self._clock.now())

    def hear_stage(self, stage: RolloutStage) -> None:
        """Record a stage that another node has told."""
        lead = self._lead_by_service.get(stage.service)
        if lead is None or lead.order.target != stage.target:
            return
        lead.turn.record_term(stage.term)
        if not stage.phase.is_final:
            lead.turn.hear(
                stage.decider_rank,
                stage.decider,
                self._relay.own_rank(),
                self._clock.now(),
            )

    def check(self, now: float) -> None:
        """Lead the rollouts; called every 0.1 s."""
        for lead in list(self._lead_by_service.values()):
            if self._known_end(lead) is not None:
                lead.rollout = None
                continue
            if not self._is_following():
                lead.turn.stop()
                lead.stop()
            elif lead.turn.decides(self._relay.own_rank(), now):
                self._lead(lead, now)
            else:
                lead.stop()

    async def run(self) -> None:
        """Write the states of rollouts, until cancelled."""
        while True:
            lead = self._next_work()
            if lead is None:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            try:
                await self._work(lead)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._backoff.wait()
                continue
            self._availability.record_success()
            self._backoff.reset()

    def _lead(self, lead: Lead, now: float) -> None:
        if lead.order.fault:
            self._request_begin(lead, now)
        elif lead.rollout is None:
            self._begin(lead, now)
        else:
            self._advance(lead, lead.rollout, now)

    def _receive_order(self, order: RolloutOrder) -> None:
        if not order.service:
            self._log.refused(order)
            return
        lead = self._lead_by_service.get(order.service)
        if lead is None:
            if len(self._lead_by_service) >= MAX_ORDERS:
                return
        elif not lead.gives_way(order, self._known_end(lead) is not None):
            if order.fault and order.revision > lead.order.revision:
                self._log.refused(order)
            return
        now = self._clock.now()
        record = RolloutRecord(
            order.service,
            order.target,
            round(self._time_of_day(), 3),
            order.duration,
        )
        self._lead_by_service[order.service] = Lead(
            order, DeciderTurn(self._own.incarnation, now), record
        )
        if order.fault:
            self._log.refused(order)
            return
        self._log.ordered(order)

    def _known_end(self, lead: Lead) -> RolloutStage | None:
        stage = self._node.stage_of(lead.order.service)
        if stage is None or stage.target != lead.order.target:
            return None
        return stage if stage.phase.is_final else None

    def _request_begin(self, lead: Lead, now: float) -> None:
        if not lead.is_answered and not lead.needs_begin:
            lead.needs_begin = True
            lead.asked_at = now
            self._work_added.set()

    def _begin(self, lead: Lead, now: float) -> None:
        policy = self._registry.active
        if policy is None:
            return
        order = lead.order
        if order.service not in policy.policy.service_by_name:
            lead.order = replace(order, fault='the service is unknown')
            self._log.refused(lead.order)
            return
        self._request_begin(lead, now)
        is_late = now >= lead.asked_at + BEGIN_TIMEOUT_SECONDS
        if not lead.is_answered and not is_late:
            return
        record = lead.record
        elapsed = self._time_of_day() - record.started_at
        former = former_version(
            self._node.stage_of(order.service), order.target
        )
        lead.rollout = Rollout(
            replace(order, duration=record.duration),
            self._bounds,
            now - max(0.0, elapsed),
            now,
            former,
        )
        lead.term = lead.turn.last_term + 1
        lead.number = 0
        lead.told_at = 0.0
        for report in lead.reports.values():
            lead.rollout.record_report(report, now)
        self._log.deciding(lead.rollout, lead.term)

    def _advance(self, lead: Lead, rollout: Rollout, now: float) -> None:
        verdict = rollout.advance(now)
        if lead.turn.last_term > lead.term:
            # Another decider is of a later term, but of a later data centre.
            lead.term = lead.turn.last_term + 1
        lead.number += 1
        stage = replace(
            rollout.stage(now),
            term=lead.term,
            number=lead.number,
            decider_rank=self._relay.own_rank(),
            decider=self._own.incarnation,
        )
        if verdict is not None:
            self._end(lead, end_of(stage, verdict), verdict.reason, now)
            return
        told = lead.told
        if told is None or (told.phase, told.share) != (
            stage.phase,
            stage.share,
        ):
            self._log.stage(stage, now, told)
            lead.told_at = 0.0
        elif told.members != stage.members or told.former != stage.former:
            lead.told_at = 0.0
        if now < lead.told_at + STAGE_SECONDS:
            return
        lead.told_at = now
        lead.told = stage
        lead.turn.record_term(lead.term)
        self._relay.spread(stage)

    def _end(
        self, lead: Lead, stage: RolloutStage, reason: str, now: float
    ) -> None:
        if lead.needs_end is not None:
            self._repeat_all(lead, now)
            return
        self._log.verdict(stage, reason)
        lead.needs_end = stage
        self._work_added.set()
        if stage.phase is RolloutPhase.ROLLED_BACK:
            self._relay.spread(stage)

    def _repeat_all(self, lead: Lead, now: float) -> None:
        """Let the stage ALL go on while its end cannot be written."""
        told = lead.told
        if told is None or now < lead.told_at + STAGE_SECONDS:
            return
        lead.told_at = now
        lead.told = replace(told, number=lead.number, term=lead.term)
        self._relay.spread(lead.told)

    def _next_work(self) -> Lead | None:
        for lead in self._lead_by_service.values():
            if lead.needs_begin or lead.needs_end is not None:
                return lead
        return None

    async def _work(self, lead: Lead) -> None:
        order = lead.order
        if lead.needs_end is not None:
            stage = lead.needs_end
            state = await self._directory.end(
                order.service, order.target, stage.phase
            )
            if lead.needs_end is stage:
                lead.needs_end = None
            self._relay.spread(replace(stage, phase=state))
            return
        if order.fault:
            await self._directory.refuse(order.service, order.target)
            status = None
        else:
            status = await self._directory.begin(lead.record)
        lead.needs_begin = False
        lead.is_answered = True
        if status is not None:
            self._use_status(lead, status)

    def _use_status(self, lead: Lead, status: RolloutStatus) -> None:
        lead.record = status.record
        if status.state is None:
            return
        # The order has come twice, or this node has just begun to follow.
        former = former_version(
            self._node.stage_of(lead.order.service), lead.order.target
        )
        self._relay.spread(
            RolloutStage(
                lead.order.service,
                lead.order.target,
                former,
                lead.order.revision,
                status.state,
                decider=self._own.incarnation,
            )
        )
