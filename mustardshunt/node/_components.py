"""Groups of the parts of a node, in the order in which they are made."""

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
from mustardshunt.node._dispatcher import Dispatcher
from mustardshunt.node._lifecycle import Lifecycle
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.node._orders import Orders
from mustardshunt.node._peer_sender import PeerSender
from mustardshunt.node._peers import Peers
from mustardshunt.node._rate_sync import RateSync
from mustardshunt.node._reclaim import Reclaimer
from mustardshunt.node._registration import FirstPeers, Registration
from mustardshunt.node._remote import RemoteCalls
from mustardshunt.node._route_levels import RouteLevels
from mustardshunt.node._share_table import ShareTable
from mustardshunt.node._suspect_watch import SuspectWatch
from mustardshunt.node._tokens import TokenSource
from mustardshunt.observability import NodeMetrics
from mustardshunt.routing import Router
from mustardshunt.settings import NodeSettings
from mustardshunt.sheet import Registry
from mustardshunt.stores import (
    ConfigStore,
    HttpTableService,
    PlatformSession,
    VmRegistry,
)
from mustardshunt.transport import LinkPool


@dataclass(frozen=True, slots=True)
class NodeBase:
    """What every part needs."""

    own: Incarnation
    settings: NodeSettings
    metrics: NodeMetrics
    registry: Registry
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
class PlatformParts:
    """Ways to the platform."""

    table: HttpTableService
    config_store: ConfigStore
    vm_registry: VmRegistry
    sessions: tuple[PlatformSession, ...]


@dataclass(frozen=True, slots=True)
class CallParts:
    """Ways of calls."""

    call_table: CallTable
    callee: Callee
    suspects: SuspectWatch
    levels: RouteLevels
    links: LinkPool
    peers: Peers
    remote: RemoteCalls
    router: Router
    dispatcher: Dispatcher
    orders: Orders


@dataclass(frozen=True, slots=True)
class FleetParts:
    """Ways to the other nodes."""

    members: MemberSync
    sender: PeerSender
    config: ConfigSync
    confirm: ConfirmSync
    first_peers: FirstPeers


@dataclass(frozen=True, slots=True)
class RateParts:
    """Tokens of the organisations."""

    tokens: TokenSource
    rates: RateSync
    share_table: ShareTable
    registration: Registration
    reclaimer: Reclaimer
