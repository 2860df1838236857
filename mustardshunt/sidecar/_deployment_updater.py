"""Applies updates of the deployment to the components of the node."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import NO_REVISION, Clock, Revision
from mustardshunt.caps import CapShares, TokenRequest
from mustardshunt.load_balancing import (
    KnownLimits,
    LoadBalancer,
    Member,
    WeightedRoundRobin,
)
from mustardshunt.observability import EventLog
from mustardshunt.policy import Policy, PolicyRegistry
from mustardshunt.relay import (
    BackendServerStatusUpdate,
    OperatorState,
    ServerLeaving,
    ServerLimit,
    TokenGrantFrame,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._deployment_codec import encode_evacuated
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._ports import OperatorUpdate
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._retry_budget import make_node_caps
from mustardshunt.sidecar._rollout_ports import MemberVersions
from mustardshunt.sidecar._server_run_codec import decode_limit, decode_run
from mustardshunt.sidecar._settings import BoundsSection
from mustardshunt.upstream import BackendServerStatus, ServerPhase

_MS_PER_SECOND: Final = 1000.0


@dataclass(frozen=True, slots=True)
class UpdatedComponents:
    """Components to which updates are applied.

    Parameters
    ----------
    registry : PolicyRegistry
        Active policy and evacuated data centres.
    balancer : LoadBalancer
        Members and their load.
    split : WeightedRoundRobin
        Divides the requests of a route among services.
    caps : CapShares
        This node's shares of the rates of organisations and of the retries.
    callee : Callee
        Admits calls to the backend server beside this node.
    """

    registry: PolicyRegistry
    balancer: LoadBalancer
    split: WeightedRoundRobin
    caps: CapShares
    callee: Callee


class DeploymentUpdater:
    """Applies updates from operators, the member directory and peers.

    Also sends token requests to peers.

    Parameters
    ----------
    own : Member
        Directory entry of this node.
    components : UpdatedComponents
        Components to which updates are applied.
    bounds : BoundsSection
        Limits that hold for all nodes together.
    log : EventLog
        Log of applied changes.
    clock : Clock
        Source of the time.
    on_change : callable
        Called when a policy becomes active or the members change.
    """

    def __init__(
        self,
        own: Member,
        components: UpdatedComponents,
        bounds: BoundsSection,
        log: EventLog,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._own = own
        self._components = components
        self._bounds = bounds
        self._log = log
        self._clock = clock
        self._on_change = on_change
        self._document = b''
        self._revision = NO_REVISION
        self._newest_change = NO_REVISION
        # Version of the policy that the platform held when it was last read.
        self._platform_version: int | None = None
        self._known_limits = KnownLimits()
        self._links: LinkManager | None = None
        self._rate_limiter: RateLimiter | None = None
        self.versions: MemberVersions | None = None

    def connect(
        self,
        links: LinkManager,
        rate_limiter: RateLimiter,
    ) -> None:
        """Set the components that are created after this updater."""
        self._links = links
        self._rate_limiter = rate_limiter

    @property
    def is_ahead(self) -> bool:
        """Whether the platform is known to hold an older policy.

        What peers send tells nothing of what the platform holds.
        """
        version = self._platform_version
        return version is not None and version < (
            self._components.registry.version
        )

    def operator_state(self) -> OperatorState:
        """Return the policy and the evacuations for a peer."""
        registry = self._components.registry
        return OperatorState(
            self._revision,
            self._newest_change,
            self._document,
            encode_evacuated(registry.stored_evacuations.items()),
        )

    def apply_operator_update(
        self, update: OperatorUpdate, is_from_platform: bool
    ) -> Revision:
        """Apply a policy and evacuations that operators have declared.

        Parameters
        ----------
        update : OperatorUpdate
            What has been declared.
        is_from_platform : bool
            Whether the platform has sent the update, and not a peer.

        Returns
        -------
        Revision
            Revision of the newest change of operators that is known now.
        """
        registry = self._components.registry
        if update.policy is not None:
            self._activate_policy(update.policy, update.document)
            if is_from_platform:
                self._platform_version = update.policy.version
        before = registry.evacuated
        if update.is_snapshot and update.revision >= self._revision:
            registry.apply_evacuations(update.revision, update.evacuated)
        else:
            for data_centre, revision in update.evacuated:
                registry.evacuate(data_centre, revision)
        for data_centre, revision in update.restored:
            registry.restore(data_centre, revision)
        self._log_era(update.revision)
        self._revision = max(self._revision, update.revision)
        newest_change = update.newest_change
        if registry.evacuated != before:
            self._apply_evacuation()
            if update.is_snapshot:
                # The end of an evacuation has no entry in a snapshot.
                newest_change = update.revision
        if newest_change > self._newest_change:
            self._newest_change = newest_change
            callee = self._components.callee
            callee.status_publisher.revision = newest_change
            # The nodes that call this one learn of the change at once.
            callee.publish_status()
        return self._newest_change

    def set_bounds(self, bounds: BoundsSection) -> None:
        """Use other limits that hold for all nodes together."""
        self._bounds = bounds
        active_policy = self._components.registry.active
        if active_policy is not None:
            self._set_caps(active_policy.policy)

    def check(self, now: float) -> None:
        """End evacuations that were not written again; called every 0.1 s."""
        if self._components.registry.end_hold(now):
            self._apply_evacuation()

    def apply_members(self, by_name: dict[str, Member]) -> None:
        """Replace the members that this node knows by the members given."""
        components = self._components
        components.balancer.set_members(by_name.values())
        self._known_limits.set_members(by_name)
        components.caps.set_nodes(
            self._own.name,
            {name: member.data_centre for name, member in by_name.items()},
        )
        if self._links is not None:
            self._links.set_members(by_name)
        self._on_change()
        self._log.record(
            'members',
            self._clock.now(),
            count=len(by_name),
        )

    def peer_status(self, name: str, update: BackendServerStatusUpdate) -> None:
        """Update the load balancer with the status of a peer."""
        status = BackendServerStatus(
            ServerPhase(update.phase),
            update.is_cold,
            update.in_flight,
            update.limit,
            update.cutoff,
            update.hops,
            update.own_cutoff,
            decode_run(update.instance, update.started_at),
            update.is_leaving,
            decode_limit(update.request_limit),
            update.limit_utilisation,
            update.version,
            update.mean_run_ms / _MS_PER_SECOND,
            update.mean_run_route,
        )
        forgotten_rate = self._known_limits.record_status(
            name, update.incarnation, status
        )
        balancer = self._components.balancer
        balancer.update_status(name, status)
        if self._links is None:
            return
        is_left_out = balancer.knows_leaving(status)
        is_usable = status.phase is ServerPhase.READY and not is_left_out
        if self.versions is not None:
            is_usable = self.versions.record_status(name, status, is_usable)
        self._links.set_usable(name, is_usable)
        link = self._links.find(name)
        if link is None:
            return
        # These frames reach a restarted node before the next call.
        if is_left_out:
            link.send(ServerLeaving(update.instance, update.started_at))
        if forgotten_rate is not None:
            link.send(
                ServerLimit(update.instance, update.started_at, forgotten_rate)
            )

    def peer_lost(self, name: str) -> None:
        """Exclude a peer from load balancing until its link is open again."""
        self._components.balancer.mark_disconnected(name)
        if self.versions is not None:
            self.versions.record_lost(name)
        if self._links is not None:
            self._links.set_usable(name, is_usable=False)

    def peer_tokens(self, name: str, grant: TokenGrantFrame) -> None:
        """Add the tokens, possibly none, that a peer has granted."""
        if self._rate_limiter is not None:
            self._rate_limiter.receive(grant.organisation, name, grant.amount)

    def reachable_first(self, names: Collection[str]) -> list[str]:
        """Return nodes in the given order, those with open links first.

        A link to the first node is opened if there is none, since the next
        requests go there.
        """
        links = self._links
        if links is None or not names:
            return []
        links.open(next(iter(names)))
        return sorted(names, key=lambda name: not links.is_open(name))

    def request(self, token_request: TokenRequest) -> None:
        """Send a token request to the node named in the request."""
        link = (
            None
            if self._links is None
            else self._links.open(token_request.node)
        )
        if link is not None:
            link.request_tokens(token_request.cap_name, token_request.wanted)

    def return_token(self, organisation: str, node: str) -> None:
        """Send a token that is not needed back to a node with a share."""
        link = None if self._links is None else self._links.find(node)
        if link is not None:
            link.send(TokenGrantFrame(organisation, 1))

    def _activate_policy(self, policy: Policy, document: bytes) -> None:
        components = self._components
        if not components.registry.accept(policy):
            return
        now = self._clock.now()
        self._document = document
        components.split.clear()
        self._set_caps(policy)
        gate = components.callee.gate
        gate.set_service(policy.service_by_name.get(self._own.service))
        active_policy = components.registry.active
        if active_policy is not None:
            gate.cutoff.set_rank_count(len(active_policy.priority_ranking))
        self._log.record(
            'policy',
            now,
            version=policy.version,
            routes=len(policy.route_by_name),
            organisations=len(policy.organisation_by_name),
        )
        self._on_change()
        components.callee.publish_status()

    def _set_caps(self, policy: Policy) -> None:
        caps = make_node_caps(policy, self._bounds)
        self._components.caps.set_caps(caps, self._clock.now())

    def _log_era(self, revision: Revision) -> None:
        if not NO_REVISION.era < self._revision.era < revision.era:
            return
        registry = self._components.registry
        self._log.record(
            'platform-restored',
            self._clock.now(),
            era=revision.era,
            former_era=self._revision.era,
            revision=revision.number,
            former_revision=self._revision.number,
            policy=registry.version,
            is_ahead=self.is_ahead,
            data_centres=sorted(registry.evacuated),
        )

    def _apply_evacuation(self) -> None:
        evacuated = self._components.registry.evacuated
        self._components.balancer.set_evacuated(evacuated)
        if self._links is not None:
            self._links.set_evacuated(evacuated)
        self._components.callee.set_evacuated(
            self._own.data_centre in evacuated
        )
        self._log.record(
            'evacuation',
            self._clock.now(),
            data_centres=sorted(evacuated),
            revision=self._revision.number,
            era=self._revision.era,
        )
