"""Assembly, start and stop of one sidecar process."""

import asyncio
import random
import secrets
import signal
from typing import Final

from mustardshunt.caps import JOIN_SECONDS, CapShares
from mustardshunt.connections import make_connection_limits
from mustardshunt.load_balancing import (
    LinkPlan,
    LoadBalancer,
    Member,
    WeightedRoundRobin,
)
from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.observability import EventLog, make_event_log
from mustardshunt.policy import PolicyRegistry, RequestLimits
from mustardshunt.relay import (
    BackendConnectionPool,
    HttpServer,
    descriptor_limit,
)
from mustardshunt.sidecar._background_tasks import BackgroundTasks
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._chain_admission import ChainAdmission
from mustardshunt.sidecar._connection_tables import (
    ConnectionTables,
    LoopErrorHandler,
)
from mustardshunt.sidecar._control import (
    HeartbeatHandler,
    MetricsHandler,
    ReadyHandler,
)
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._deployment_updater import (
    DeploymentUpdater,
    UpdatedComponents,
)
from mustardshunt.sidecar._following import (
    FollowedComponents,
    make_following,
)
from mustardshunt.sidecar._gauges import Gauges, GaugeSources
from mustardshunt.sidecar._ingress import Ingress
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._link_pool import LinkPool
from mustardshunt.sidecar._listeners import Listeners
from mustardshunt.sidecar._loop_clock import LoopClock
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._peer_link import PeerLink
from mustardshunt.sidecar._peer_server import PeerServer
from mustardshunt.sidecar._peer_services import PeerServices
from mustardshunt.sidecar._placement import PlacementReport, make_cost_rule
from mustardshunt.sidecar._planned_stop import PlannedStop
from mustardshunt.sidecar._platform_adapter import PlatformAdapter
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._resident_memory import ResidentMemory
from mustardshunt.sidecar._retry_budget import RetryBudget, make_retry_limit
from mustardshunt.sidecar._retry_times import make_retry_times
from mustardshunt.sidecar._rollout_ports import IgnoredRollouts, RolloutPeers
from mustardshunt.sidecar._rollouts import (
    RolloutComponents,
    make_rollouts,
)
from mustardshunt.sidecar._run_pace import RunPace
from mustardshunt.sidecar._sender import CallSender, LocalSession
from mustardshunt.sidecar._servers import Servers, own_request_limits
from mustardshunt.sidecar._settings import (
    ListenSection,
    SettingsFile,
    SidecarSettings,
)
from mustardshunt.sidecar._settings_reload import (
    ReloadedComponents,
    SettingsReload,
)
from mustardshunt.sidecar._start_check import StartCheck
from mustardshunt.upstream import PaceMeter, ServerPhase, make_backend_gate

# Interval between ticks of the admission queue while calls wait in it.
TICK_SECONDS: Final = 0.02
# Interval between checks of links, cutoff and dependencies.
CHECK_INTERVAL_SECONDS: Final = 0.1
# Interval between checks of the resident memory.
MEMORY_CHECK_INTERVAL_SECONDS: Final = 1.0


class Sidecar:
    """Node between callers, the backend server beside it and other nodes.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    adapter : PlatformAdapter
        Platform-specific parts.
    log : EventLog
        Log of decisions and changes.
    memory : MemoryAccount
        Account of the bytes that the node keeps for others.
    file : SettingsFile or None
        File from which changed settings are read, None if the settings
        cannot change.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        adapter: PlatformAdapter,
        log: EventLog,
        memory: MemoryAccount,
        file: SettingsFile | None = None,
    ) -> None:
        self._memory = memory
        memory.on_given_up = self._log_given_up
        self._settings = settings
        self._adapter = adapter
        self._log = log
        self._clock = LoopClock()
        self._metrics = SidecarMetrics()
        self._resident_memory = ResidentMemory(
            settings.node.memory_mb, memory, log, self._metrics
        )
        self._lifecycle = SidecarLifecycle()
        self._background = BackgroundTasks(log, self._clock)
        self._stop_requested = asyncio.Event()
        limits = make_connection_limits(descriptor_limit())
        tables = ConnectionTables(limits, log, self._clock)
        self._listeners = Listeners(
            self._addresses,
            log,
            self._metrics,
            self._clock,
        )
        node = settings.node
        incarnation = f'{node.name}-{secrets.token_hex(6)}'
        self._own = Member(
            node.name,
            incarnation,
            node.service,
            node.data_centre,
            settings.listen.peers,
        )
        random_source = random.Random(incarnation)
        self._registry = PolicyRegistry()
        self._placement = PlacementReport(
            make_cost_rule(settings, random_source), log, self._metrics
        )
        self._balancer = LoadBalancer(
            node.name, node.data_centre, random_source, self._placement.rule
        )
        split = WeightedRoundRobin(random_source)
        join_seconds = 0.0 if node.first_start else JOIN_SECONDS
        caps = CapShares(
            starts_full=node.first_start,
            usable_from=self._clock.now() + join_seconds,
        )
        self._pool = BackendConnectionPool(
            node.backend_server,
            RequestLimits().max_body_bytes,
            self._mark_server_lost,
            memory,
            max_connections=limits.backend,
        )
        backend_gate = make_backend_gate(
            settings.platform.heartbeat,
            limits.backend,
            has_deadline_queue=settings.overload.deadline_queue,
        )
        self._crashes = CrashMonitor(
            self._own,
            node.backend_server,
            backend_gate.liveness,
            settings.quarantine.fingerprint_key.encode(),
            log,
            self._metrics,
            self._clock,
        )
        self._retry_limit = make_retry_limit(settings)
        has_chain_admission = settings.overload.chain_admission
        self._callee = Callee(
            self._own,
            backend_gate,
            self._pool,
            self._crashes,
            adapter.header_codec,
            self._registry,
            log,
            self._clock,
            memory,
        )
        if settings.overload.pace_placement:
            self._callee.pace = RunPace(PaceMeter(), self._clock)
        self._callee.room.sends_forecast = (
            settings.overload.forecast_retry_after
        )
        self._updater = DeploymentUpdater(
            self._own,
            UpdatedComponents(
                self._registry,
                self._balancer,
                split,
                caps,
                self._callee,
            ),
            settings.bounds,
            log,
            self._clock,
            self._serve_when_ready,
        )
        self._links = LinkManager(
            node.name,
            LinkPlan(node.name, node.data_centre),
            self._balancer,
            LinkPool(self._open_link, limits.links),
        )
        self._following = make_following(
            self._own,
            adapter,
            FollowedComponents(
                self._updater,
                self._links,
                self._crashes,
                self._apply_members,
                caps.allow_spending,
            ),
            random_source,
            log,
            self._metrics,
            self._clock,
        )
        self._relay = self._following.relay
        self._crash_relay = self._following.crash_relay
        self._start_check = StartCheck(
            node.service,
            backend_gate.liveness,
            self._registry,
            self._pool,
            adapter.header_codec,
            self._callee.reports,
            log,
            self._clock,
        )
        self._operator_sync = self._following.operator_sync
        self._member_sync = self._following.member_sync
        self._rollouts = make_rollouts(
            self._own,
            settings.bounds,
            adapter.rollouts,
            RolloutComponents(
                self._balancer,
                self._links,
                self._callee,
                self._registry,
                self._relay,
            ),
            random_source,
            log,
            self._metrics,
            self._clock,
        )
        self._crashes.connect(
            self._crash_relay,
            self._callee.refuse_quarantined,
            self._following.verdict_records,
        )
        rate_limiter = RateLimiter(caps, self._updater, self._clock)
        self._updater.connect(self._links, rate_limiter)
        self._local = LocalSession(node.name, self._callee, self._updater)
        self._ingress = Ingress(
            node.service,
            self._registry,
            self._balancer,
            split,
            RetryBudget(
                self._retry_limit, rate_limiter, self._metrics, self._clock
            ),
            rate_limiter,
            CallSender(node.name, self._local, self._links),
            self._links,
            self._crashes,
            adapter.header_codec,
            log,
            self._metrics,
            self._clock,
            make_retry_times(
                settings.overload, random_source, log, self._metrics
            ),
            has_chain_admission,
        )
        if self._rollouts is not None:
            self._ingress.versions = self._rollouts.node
            self._updater.versions = self._rollouts.node
            self._operator_sync.on_orders = self._rollouts.decider.receive
        self._chain_admission = ChainAdmission(
            self._ingress.dependencies, self._retry_limit, log, self._metrics
        )
        if has_chain_admission:
            self._callee.use_run_admission(self._chain_admission)
        self._callers = HttpServer(
            self._ingress, self._request_limits, memory, tables.callers
        )
        gauges = Gauges(
            self._metrics,
            GaugeSources(
                self._callee,
                self._pool,
                self._links,
                self._callers,
                tables,
                memory,
                self._resident_memory,
                lambda: len(self._member_sync.by_name),
                self._chain_admission,
            ),
        )
        self._peers = PeerServer(
            self._callee,
            PeerServices(
                self._relay,
                rate_limiter,
                self._crash_relay,
                self._rollout_peers(),
            ),
            log,
            memory,
            tables.peers,
        )
        self._servers = Servers(
            self._callers,
            self._peers,
            HttpServer(
                ReadyHandler(self._lifecycle),
                own_request_limits,
                memory,
                tables.ready,
            ),
            HttpServer(
                HeartbeatHandler(adapter.heartbeat_codec, self._callee.reports),
                own_request_limits,
                memory,
                tables.control,
            ),
            HttpServer(
                MetricsHandler(self._metrics, gauges.refresh, self._crashes),
                own_request_limits,
                memory,
                tables.metrics,
            ),
        )
        self._planned_stop = PlannedStop(
            settings.bounds.grace,
            self._lifecycle,
            self._callers,
            self._ingress,
            self._callee,
            self._peers,
            log,
            self._clock,
        )
        self._reload = None if file is None else self._make_reload(file)

    async def run(self) -> None:
        """Serve until a stop is requested, then drain and close."""
        self._handle_signals()
        LoopErrorHandler(self._log, self._clock).install()
        self._log.record(
            'start',
            self._clock.now(),
            incarnation=self._own.incarnation,
            service=self._own.service,
            data_centre=self._own.data_centre,
            first_start=self._settings.node.first_start,
        )
        if not await self._listen():
            # Nothing was served, so there is nothing to wait for.
            self._close()
            return
        self._apply_members({self._own.name: self._own})
        self._callee.status_publisher.subscribe(
            self._local, self._callee.status()
        )
        self._start_tasks()
        try:
            await self._stop_requested.wait()
            server_has_left = self._callee.gate.liveness.phase in {
                ServerPhase.GONE,
                ServerPhase.DRAINING,
            }
            self._member_sync.stop_replacing()
            await self._planned_stop.run()
            if server_has_left:
                await self._leave()
        finally:
            self._close()

    def _start_optional_tasks(self) -> None:
        if self._reload is not None:
            self._background.start('settings', self._reload.run)
        if self._rollouts is not None:
            self._background.start('rollouts', self._rollouts.decider.run)
            # A check does not tell the version, without which a backend server
            # gets no calls.
            return
        is_restart = not self._settings.node.first_start
        if is_restart and self._settings.overload.start_check:
            self._background.start('start check', self._start_check.run)

    def request_stop(self) -> None:
        """Make a planned stop within the grace time, as the platform asks."""
        self._planned_stop.expect_kill()
        self._stop_requested.set()

    def _start_tasks(self) -> None:
        for name, run in (
            ('operators', self._operator_sync.run),
            ('operator refreshes', self._operator_sync.run_refreshes),
            ('members', self._member_sync.run),
            ('change checks', self._following.change_check.run),
            ('registration', self._member_sync.run_registration),
            ('tick', self._run_ticks),
            ('crashes', self._crashes.run),
            ('verdicts', self._following.verdict_records.run),
        ):
            self._background.start(name, run)
        self._start_optional_tasks()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._request_reload)

    async def _listen(self) -> bool:
        """Listen at all addresses; return False if the process stops before."""
        listening = await self._listeners.take(self._stop_requested)
        if listening is None:
            return False
        addresses = self._listeners.addresses
        if addresses is not None and addresses.peers != self._own.address:
            self._member_sync.set_address(addresses.peers)
        self._servers.serve(listening)
        return True

    def _addresses(self) -> ListenSection:
        """Return the addresses at which the node has to listen."""
        if self._reload is None:
            return self._settings.listen
        return self._reload.read_addresses()

    async def _run_ticks(self) -> None:
        checked_at = 0.0
        memory_checked_at = 0.0
        while True:
            is_busy = self._callee.gate.queued_calls
            await asyncio.sleep(
                TICK_SECONDS if is_busy else CHECK_INTERVAL_SECONDS
            )
            now = self._clock.now()
            if now - checked_at >= CHECK_INTERVAL_SECONDS:
                checked_at = now
                self._relay.check(now)
                self._crash_relay.check(now)
                if self._rollouts is not None:
                    self._rollouts.check(now)
                self._links.check(now)
                self._peers.check(now)
                self._callee.adjust_cutoff(now)
                self._chain_admission.adjust(
                    self._callee.gate.cutoff.maximum, now
                )
                self._callee.dependency = (
                    self._ingress.dependencies.lowest_cutoff(
                        self._balancer.statuses,
                        self._callee.gate.started_calls,
                        now,
                    )
                )
                self._placement.check(now)
                self._log.flush()
            if now - memory_checked_at >= MEMORY_CHECK_INTERVAL_SECONDS:
                memory_checked_at = now
                self._resident_memory.check(now)
            # Publishes status changes that the checks above have caused.
            self._callee.tick()

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout_at(self._planned_stop.exit_deadline):
                await self._member_sync.leave()
        except TimeoutError:
            self._log.record('entry-not-removed', self._clock.now())

    def _close(self) -> None:
        self._lifecycle.stop()
        self._background.close()
        self._servers.close()
        self._links.close()
        self._pool.close()
        self._log.record('stopped', self._clock.now())
        self._log.flush()

    def _serve_when_ready(self) -> None:
        active_policy = self._registry.active
        if active_policy is None:
            return
        self._metrics.policy_version.set(active_policy.policy.version)
        self._start_check.begin()
        # The node becomes ready only after it has read the list of members:
        # without the other members, the node would refuse most requests.
        has_members = self._member_sync.has_read
        if self._lifecycle.state == 'starting' and has_members:
            self._lifecycle.serve()

    def _request_limits(self) -> RequestLimits:
        active_policy = self._registry.active
        return (
            RequestLimits()
            if active_policy is None
            else active_policy.policy.limits
        )

    def _open_link(self, member: Member) -> PeerLink:
        return PeerLink(
            member,
            self._own.incarnation,
            self._updater,
            self._relay,
            self._crash_relay,
            self._log,
            self._metrics,
            self._memory,
            self._rollout_peers(),
        )

    def _rollout_peers(self) -> RolloutPeers:
        if self._rollouts is None:
            return IgnoredRollouts()
        return self._rollouts.relay

    def _log_given_up(self, part: HeldPart, size: int) -> None:
        self._log.record(
            'memory-given-up',
            self._clock.now(),
            part=part.value,
            bytes=size,
            held=self._memory.held,
            capacity=self._memory.capacity,
        )

    def _apply_members(self, by_name: dict[str, Member]) -> None:
        self._updater.apply_members(by_name)
        self._following.set_members(by_name)
        if self._rollouts is not None:
            self._rollouts.set_members(by_name)

    def _mark_server_lost(self) -> None:
        self._callee.reports.mark_unreachable()
        self._crashes.record_refused()

    def _request_reload(self) -> None:
        if self._reload is not None:
            self._reload.request()

    def _make_reload(self, file: SettingsFile) -> SettingsReload:
        return SettingsReload(
            self._settings,
            file,
            ReloadedComponents(
                self._planned_stop,
                self._retry_limit,
                self._updater,
                self._memory,
                self._resident_memory,
                self._pool,
                self._crashes,
                self._callee.gate.liveness,
                self._adapter.store,
                self._following.gate,
                self._member_sync,
                self._servers.by_option(),
            ),
            self._lifecycle,
            self._log,
            self._metrics,
            self._clock,
        )


async def run_sidecar(
    settings: SidecarSettings,
    adapter: PlatformAdapter,
    memory: MemoryAccount,
    file: SettingsFile,
) -> None:
    """Run a sidecar until a stop is requested.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    adapter : PlatformAdapter
        Platform-specific parts.
    memory : MemoryAccount
        Account of the bytes that the node keeps for others.
    file : SettingsFile
        Settings file, checked for changes while the node runs.
    """
    log = make_event_log(settings.node.name, settings.node.log_level)
    await Sidecar(settings, adapter, log, memory, file).run()
