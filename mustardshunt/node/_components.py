"""Groups of the components of a node, in the order of their creation."""

import random
from dataclasses import dataclass

from mustardshunt.base import (
    Incarnation,
    VmAddress,
)
from mustardshunt.calls import CallTable
from mustardshunt.node._callee import Callee
from mustardshunt.node._clock import BootClock
from mustardshunt.node._config_sync import (
    ConfigSync,
)
from mustardshunt.node._confirm_sync import ConfirmSync
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._dispatcher import Dispatcher
from mustardshunt.node._idempotency import IdempotencyService
from mustardshunt.node._lifecycle import Lifecycle
from mustardshunt.node._link_handler import NodeLinkHandler
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.node._peer_sender import PeerSender
from mustardshunt.node._rate_limiter import RateLimiter
from mustardshunt.node._rate_sync import RateSync
from mustardshunt.node._reclaim import Reclaimer
from mustardshunt.node._registration import PeerDiscovery, Registration
from mustardshunt.node._remote import RemoteCalls
from mustardshunt.node._route_thresholds import RouteSheddingThresholds
from mustardshunt.node._share_table_sync import ShareTableSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.routing import Router
from mustardshunt.settings import NodeSettings
from mustardshunt.sheet import SheetReplica
from mustardshunt.stores import (
    ConfigStore,
    HttpTableService,
    PlatformSession,
    VmRegistry,
)
from mustardshunt.transport import LinkPool


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Identity, settings, clock and other objects that all components use."""

    own: Incarnation
    settings: NodeSettings
    metrics: NodeMetrics
    registry: SheetReplica
    lifecycle: Lifecycle
    clock: BootClock
    random: random.Random

    @property
    def data_centre(self) -> str:
        return self.settings.node.data_centre

    @property
    def address(self) -> VmAddress:
        node = self.settings.node
        return VmAddress(node.host, node.peer_port)


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """Clients of the platform's table service and object store."""

    table: HttpTableService
    config_store: ConfigStore
    vm_registry: VmRegistry
    sessions: tuple[PlatformSession, ...]


@dataclass(frozen=True, slots=True)
class CallComponents:
    """Components that admit, route, send and serve calls."""

    call_table: CallTable
    callee: Callee
    crash_monitor: CrashMonitor
    thresholds: RouteSheddingThresholds
    links: LinkPool
    link_handler: NodeLinkHandler
    remote: RemoteCalls
    router: Router
    dispatcher: Dispatcher
    idempotency: IdempotencyService


@dataclass(frozen=True, slots=True)
class FleetComponents:
    """Components for membership, peer discovery and configuration."""

    members: MemberSync
    sender: PeerSender
    config: ConfigSync
    confirm: ConfirmSync
    peer_discovery: PeerDiscovery


@dataclass(frozen=True, slots=True)
class RateComponents:
    """Components that limit rates and keep the shares and their leases."""

    rate_limiter: RateLimiter
    rates: RateSync
    share_table_sync: ShareTableSync
    registration: Registration
    reclaimer: Reclaimer
