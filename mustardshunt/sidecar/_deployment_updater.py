"""What the node knows of the deployment, spread to the parts that use it."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from mustardshunt.base import Clock
from mustardshunt.caps import CapShares, TokenRequest
from mustardshunt.load_balancing import (
    LoadBalancer,
    Member,
    RetryThrottle,
    WeightedRoundRobin,
)
from mustardshunt.observability import EventLog
from mustardshunt.policy import Policy, PolicyRegistry
from mustardshunt.relay import BackendServerStatusUpdate, TokenGrantFrame
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._peer_link import LinkPool
from mustardshunt.sidecar._ports import OperatorSource, OperatorUpdate
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._sync import OperatorSync
from mustardshunt.upstream import BackendServerStatus, ServerPhase


@dataclass(frozen=True, slots=True)
class UpdatedComponents:
    """The parts that use what the node knows.

    Parameters
    ----------
    registry : PolicyRegistry
        Policy in force.
    balancer : LoadBalancer
        Members and their load.
    split : WeightedRoundRobin
        Division of routes.
    retries : RetryThrottle
        Bound on repeats.
    caps : CapShares
        Rates of organisations.
    callee : Callee
        Calls to the own backend server.
    """

    registry: PolicyRegistry
    balancer: LoadBalancer
    split: WeightedRoundRobin
    retries: RetryThrottle
    caps: CapShares
    callee: Callee


class DeploymentUpdater:
    """Takes news of operators and peers in.

    Parameters
    ----------
    own : Member
        This node.
    parts : UpdatedComponents
        The parts that use what the node knows.
    source : OperatorSource
        Reads the policies that peers pass on.
    log : EventLog
        Takes the changes.
    clock : Clock
        Source of the time.
    on_change : callable
        Called when a policy comes into force or the members change.
    """

    def __init__(
        self,
        own: Member,
        parts: UpdatedComponents,
        source: OperatorSource,
        log: EventLog,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._own = own
        self._parts = parts
        self._source = source
        self._log = log
        self._clock = clock
        self._on_change = on_change
        self._document = b''
        self._revision = -1
        self._sync: OperatorSync | None = None
        self._links: LinkPool | None = None
        self._tokens: RateLimiter | None = None
        self._random = random.Random(own.incarnation)

    def connect(
        self,
        sync: OperatorSync,
        links: LinkPool,
        tokens: RateLimiter,
    ) -> None:
        """Take the parts that are made after this one."""
        self._sync = sync
        self._links = links
        self._tokens = tokens

    def revision(self) -> int:
        """Return the newest change of operators that this node knows."""
        return self._revision

    def policy_document(self) -> tuple[int, bytes]:
        """Return the version and the text of the policy in force."""
        return self._parts.registry.version, self._document

    def apply_operator_update(self, news: OperatorUpdate) -> None:
        """Take what operators have declared."""
        registry = self._parts.registry
        if news.policy is not None:
            self._put_in_force(news.policy, news.document)
        before = registry.evacuated
        for data_centre, revision in news.evacuated:
            registry.evacuate(data_centre, revision)
        for data_centre, revision in news.restored:
            registry.restore(data_centre, revision)
        if news.is_snapshot and news.revision >= self._revision:
            named = {data_centre for data_centre, _ in news.evacuated}
            for data_centre in registry.evacuated - named:
                registry.restore(data_centre, news.revision)
        if registry.evacuated != before:
            self._spread_evacuation(news.revision)
        if news.revision > self._revision:
            self._revision = news.revision
            self._parts.callee.status_publisher.revision = news.revision

    def apply_members(self, by_name: dict[str, Member]) -> None:
        """Take the nodes of the deployment."""
        parts = self._parts
        parts.balancer.set_members(by_name.values())
        parts.retries.set_node_count(len(by_name))
        parts.caps.set_nodes(self._own.name, by_name)
        others = {
            name: member
            for name, member in by_name.items()
            if name != self._own.name and member.service
        }
        if self._links is not None:
            self._links.set_members(others)
        parts.callee.publish_status()
        self._on_change()
        self._log.record(
            'members',
            self._clock.now(),
            count=len(by_name),
        )

    def peer_status(self, name: str, state: BackendServerStatusUpdate) -> None:
        """Take the state of a peer's backend server."""
        view = BackendServerStatus(
            ServerPhase(state.phase),
            state.is_cold,
            state.in_flight,
            state.limit,
            state.cutoff,
            state.hops,
            state.own_cutoff,
        )
        self._parts.balancer.update_status(name, view)

    def peer_lost(self, name: str) -> None:
        """Note that a peer cannot be called."""
        self._parts.balancer.mark_disconnected(name)

    def peer_revision(self, name: str, revision: int) -> None:
        """Take the newest change that a peer knows."""
        if revision <= self._revision or self._sync is None:
            return
        self._sync.request_refresh(revision)
        link = None if self._links is None else self._links.find(name)
        if link is not None:
            link.request_policy(self._parts.registry.version)

    def peer_tokens(self, name: str, grant: TokenGrantFrame) -> None:
        """Take tokens that a peer has given, none included."""
        if self._tokens is not None:
            self._tokens.receive(grant.organisation, name, grant.amount)

    def peer_names(self) -> list[str]:
        """Return the nodes that can be asked for tokens, near ones first."""
        if self._links is None:
            return []
        members = self._links.open_members()
        self._random.shuffle(members)
        own = self._own.data_centre
        members.sort(key=lambda member: member.data_centre != own)
        return [member.name for member in members]

    def request(self, ask: TokenRequest) -> None:
        """Send an ask for tokens to a node."""
        link = None if self._links is None else self._links.find(ask.node)
        if link is not None:
            link.request_tokens(ask.organisation, ask.wanted)

    def peer_policy(self, document: bytes) -> None:
        """Take the policy in force at a peer."""
        policy = self._source.parse(document)
        if policy is not None:
            self._put_in_force(policy, document)

    def _put_in_force(self, policy: Policy, document: bytes) -> None:
        parts = self._parts
        if not parts.registry.accept(policy):
            return
        now = self._clock.now()
        self._document = document
        parts.split.clear()
        parts.caps.set_caps(policy.organisation_by_name, now)
        gate = parts.callee.gate
        gate.set_service(policy.service_by_name.get(self._own.service))
        in_force = parts.registry.active
        if in_force is not None:
            gate.cutoff.set_rank_count(len(in_force.priority_ranking))
        self._log.record(
            'policy',
            now,
            version=policy.version,
            routes=len(policy.route_by_name),
            organisations=len(policy.organisation_by_name),
        )
        self._on_change()
        parts.callee.publish_status()

    def _spread_evacuation(self, revision: int) -> None:
        evacuated = self._parts.registry.evacuated
        self._parts.balancer.set_evacuated(evacuated)
        self._parts.callee.set_evacuated(self._own.data_centre in evacuated)
        self._log.record(
            'evacuation',
            self._clock.now(),
            data_centres=sorted(evacuated),
            revision=revision,
        )
