"""Rollouts at each node: which members it uses, and its own upstream."""

import asyncio
import itertools
import math
from collections.abc import Collection, Mapping
from typing import Final

from mustardshunt.base import Clock, Reason, rank_of
from mustardshunt.load_balancing import SUBSET_SIZE, LoadBalancer, Member
from mustardshunt.observability import EventLog
from mustardshunt.relay import Answered, AnswerLost, FailureKind, NotRun
from mustardshunt.rollouts import (
    MemberVersion,
    RolloutBounds,
    RolloutStage,
    ServiceVersions,
    UpstreamReport,
    UpstreamRollout,
    VersionShare,
    barred_names,
    first_credit,
    planned_names,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._served_call import ServedCall
from mustardshunt.upstream import BackendServerStatus

# Interval between reports of a node beside an upstream of a service that is
# moved.
REPORT_SECONDS: Final = 0.2
# Longest wait of a node that has just started for the versions of the members
# to which it opens links, and the interval of its checks.
CONFIRM_SECONDS: Final = 1.0
CONFIRM_INTERVAL_SECONDS: Final = 0.01
# Time for which an end that a peer has told is passed on to others.
_HELD_SECONDS: Final = 60.0
_SERVER_ERROR: Final = 500


class RolloutNode:
    """Holds the stages of rollouts, and keeps to them at one node.

    Parameters
    ----------
    own : Member
        Entry of this node.
    bounds : RolloutBounds
        Bounds on the requests that a bad version may get.
    balancer : LoadBalancer
        Chooses the members for calls.
    links : LinkManager
        Links to the other nodes.
    callee : Callee
        Runs the calls at this node's backend server.
    log : EventLog
        Log of stages and of an upstream that is closed.
    metrics : SidecarMetrics
        Metrics of the node.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        bounds: RolloutBounds,
        balancer: LoadBalancer,
        links: LinkManager,
        callee: Callee,
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._bounds = bounds
        self._balancer = balancer
        self._links = links
        self._callee = callee
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._service_by_name: dict[str, str] = {}
        self._usable_names: set[str] = set()
        # Members that cannot be reached, or know no version yet.
        self._silent_names: set[str] = set()
        self._versions_by_service: dict[str, ServiceVersions] = {}
        self._valid_until_by_service: dict[str, float] = {}
        self._barred: frozenset[str] = frozenset()
        self._planned: frozenset[str] = frozenset()
        self._position = 0.0
        self._credit = 0.0
        self._upstream = UpstreamRollout(bounds)
        self._sequence = itertools.count(1)
        self._reported_at = -math.inf
        self._is_withheld = False
        # Whether the last choice has taken a request for the target.
        self._has_drawn = False

    # Choice of members at the entry node.

    async def wait_confirmed(self, service: str) -> None:
        """Wait until the version in use is known, as far as it can be."""
        versions = self._versions_of(service)
        if versions.is_confirmed:
            return
        ends_at = self._clock.now() + CONFIRM_SECONDS
        while not versions.is_confirmed:
            planned = self._links.planned_members(service)
            if not planned:
                return
            pending = [
                name
                for name in planned
                if not versions.knows(name) and name not in self._silent_names
            ]
            if not pending or self._clock.now() >= ends_at:
                versions.confirm()
                self._update()
                return
            await asyncio.sleep(CONFIRM_INTERVAL_SECONDS)

    def excluded(self, service: str, tried: Collection[str]) -> Collection[str]:
        """Return the members to leave out; those tried are among them."""
        versions = self._versions_by_service.get(service)
        if versions is None or not versions.targets:
            return tried
        self._has_drawn = versions.share.draw()
        if self._has_drawn:
            return versions.others.union(tried)
        return versions.targets.union(tried)

    def fall_back(
        self, service: str, tried: Collection[str]
    ) -> Collection[str]:
        """Return the same when the choice that was just made found no member.

        If it was a choice among the members of the target, the request for the
        target is returned.
        """
        versions = self._versions_by_service[service]
        if self._has_drawn:
            self._has_drawn = False
            versions.share.refund()
        return versions.targets.union(tried)

    def record_result(
        self,
        service: str,
        name: str,
        result: Answered | NotRun | AnswerLost | None,
    ) -> None:
        """Record how an attempt at a member has ended.

        Attempts that reached an upstream earn the share. The request for the
        target is returned if the attempt did not reach it.
        """
        versions = self._versions_by_service.get(service)
        if versions is None or not versions.has_stage or result is None:
            return
        if isinstance(result, NotRun):
            is_unsent = result.reason != Reason.REJECTED.value
            if is_unsent and name in versions.targets:
                versions.share.refund()
            return
        stage = versions.stage
        if stage is not None:
            versions.share.record_run(stage.share)
            if name in versions.targets:
                self._metrics.rollout_target_calls.labels(service).inc()

    # Versions and stages.

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Set the nodes of the deployment."""
        names_by_service: dict[str, set[str]] = {}
        self._service_by_name = {}
        for name, member in by_name.items():
            self._service_by_name[name] = member.service
            names_by_service.setdefault(member.service, set()).add(name)
        names = sorted(by_name, key=rank_of)
        index = names.index(self._own.name) if self._own.name in by_name else 0
        self._position = index / max(1, len(names))
        self._credit = first_credit(index, len(names), self._bounds.slack)
        self._usable_names.intersection_update(by_name)
        self._silent_names.intersection_update(by_name)
        for service, versions in self._versions_by_service.items():
            versions.set_names(names_by_service.get(service, ()))
        self._update()

    def record_status(
        self, name: str, status: BackendServerStatus, is_usable: bool
    ) -> bool:
        """Record a status; tell if the member may take calls.

        Parameters
        ----------
        name : str
            Name of the member.
        status : BackendServerStatus
            Its status.
        is_usable : bool
            Whether the member could take calls without rollouts.
        """
        self._silent_names.discard(name)
        if is_usable:
            self._usable_names.add(name)
        else:
            self._usable_names.discard(name)
        service = self._service_by_name.get(name)
        if status.run is None:
            self._silent_names.add(name)
        if service is None or status.run is None:
            return is_usable
        versions = self._versions_of(service)
        if versions.record(
            name, MemberVersion(status.version, status.run.started_at)
        ):
            self._update()
        return is_usable and versions.allows(name)

    def record_lost(self, name: str) -> None:
        """Record that a member cannot be reached."""
        self._usable_names.discard(name)
        self._silent_names.add(name)

    def apply(self, stage: RolloutStage, seconds_left: float) -> bool:
        """Use a stage; tell if it is news."""
        now = self._clock.now()
        versions = self._versions_of(stage.service)
        former = versions.stage
        if not versions.apply(stage, now + seconds_left):
            return False
        self._valid_until_by_service[stage.service] = now + seconds_left
        if stage.service == self._own.service:
            self._upstream.apply(stage, now + seconds_left, now)
            self._close_or_open(now)
        if former is None or (former.target, former.phase) != (
            stage.target,
            stage.phase,
        ):
            self._log.record(
                'rollout',
                now,
                service=stage.service,
                target=stage.target,
                former=stage.former,
                phase=stage.phase.value,
                decider=stage.decider,
            )
            self._metrics.rollout_phases.labels(
                stage.service, stage.phase.value
            ).inc()
        self._update()
        return True

    def held(self) -> list[tuple[RolloutStage, float]]:
        """Return the known stages, each with the time that is left."""
        now = self._clock.now()
        stages = []
        for service, versions in self._versions_by_service.items():
            stage = versions.stage
            if stage is None:
                continue
            if stage.phase.is_final:
                stages.append((stage, _HELD_SECONDS))
                continue
            left = self._valid_until_by_service[service] - now
            if left > 0:
                stages.append((stage, left))
        return stages

    def stage_of(self, service: str) -> RolloutStage | None:
        """Return the stage or the end that is known of a service."""
        versions = self._versions_by_service.get(service)
        return None if versions is None else versions.stage

    def check(self, now: float) -> UpstreamReport | None:
        """End stages that were not renewed; called every 0.1 s.

        Returns
        -------
        UpstreamReport or None
            Report to send to the followers, None if there is none.
        """
        expired = [
            service
            for service, versions in self._versions_by_service.items()
            if versions.expire(now)
        ]
        for service in expired:
            self._log.record('rollout-stage-expired', now, service=service)
        if expired:
            self._update()
        self._upstream.set_version(self._callee.gate.liveness.version)
        self._close_or_open(now)
        if not self._upstream.is_counting(now):
            return None
        if now - self._reported_at < REPORT_SECONDS:
            return None
        self._reported_at = now
        return self._make_report(now)

    # The upstream beside this node.

    def record_run(
        self, served: ServedCall, result: Answered | NotRun | AnswerLost
    ) -> None:
        """Count how a call at this node's backend server has ended."""
        now = self._clock.now()
        if not served.sent_at or not self._upstream.is_counting(now):
            return
        is_lost = False
        if isinstance(result, Answered):
            has_failed = result.status >= _SERVER_ERROR
        elif isinstance(result, NotRun):
            # Of what did not run, only the server's own refusals are answers.
            has_failed = result.reason == Reason.REJECTED.value
            if not has_failed:
                return
        else:
            # A cancelled run has lasted at least as long as its caller waited.
            is_lost = result.reason != FailureKind.CANCELLED.value
            has_failed = is_lost
        self._upstream.record(
            served.call.route,
            now - served.sent_at,
            has_failed,
            is_lost,
            self._callee.gate.is_cold(now),
            now,
        )

    def _versions_of(self, service: str) -> ServiceVersions:
        versions = self._versions_by_service.get(service)
        if versions is None:
            versions = ServiceVersions(VersionShare(self._credit))
            self._versions_by_service[service] = versions
        return versions

    def _make_report(self, now: float) -> UpstreamReport:
        gate = self._callee.gate
        run = gate.liveness.run
        started_at = None if run is None else run.started_at
        return UpstreamReport(
            self._own.name,
            self._own.incarnation,
            next(self._sequence),
            self._own.service,
            self._upstream.version,
            self._upstream.target,
            -1 if started_at is None else started_at,
            gate.is_open(),
            gate.is_cold(now),
            self._callee.in_flight(),
            self._upstream.is_fused,
            self._upstream.evidence(),
        )

    def _close_or_open(self, now: float) -> None:
        is_closed = self._upstream.is_closed(now)
        if is_closed == self._is_withheld:
            return
        self._is_withheld = is_closed
        self._log.record(
            'rollout-upstream',
            now,
            version=self._upstream.version,
            is_closed=is_closed,
            is_fused=self._upstream.is_fused,
        )
        self._callee.set_withheld(is_closed)

    def _update(self) -> None:
        """Apply what is allowed to the balancer and the links."""
        versions_by_service = self._versions_by_service
        barred = barred_names(versions_by_service.values())
        planned = planned_names(
            versions_by_service, self._position, SUBSET_SIZE
        ) - {self._own.name}
        if planned != self._planned:
            self._planned = planned
            self._links.set_rollout_members(planned)
        left_out = frozenset[str]().union(
            *(versions.left_out() for versions in versions_by_service.values())
        )
        if left_out == self._barred:
            self._balancer.set_barred(barred)
            return
        changed = left_out ^ self._barred
        self._barred = left_out
        self._balancer.set_barred(barred)
        for name in sorted(changed & self._usable_names):
            self._links.set_usable(name, name not in left_out)
