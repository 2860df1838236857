"""Makes the components of a node and connects them.

Each group of components uses only components of earlier groups.
"""

import random
import secrets
from pathlib import Path
from typing import Final

from mustardshunt.admission import GateSettings, make_gate
from mustardshunt.base import (
    ErrorCode,
    Incarnation,
    MemberRecord,
    MemberState,
    MustardshuntError,
)
from mustardshunt.calls import make_call_table, make_retry_throttle
from mustardshunt.membership import make_address_search, make_membership
from mustardshunt.node._background_tasks import BackgroundTasks
from mustardshunt.node._callee import Callee
from mustardshunt.node._clock import BootClock, read_boot_id
from mustardshunt.node._components import (
    CallComponents,
    FleetComponents,
    NodeContext,
    PlatformClients,
    RateComponents,
)
from mustardshunt.node._config_sync import (
    ConfigSync,
    SectionFrame,
    SectionRequestFrame,
)
from mustardshunt.node._confirm_sync import ConfirmSync, VersionFrame
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._dispatcher import Dispatcher
from mustardshunt.node._frame_numbers import make_codec
from mustardshunt.node._idempotency import IdempotencyService
from mustardshunt.node._ingress import Ingress
from mustardshunt.node._lifecycle import Lifecycle
from mustardshunt.node._link_handler import NodeLinkHandler
from mustardshunt.node._member_sync import MembersFrame, MemberSync
from mustardshunt.node._node import Node, NodeComponents
from mustardshunt.node._peer_sender import PeerSender
from mustardshunt.node._rate_limiter import RateLimiter
from mustardshunt.node._rate_sync import RateSync, ShareRowsRequestFrame
from mustardshunt.node._reclaim import Reclaimer, VmRows
from mustardshunt.node._registration import PeerDiscovery, Registration
from mustardshunt.node._remote import RemoteCalls
from mustardshunt.node._route_thresholds import RouteSheddingThresholds
from mustardshunt.node._share_table_sync import ShareTableSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.outcomes import make_call_tracker, make_outcome_log
from mustardshunt.quarantine import CrashReport
from mustardshunt.rate import (
    HolderGone,
    LeaseLost,
    LeaseRenewed,
    ShareRow,
    TokenGrant,
    TokenRequest,
    make_holder,
    make_token_cache,
)
from mustardshunt.routing import RouteDependencies, make_router
from mustardshunt.settings import NodeSettings
from mustardshunt.sheet import SheetHead, make_sheet_replica
from mustardshunt.stores import (
    ConfigStore,
    ConfirmationStore,
    HttpObjectStore,
    HttpTableService,
    IdempotencyStore,
    ShareRowStore,
    VmRegistry,
    make_group_commit_table,
    make_platform_session,
)
from mustardshunt.transport import Link, LinkParameters, LinkPool

_INCARNATION_BYTES: Final = 8
# Largest frame, as a multiple of the largest body. A frame holds the headers of
# a call in addition to the body.
_FRAME_BYTES_PER_BODY_BYTE: Final = 4


def make_node(settings: NodeSettings) -> Node:
    """Make a node from its settings, without starting the node.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.

    Returns
    -------
    Node
        Node that is ready to start.

    Raises
    ------
    MustardshuntError
        The file of the secret that all nodes share cannot be read or is
        empty.
    """
    base = _make_base(settings)
    platform = _make_platform(settings)
    calls = _make_calls(base, platform)
    fleet = _make_fleet(base, platform, calls)
    rates = _make_rates(base, platform, fleet)
    ingress = Ingress(
        base.registry,
        rates.rate_limiter,
        calls.dispatcher,
        calls.idempotency,
        calls.call_table,
        calls.thresholds,
        base.lifecycle,
        base.metrics,
        base.clock,
    )
    _subscribe(calls.link_handler, fleet, rates)
    calls.crash_monitor.connect(fleet.sender.broadcast)
    calls.link_handler.subscribe(CrashReport, calls.crash_monitor.handle_report)
    return Node(
        NodeComponents(
            own=base.own,
            settings=settings,
            metrics=base.metrics,
            registry=base.registry,
            lifecycle=base.lifecycle,
            background_tasks=BackgroundTasks(base.metrics),
            clock=base.clock,
            callee=calls.callee,
            crash_monitor=calls.crash_monitor,
            links=calls.links,
            link_handler=calls.link_handler,
            remote=calls.remote,
            router=calls.router,
            idempotency=calls.idempotency,
            ingress=ingress,
            members=fleet.members,
            config=fleet.config,
            confirm=fleet.confirm,
            peer_discovery=fleet.peer_discovery,
            rates=rates.rates,
            share_table_sync=rates.share_table_sync,
            registration=rates.registration,
            reclaimer=rates.reclaimer,
            sessions=platform.sessions,
        ),
    )


def _make_base(settings: NodeSettings) -> NodeContext:
    registry = make_sheet_replica()
    data_centre = settings.node.data_centre
    return NodeContext(
        Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
        settings,
        NodeMetrics(),
        registry,
        Lifecycle(lambda: registry.sheet.is_out_of_service(data_centre)),
        BootClock(),
        random.Random(),
    )


def _make_platform(settings: NodeSettings) -> PlatformClients:
    table_session = make_platform_session(settings.platform.table_url)
    object_session = make_platform_session(settings.platform.object_url)
    table = HttpTableService(table_session)
    return PlatformClients(
        table,
        ConfigStore(table, HttpObjectStore(object_session)),
        VmRegistry(table),
        (table_session, object_session),
    )


def _make_calls(base: NodeContext, platform: PlatformClients) -> CallComponents:
    limits = base.settings.limits
    call_table = make_call_table()
    crash_monitor = CrashMonitor(base.own, base.metrics, base.clock)
    router = make_router(base.own, base.data_centre)
    thresholds = RouteSheddingThresholds(
        RouteDependencies(), router, base.registry, base.clock
    )
    callee = Callee(
        base.own,
        make_gate(GateSettings(max_limit=limits.max_connections)),
        call_table,
        make_outcome_log(),
        crash_monitor,
        thresholds,
        base.metrics,
        base.clock,
        limits.max_body_bytes,
    )
    links = LinkPool(
        LinkParameters(
            base.own,
            base.data_centre,
            base.address,
            _read_secret(base.settings.node.secret_file),
            _FRAME_BYTES_PER_BODY_BYTE * limits.max_body_bytes,
        ),
        make_codec(),
        base.clock,
    )
    remote = RemoteCalls(links, make_call_tracker(), base.clock)
    dispatcher = Dispatcher(
        base.own,
        callee,
        remote,
        router,
        make_retry_throttle(),
        base.metrics,
        base.clock,
        base.random,
    )
    idempotency = IdempotencyService(
        IdempotencyStore(make_group_commit_table(platform.table)),
        dispatcher,
        base.metrics,
        base.clock,
    )
    link_handler = NodeLinkHandler(
        base.own, callee, remote, router, base.metrics, base.clock
    )
    return CallComponents(
        call_table,
        callee,
        crash_monitor,
        thresholds,
        links,
        link_handler,
        remote,
        router,
        dispatcher,
        idempotency,
    )


def _make_fleet(
    base: NodeContext, platform: PlatformClients, calls: CallComponents
) -> FleetComponents:
    record = MemberRecord(
        base.own,
        1,
        base.data_centre,
        '',
        MemberState.JOINING,
        base.address,
    )
    members = MemberSync(
        make_membership(record, base.random),
        calls.links,
        base.clock,
    )
    sender = PeerSender(calls.links, members)
    config = ConfigSync(
        base.registry,
        platform.config_store,
        sender.send,
        sender.broadcast,
        members.list_neighbours,
        base.metrics,
        base.clock,
        base.random,
    )
    confirm = ConfirmSync(
        base.own,
        base.data_centre,
        members.list_live_in_data_centre,
        sender.broadcast_in_data_centre,
        ConfirmationStore(platform.table),
        base.metrics,
    )
    network = str(base.settings.data_centre.network)
    peer_discovery = PeerDiscovery(
        platform.vm_registry,
        make_address_search(network, base.address, base.random),
        members,
        calls.links,
        base.metrics,
    )
    return FleetComponents(members, sender, config, confirm, peer_discovery)


def _make_rates(
    base: NodeContext, platform: PlatformClients, fleet: FleetComponents
) -> RateComponents:
    holder = make_holder(base.own)
    rate_limiter = RateLimiter(
        make_token_cache(base.own, base.data_centre),
        base.clock,
    )
    rates = RateSync(
        base.own,
        holder,
        rate_limiter,
        fleet.sender,
        base.clock,
    )
    share_table = ShareTableSync(
        ShareRowStore(platform.table, base.own),
        rates,
        base.metrics,
        base.random,
    )
    rate_limiter.connect(rates.send_token_request)
    boot_id = read_boot_id()
    registration = Registration(
        platform.vm_registry,
        fleet.members,
        boot_id,
        lambda sent_at: rates.handle(LeaseRenewed(sent_at)),
        lambda: rates.handle(LeaseLost()),
        base.metrics,
        base.clock,
    )
    reclaimer = Reclaimer(
        VmRows(platform.vm_registry, platform.config_store),
        rates,
        fleet.members,
        fleet.confirm,
        fleet.sender,
        boot_id,
        base.metrics,
        base.clock,
    )
    return RateComponents(
        rate_limiter, rates, share_table, registration, reclaimer
    )


def _subscribe(
    link_handler: NodeLinkHandler, fleet: FleetComponents, parts: RateComponents
) -> None:
    rates = parts.rates
    link_handler.subscribe(MembersFrame, fleet.members.handle_records)
    link_handler.subscribe(SheetHead, fleet.config.handle_head)
    link_handler.subscribe(
        SectionRequestFrame, fleet.config.handle_section_request
    )
    link_handler.subscribe(SectionFrame, fleet.config.handle_section)
    link_handler.subscribe(VersionFrame, fleet.confirm.handle_versions)
    link_handler.subscribe(TokenRequest, rates.handle_token_request)
    link_handler.subscribe(TokenGrant, rates.handle_grant)
    link_handler.subscribe(ShareRow, rates.handle_row)
    link_handler.subscribe(ShareRowsRequestFrame, rates.handle_rows_request)
    link_handler.subscribe(HolderGone, parts.reclaimer.handle_gone)
    link_handler.subscribe_links(
        fleet.members.handle_open, fleet.members.handle_close
    )
    for handle_open in (
        fleet.config.handle_open,
        fleet.confirm.handle_open,
        rates.handle_open,
    ):
        link_handler.subscribe_links(handle_open, _ignore)


def _ignore(_: Link) -> None:
    """Do nothing when a link closes."""


def _read_secret(file: str) -> bytes:
    try:
        secret = Path(file).read_bytes().strip()
    except OSError as error:
        raise MustardshuntError(
            ErrorCode.BAD_SETTINGS,
            f'[node] secret_file: cannot read the secret: {error}',
        ) from error
    if secret:
        return secret
    raise MustardshuntError(
        ErrorCode.BAD_SETTINGS,
        f'[node] secret_file: expected a secret, but {file} is empty',
    )
