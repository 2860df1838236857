"""Components of a node that follow the platform's changes."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from mustardshunt.base import Clock, RandomSource
from mustardshunt.load_balancing import Member
from mustardshunt.membership import CheckTurns, FollowerRole
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._change_check import ChangeCheck
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._crash_relay import CrashRelay
from mustardshunt.sidecar._deployment_relay import DeploymentRelay
from mustardshunt.sidecar._deployment_updater import DeploymentUpdater
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._platform_access import (
    FollowGate,
    PlatformAvailability,
)
from mustardshunt.sidecar._platform_adapter import PlatformAdapter
from mustardshunt.sidecar._sync import MemberSync, OperatorSync
from mustardshunt.sidecar._verdict_records import VerdictRecords


@dataclass(frozen=True, slots=True)
class FollowedComponents:
    """Components that use what is read from the platform.

    Parameters
    ----------
    updater : DeploymentUpdater
        Applies changes of operators and members.
    links : LinkManager
        Links to the other nodes.
    crashes : CrashMonitor
        Knows the requests that crash backend servers.
    apply_members : callable
        Called with the members by name when they have changed.
    allow_spending : callable
        Called when the entry of this node is known to be the only one.
    """

    updater: DeploymentUpdater
    links: LinkManager
    crashes: CrashMonitor
    apply_members: Callable[[dict[str, Member]], None]
    allow_spending: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Following:
    """Components that read the platform's changes and tell other nodes.

    Parameters
    ----------
    gate : FollowGate
        Open while this node reads the platform's changes itself.
    relay : DeploymentRelay
        Exchanges the state of the deployment with other nodes.
    crash_relay : CrashRelay
        Exchanges crash reports and verdicts with other nodes.
    verdict_records : VerdictRecords
        Verdicts that are kept on the platform.
    operator_sync : OperatorSync
        Follows the changes of operators.
    member_sync : MemberSync
        Follows the entries of nodes, and registers this node.
    turns : CheckTurns
        Which node checks for changes that nobody has reported.
    change_check : ChangeCheck
        Checks for changes that nobody has reported.
    """

    gate: FollowGate
    relay: DeploymentRelay
    crash_relay: CrashRelay
    verdict_records: VerdictRecords
    operator_sync: OperatorSync
    member_sync: MemberSync
    turns: CheckTurns
    change_check: ChangeCheck

    def set_members(self, by_name: dict[str, Member]) -> None:
        """Replace the members that are known."""
        self.relay.set_members(by_name)
        self.turns.set_members(by_name)
        self.crash_relay.set_members(by_name)


def make_following(
    own: Member,
    adapter: PlatformAdapter,
    components: FollowedComponents,
    random: RandomSource,
    log: EventLog,
    metrics: SidecarMetrics,
    clock: Clock,
) -> Following:
    """Make the components that follow the platform's changes.

    Parameters
    ----------
    own : Member
        Entry of this node.
    adapter : PlatformAdapter
        Platform-specific parts.
    components : FollowedComponents
        Components that use what is read.
    random : RandomSource
        Source of the jitter in pauses.
    log : EventLog
        Log of the changes.
    metrics : SidecarMetrics
        Metrics of the node.
    clock : Clock
        Source of the time.
    """
    gate = FollowGate()
    updater = components.updater
    links = components.links
    relay = DeploymentRelay(
        own,
        FollowerRole(own.name, random, clock.now()),
        gate,
        adapter.operators,
        updater,
        links,
        log,
        clock,
    )
    crash_relay = CrashRelay(own, components.crashes, relay, links, clock)
    verdict_records = VerdictRecords(
        adapter.verdicts,
        components.crashes.hear_verdict,
        lambda: gate.is_open,
        PlatformAvailability('verdicts', log, metrics),
        random,
        clock,
        time.time,
    )
    operator_sync = OperatorSync(
        adapter.operators,
        updater.apply_operator_update,
        random,
        PlatformAvailability('operators', log, metrics),
        gate,
        relay.report_operators,
    )
    member_sync = MemberSync(
        adapter.directory,
        own,
        components.apply_members,
        random,
        components.allow_spending,
        PlatformAvailability('members', log, metrics),
        gate,
        relay.report_members,
        verdict_records.load,
    )
    relay.connect(operator_sync, member_sync)
    turns = CheckTurns(own.name)
    change_check = ChangeCheck(
        own.name,
        turns,
        operator_sync,
        member_sync,
        relay,
        links,
        PlatformAvailability('checks', log, metrics),
        time.time,
    )
    return Following(
        gate,
        relay,
        crash_relay,
        verdict_records,
        operator_sync,
        member_sync,
        turns,
        change_check,
    )
