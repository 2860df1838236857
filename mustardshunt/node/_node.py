"""Starts, runs and stops one node."""

import asyncio
import functools
import signal
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from loguru import logger

from mustardshunt.admission import BackendServerState
from mustardshunt.base import (
    Answer,
    Incarnation,
    MemberRecord,
    MemberState,
    Refusal,
    VmAddress,
)
from mustardshunt.node._background_tasks import (
    BackgroundTasks,
    run_periodically,
)
from mustardshunt.node._callee import Callee
from mustardshunt.node._clock import BootClock
from mustardshunt.node._config_sync import ConfigSync
from mustardshunt.node._confirm_sync import ConfirmSync
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._idempotency import IdempotencyService
from mustardshunt.node._ingress import Ingress
from mustardshunt.node._lifecycle import Lifecycle
from mustardshunt.node._link_handler import NodeLinkHandler
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.node._metrics_server import MetricsServer
from mustardshunt.node._rate_sync import (
    HOLDER_TICK_SECONDS,
    RateSync,
)
from mustardshunt.node._reclaim import Reclaimer
from mustardshunt.node._registration import PeerDiscovery, Registration
from mustardshunt.node._remote import RemoteCalls
from mustardshunt.node._share_table_sync import ShareTableSync
from mustardshunt.observability import NodeMetrics
from mustardshunt.routing import (
    EvacuatedDataCentresChanged,
    MemberUpdated,
    Router,
)
from mustardshunt.settings import NodeSettings
from mustardshunt.sheet import DataCentreState, Sheet, SheetReplica
from mustardshunt.stores import PlatformSession
from mustardshunt.transport import (
    BackendListener,
    CallerServer,
    ChildRequest,
    Heartbeat,
    LinkPool,
)

_CALL_TICK_INTERVAL_SECONDS: Final = 0.1
MEMBER_TICK_INTERVAL_SECONDS: Final = 0.25
VERSION_ANNOUNCE_INTERVAL_SECONDS: Final = 2.0
# During a planned stop, the node serves callers for this time before it closes
# the listener. Meanwhile callers and peers are told that the node is draining.
_DRAIN_NOTICE_SECONDS: Final = 2.0
_SHARE_TRANSFER_TIMEOUT_SECONDS: Final = 5.0
# Interval at which a stopping node checks for calls in flight. Also the time
# for which a stopping server waits until its connections have ended.
_STOP_WAIT_SECONDS: Final = 0.05

_MEMBER_STATE_BY_SERVER: Final = {
    BackendServerState.COLD: MemberState.COLD,
    BackendServerState.READY: MemberState.READY,
    BackendServerState.DRAINING: MemberState.DRAINING,
    BackendServerState.GONE: MemberState.JOINING,
}


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """Components of a node, which ``make_node`` has connected."""

    own: Incarnation
    settings: NodeSettings
    metrics: NodeMetrics
    registry: SheetReplica
    lifecycle: Lifecycle
    background_tasks: BackgroundTasks
    clock: BootClock
    callee: Callee
    crash_monitor: CrashMonitor
    links: LinkPool
    link_handler: NodeLinkHandler
    remote: RemoteCalls
    router: Router
    idempotency: IdempotencyService
    ingress: Ingress
    members: MemberSync
    config: ConfigSync
    confirm: ConfirmSync
    peer_discovery: PeerDiscovery
    rates: RateSync
    share_table_sync: ShareTableSync
    registration: Registration
    reclaimer: Reclaimer
    sessions: tuple[PlatformSession, ...]


class Node:
    """Starts, runs and stops the components of a node.

    Parameters
    ----------
    parts : NodeComponents
        Components of the node, connected with each other.
    """

    def __init__(self, parts: NodeComponents) -> None:
        self._parts = parts
        self._has_changed_members = False
        self._stopped = asyncio.Event()
        limits = parts.settings.limits
        self._caller_server = CallerServer(
            parts.ingress,
            limits.max_body_bytes,
            limits.max_header_bytes,
        )
        self._backend_listener = BackendListener(
            self,
            limits.max_body_bytes,
            limits.max_header_bytes,
        )
        self._metrics_server = MetricsServer(parts.metrics, self)
        parts.config.subscribe(self.apply_sheet)
        parts.members.subscribe(self.handle_member_changed)

    @property
    def is_ready(self) -> bool:
        """Whether the node serves callers and has an active sheet."""
        parts = self._parts
        return parts.lifecycle.is_ready and parts.registry.sheet.version > 0

    async def answer_child(self, incoming: ChildRequest) -> Answer | Refusal:
        """Send a child call of the backend server and return the answer."""
        return await self._parts.ingress.answer_child(incoming)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of this node's backend server.

        The resulting state of this node is published to the peers.
        """
        self._parts.callee.handle_heartbeat(heartbeat)
        self._update_own_state()

    def apply_sheet(self, sheet: Sheet) -> None:
        """Apply a sheet that has become active to the components."""
        parts = self._parts
        evacuated = frozenset(
            name
            for name, state in sheet.state_by_data_centre.items()
            if state is DataCentreState.OUT
        )
        now = parts.clock.now()
        parts.router.handle(EvacuatedDataCentresChanged(evacuated), now)
        parts.rates.apply_sheet(sheet)
        parts.confirm.set_own_version(sheet.version)
        self._update_holders()

    def handle_member_changed(self, record: MemberRecord) -> None:
        """Pass a changed membership record to the components.

        The node stops when the record of this node has the state ``GONE``.
        """
        parts = self._parts
        parts.router.handle(MemberUpdated(record), parts.clock.now())
        is_own = record.incarnation == parts.own
        is_own_gone = is_own and record.state is MemberState.GONE
        if is_own_gone and not parts.lifecycle.is_stopping:
            logger.error(
                'another node has taken over address {} of this node, '
                'incarnation {}: stopping',
                record.address,
                record.incarnation,
            )
            self._stopped.set()
        if not is_own:
            logger.info(
                'node {} at {} of service {!r} is {}',
                record.incarnation,
                record.address,
                record.service,
                record.state,
            )
        if record.state is MemberState.GONE:
            parts.remote.handle_gone(record.incarnation)
        # Many records may change at once. So the nodes that may hold shares are
        # updated only once, at the next tick.
        self._has_changed_members = True

    def refresh_metrics(self) -> None:
        """Set the gauges of the node to their present values."""
        parts = self._parts
        parts.callee.refresh_metrics()
        parts.metrics.config_version.set(parts.registry.sheet.version)
        parts.metrics.config_age.set(parts.config.seconds_since_confirmed)
        parts.metrics.members.set(len(parts.members.list_live()))

    def describe(self) -> Mapping[str, object]:
        """Return a summary of the node's state as JSON values."""
        parts = self._parts
        members = parts.members.list_live()
        return {
            'incarnation': parts.own,
            'data_centre': parts.settings.node.data_centre,
            'state': parts.lifecycle.state,
            'service': parts.callee.service,
            'own_state': parts.members.own.state.value,
            'version': parts.registry.sheet.version,
            'members': len(members),
            'serving': sum(bool(record.service) for record in members),
            'shares': parts.rates.total_share_ppm(),
        }

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        parts = self._parts
        node = parts.settings.node
        parts.lifecycle.join()
        await parts.links.start(parts.link_handler)
        await self._backend_listener.start(
            VmAddress(node.host, node.backend_port),
        )
        await self._metrics_server.start(
            VmAddress(node.host, node.metrics_port),
        )
        await self._caller_server.start(VmAddress(node.host, node.caller_port))
        self._start_background_tasks()
        parts.lifecycle.serve()

    async def stop(self) -> None:
        """Stop the node after the calls in flight have ended.

        Calls that are still in flight after ``drain_seconds`` are aborted.
        """
        await self._drain()
        await self._leave()
        await self._close()

    async def run(self) -> None:
        """Run the node until SIGTERM or SIGINT, then stop the node.

        The node also stops when another node has taken over the same address.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopped.set)
        await self.start()
        await self._stopped.wait()
        await self.stop()

    async def _drain(self) -> None:
        """Refuse calls of peers, then of callers; wait for calls in flight."""
        parts = self._parts
        parts.lifecycle.drain()
        parts.callee.is_draining = True
        self._update_own_state()
        self._update_holders()
        await asyncio.sleep(_DRAIN_NOTICE_SECONDS)
        await self._caller_server.close_listener()
        await self._wait_for_calls(parts.settings.limits.drain_seconds)

    async def _leave(self) -> None:
        """Transfer the shares, deregister, and publish the state ``GONE``."""
        parts = self._parts
        parts.lifecycle.leave()
        await parts.rates.transfer_shares(_SHARE_TRANSFER_TIMEOUT_SECONDS)
        await parts.registration.deregister()
        parts.members.set_state(MemberState.GONE, '')

    async def _close(self) -> None:
        parts = self._parts
        await self._caller_server.stop(_STOP_WAIT_SECONDS)
        await self._backend_listener.stop(_STOP_WAIT_SECONDS)
        await parts.background_tasks.stop()
        await parts.links.stop()
        parts.callee.close()
        await self._metrics_server.stop()
        for session in parts.sessions:
            await session.close()
        parts.lifecycle.stop()

    def _start_background_tasks(self) -> None:
        parts = self._parts
        start = parts.background_tasks.start
        start('link-watch', parts.links.run_liveness_checks)
        start('first-peers', parts.peer_discovery.run)
        start('registration', parts.registration.run)
        start('config-poll', parts.config.run_poll)
        start('config-fetch', parts.config.run_fetch)
        start('confirm', parts.confirm.run)
        start('suspects', parts.crash_monitor.run)
        start('shares-read', parts.share_table_sync.run_read)
        start('shares-table', parts.share_table_sync.run_operations)
        start('wallet', parts.rates.run_token_cache_ticks)
        start('shares-rebalance', parts.rates.run_rebalance)
        start('reclaim', parts.reclaimer.run)
        for name, seconds, action in (
            ('calls', _CALL_TICK_INTERVAL_SECONDS, self._tick_calls),
            ('members', MEMBER_TICK_INTERVAL_SECONDS, self._tick_members),
            ('holder', HOLDER_TICK_SECONDS, parts.rates.tick_holder),
            (
                'announce',
                VERSION_ANNOUNCE_INTERVAL_SECONDS,
                parts.config.announce_version,
            ),
        ):
            start(name, functools.partial(run_periodically, seconds, action))

    async def _wait_for_calls(self, seconds: float) -> None:
        parts = self._parts
        try:
            async with asyncio.timeout(seconds):
                while parts.ingress.in_flight or parts.callee.in_flight:
                    await asyncio.sleep(_STOP_WAIT_SECONDS)
                await parts.idempotency.drain()
        except TimeoutError:
            logger.error(
                'still in flight after {} s: {} requests of callers, {} calls '
                'at the backend server, {} tasks of orders with an '
                'idempotency key; stopping without them',
                seconds,
                parts.ingress.in_flight,
                parts.callee.in_flight,
                parts.idempotency.in_flight,
            )

    def _tick_calls(self) -> None:
        self._parts.callee.tick()
        self._parts.remote.tick()
        self._update_own_state()

    def _tick_members(self) -> None:
        self._parts.members.tick()
        if self._has_changed_members:
            self._update_holders()

    def _update_own_state(self) -> None:
        parts = self._parts
        state = _MEMBER_STATE_BY_SERVER[parts.callee.state]
        if parts.lifecycle.is_stopping:
            state = MemberState.DRAINING
        parts.members.set_state(state, parts.callee.service)

    def _update_holders(self) -> None:
        parts = self._parts
        self._has_changed_members = False
        parts.rates.update_holders(
            parts.members.list_live(),
            parts.registry.sheet,
            parts.lifecycle.is_stopping,
        )
