"""Components of a node that take part in rollouts."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Clock, RandomSource
from mustardshunt.load_balancing import LoadBalancer, Member
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.rollouts import STAGE_SECONDS, RolloutBounds
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._crash_relay import Followers
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._platform_access import PlatformAvailability
from mustardshunt.sidecar._rollout_decider import (
    DeciderComponents,
    RolloutDecider,
)
from mustardshunt.sidecar._rollout_node import RolloutNode
from mustardshunt.sidecar._rollout_records import RolloutDirectory
from mustardshunt.sidecar._rollout_relay import RolloutRelay
from mustardshunt.sidecar._settings import BoundsSection

# Time for which a stage may be used without a newer one, at most as a part of
# the time within which a bad version must get no more requests. A decider tells
# its stage several times in it.
STAGE_VALID_SECONDS: Final = 2.0
STAGE_VALID_PART: Final = 0.4


@dataclass(frozen=True, slots=True)
class Rollouts:
    """Components of a node that take part in rollouts.

    Parameters
    ----------
    node : RolloutNode
        Holds the stages, and keeps to them.
    relay : RolloutRelay
        Exchanges stages and reports with other nodes.
    decider : RolloutDecider
        Leads rollouts while it is this node's turn.
    """

    node: RolloutNode
    relay: RolloutRelay
    decider: RolloutDecider

    def set_members(self, by_name: dict[str, Member]) -> None:
        """Replace the members that are known."""
        self.node.set_members(by_name)
        self.relay.set_members(by_name)

    def check(self, now: float) -> None:
        """Lead rollouts, end stages, report; called every 0.1 s."""
        self.decider.check(now)
        self.relay.check(now)
        report = self.node.check(now)
        if report is not None:
            self.relay.send_report(report)


@dataclass(frozen=True, slots=True)
class RolloutComponents:
    """Components that rollouts use.

    Parameters
    ----------
    balancer : LoadBalancer
        Chooses the members for calls.
    links : LinkManager
        Links to the other nodes.
    callee : Callee
        Runs the calls at this node's backend server.
    registry : PolicyRegistry
        Names the services.
    followers : Followers
        Knows whether this node follows, and its listeners.
    """

    balancer: LoadBalancer
    links: LinkManager
    callee: Callee
    registry: PolicyRegistry
    followers: Followers


def make_rollouts(
    own: Member,
    bounds: BoundsSection,
    directory: RolloutDirectory | None,
    components: RolloutComponents,
    random: RandomSource,
    log: EventLog,
    metrics: SidecarMetrics,
    clock: Clock,
    time_of_day: Callable[[], float] = time.time,
) -> Rollouts | None:
    """Make the components, or return None if the settings do not enable them.

    Parameters
    ----------
    own : Member
        Entry of this node.
    bounds : BoundsSection
        Bounds on the requests that a bad version may get.
    directory : RolloutDirectory or None
        Keeps the states of rollouts, None if the platform has none.
    components : RolloutComponents
        Components that rollouts use.
    random : RandomSource
        Source of the jitter in pauses.
    log : EventLog
        Log of orders, stages and verdicts.
    metrics : SidecarMetrics
        Metrics of the node.
    clock : Clock
        Source of the monotonic time.
    time_of_day : callable, default=time.time
        Returns the seconds since the epoch.
    """
    if not bounds.rollout_share or directory is None:
        return None
    rollout_bounds = RolloutBounds(
        bounds.rollout_share, bounds.rollout_slack, bounds.rollback
    )
    followers = components.followers
    node = RolloutNode(
        own,
        rollout_bounds,
        components.balancer,
        components.links,
        components.callee,
        log,
        metrics,
        clock,
    )
    valid_seconds = max(
        2 * STAGE_SECONDS,
        min(STAGE_VALID_SECONDS, STAGE_VALID_PART * bounds.rollback),
    )
    relay = RolloutRelay(
        own, followers, components.links, node, valid_seconds, clock
    )
    decider = RolloutDecider(
        own,
        rollout_bounds,
        DeciderComponents(
            directory,
            lambda: followers.is_following,
            node,
            relay,
            components.registry,
            PlatformAvailability('rollouts', log, metrics),
        ),
        random,
        log,
        clock,
        time_of_day,
    )
    relay.connect(decider.hear_stage, decider.hear_report)
    components.callee.rollout = node
    return Rollouts(node, relay, decider)
