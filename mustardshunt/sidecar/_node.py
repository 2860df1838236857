"""Wiring and life of one sidecar, readable from top to bottom."""

import asyncio
import random
import secrets
import signal
from dataclasses import dataclass, replace
from typing import Final

from mustardshunt.caps import JOIN_SECONDS, CapBounds, CapShares
from mustardshunt.load_balancing import (
    LoadBalancer,
    Member,
    RetryThrottle,
    RetryThrottleSettings,
    WeightedRoundRobin,
)
from mustardshunt.observability import EventLog, make_event_log
from mustardshunt.policy import PolicyRegistry, RequestLimits
from mustardshunt.relay import BackendConnectionPool, HttpServer
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._control import (
    HeartbeatCodec,
    HeartbeatHandler,
    MetricsHandler,
    ReadyHandler,
)
from mustardshunt.sidecar._deployment_updater import (
    DeploymentUpdater,
    UpdatedComponents,
)
from mustardshunt.sidecar._ingress import Ingress
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._peer_link import LinkPool, PeerLink
from mustardshunt.sidecar._peer_server import PeerServer, PeerServices
from mustardshunt.sidecar._ports import (
    HeaderCodec,
    MemberDirectory,
    OperatorSource,
)
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._sender import CallSender, LocalSession
from mustardshunt.sidecar._settings import (
    SettingsFile,
    SidecarSettings,
    SidecarSettingsError,
)
from mustardshunt.sidecar._sync import (
    MemberSync,
    OperatorSync,
    PlatformAvailability,
)
from mustardshunt.upstream import ServerPhase, make_backend_gate

# Time between looks at the queue while calls wait in it.
TICK_SECONDS: Final = 0.02
REVIEW_SECONDS: Final = 0.1
# The settings file may change without a signal.
SETTINGS_SECONDS: Final = 1.0
# Callers notice within two readiness checks, a second apart, that the node
# is stopping; until then they open connections.
DRAIN_SECONDS: Final = 2.6
# Kept free of the grace for the end of the process itself.
END_SECONDS: Final = 0.3
_STOP_CHECK_SECONDS: Final = 0.05


class LoopClock:
    """The event loop's clock, on which its timers run too."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return seconds that never go back."""
        return self._loop.time()


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """The platform's side of a sidecar.

    Parameters
    ----------
    header_codec : HeaderCodec
        Headers of requests and answers.
    heartbeat_codec : HeartbeatCodec
        Calls of the backend server.
    operators : OperatorSource
        What operators declare.
    directory : MemberDirectory
        Where nodes find each other.
    """

    header_codec: HeaderCodec
    heartbeat_codec: HeartbeatCodec
    operators: OperatorSource
    directory: MemberDirectory


class Sidecar:
    """One node: callers on one side, its backend server on the other.

    Parameters
    ----------
    settings : SidecarSettings
        Checked settings.
    adapter : PlatformAdapter
        The platform.
    log : EventLog
        Takes decisions and changes.
    file : SettingsFile or None
        Where the settings come from, None when they do not change.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        adapter: PlatformAdapter,
        log: EventLog,
        file: SettingsFile | None = None,
    ) -> None:
        self._settings = settings
        self._file = file
        self._adapter = adapter
        self._log = log
        self._clock = LoopClock()
        self._metrics = SidecarMetrics()
        self._lifecycle = SidecarLifecycle()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_asked = asyncio.Event()
        node = settings.node
        incarnation = f'{node.name}-{secrets.token_hex(6)}'
        self._own = Member(
            node.name,
            incarnation,
            node.service,
            node.data_centre,
            settings.listen.peers,
        )
        source = random.Random(incarnation)
        self._registry = PolicyRegistry()
        self._balancer = LoadBalancer(node.name, node.data_centre, source)
        split = WeightedRoundRobin(source)
        retries = RetryThrottle(_retry_bounds(settings))
        join_seconds = 0.0 if node.first_start else JOIN_SECONDS
        caps = CapShares(
            CapBounds(settings.bounds.cap_overage, settings.bounds.cap_slack),
            starts_full=node.first_start,
            usable_from=self._clock.now() + join_seconds,
        )
        self._pool = BackendConnectionPool(
            node.backend_server,
            RequestLimits().max_body_bytes,
            self._lose_server,
        )
        self._callee = Callee(
            self._own,
            make_backend_gate(settings.platform.heartbeat),
            self._pool,
            adapter.header_codec,
            self._registry,
            log,
            self._clock,
        )
        self._view = DeploymentUpdater(
            self._own,
            UpdatedComponents(
                self._registry,
                self._balancer,
                split,
                retries,
                caps,
                self._callee,
            ),
            adapter.operators,
            log,
            self._clock,
            self._begin_service,
        )
        self._links = LinkPool(self._open_link)
        self._operator_sync = OperatorSync(
            adapter.operators,
            self._view.apply_operator_update,
            source,
            PlatformAvailability('operators', log, self._metrics),
        )
        self._member_sync = MemberSync(
            adapter.directory,
            self._own,
            self._view.apply_members,
            source,
            caps.allow_spending,
            PlatformAvailability('members', log, self._metrics),
        )
        tokens = RateLimiter(caps, self._view, self._clock)
        self._view.connect(self._operator_sync, self._links, tokens)
        local = LocalSession(node.name, self._callee, self._view)
        self._entry = Ingress(
            node.service,
            self._registry,
            self._balancer,
            split,
            retries,
            tokens,
            CallSender(node.name, local, self._links),
            adapter.header_codec,
            log,
            self._metrics,
            self._clock,
        )
        self._local = local
        self._callers = HttpServer(self._entry, self._limits)
        self._ready = HttpServer(ReadyHandler(self._lifecycle), RequestLimits)
        self._control = HttpServer(
            HeartbeatHandler(adapter.heartbeat_codec, self._callee),
            RequestLimits,
        )
        self._metrics_server = HttpServer(
            MetricsHandler(self._metrics, self._refresh_metrics),
            RequestLimits,
        )
        self._peers = PeerServer(
            self._callee,
            PeerServices(
                self._view.revision,
                self._view.policy_document,
                tokens.grant,
            ),
            log,
        )

    async def run(self) -> None:
        """Serve until a signal asks to stop and all requests are answered."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.record(
            'start',
            self._clock.now(),
            incarnation=self._own.incarnation,
            service=self._own.service,
            data_centre=self._own.data_centre,
            first_start=self._settings.node.first_start,
        )
        await self._listen()
        self._view.apply_members({self._own.name: self._own})
        self._callee.status_publisher.subscribe(
            self._local, self._callee.status()
        )
        self._start_duties()
        try:
            await self._stop_asked.wait()
            await self._drain()
        finally:
            self._close()

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._stop_asked.set()

    async def _listen(self) -> None:
        listen = self._settings.listen
        await self._control.listen(listen.control)
        await self._peers.listen(listen.peers)
        await self._ready.listen(listen.ready)
        await self._callers.listen(listen.callers)
        await self._metrics_server.listen(listen.metrics)

    def _start_duties(self) -> None:
        duties = (
            ('operators', self._operator_sync.run()),
            ('operator nudges', self._operator_sync.run_refreshes()),
            ('members', self._member_sync.run()),
            ('registration', self._member_sync.run_registration()),
            ('tick', self._run_ticks()),
        )
        for name, duty in duties:
            task = asyncio.create_task(duty, name=name)
            task.add_done_callback(self._record_end)
            self._tasks.append(task)

    def _record_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        # A duty never ends by itself; without it the node would go on with
        # what it knows for ever.
        self._log.record(
            'duty-failed',
            self._clock.now(),
            duty=task.get_name(),
            error=repr(task.exception()),
        )
        self._stop_asked.set()

    async def _run_ticks(self) -> None:
        reviewed_at = 0.0
        looked_at = self._clock.now()
        while True:
            is_busy = self._callee.gate.queued_calls
            await asyncio.sleep(TICK_SECONDS if is_busy else REVIEW_SECONDS)
            now = self._clock.now()
            if now - reviewed_at >= REVIEW_SECONDS:
                reviewed_at = now
                self._links.check(now)
                self._peers.check(now)
                self._callee.adjust_cutoff(now)
                self._callee.dependency = (
                    self._entry.dependencies.lowest_cutoff(
                        self._balancer.statuses,
                        self._callee.gate.started_calls,
                        now,
                    )
                )
                self._log.flush()
            # Shows the other nodes what the review has changed.
            self._callee.tick()
            if now - looked_at >= SETTINGS_SECONDS:
                looked_at = now
                if self._file is not None and self._file.has_changed():
                    self._reload()

    async def _drain(self) -> None:
        asked_at = self._clock.now()
        self._lifecycle.drain()
        self._log.record('stop', asked_at, in_flight=self._callee.in_flight())
        self._callers.is_closing = True
        self._callee.is_leaving = True
        self._callee.publish_status()
        server_has_left = self._callee.gate.liveness.phase in {
            ServerPhase.GONE,
            ServerPhase.DRAINING,
        }
        latest = asked_at + self._settings.bounds.grace - END_SECONDS
        while self._clock.now() < min(asked_at + DRAIN_SECONDS, latest):
            await asyncio.sleep(_STOP_CHECK_SECONDS)
        self._lifecycle.leave()
        self._callers.stop_accepting()
        self._callers.close_idle()
        while self._clock.now() < latest:
            if (
                not self._callers.active_requests()
                and not self._callee.in_flight()
            ):
                break
            await asyncio.sleep(_STOP_CHECK_SECONDS)
            self._callers.close_idle()
        if server_has_left:
            await self._remove_entry(latest)

    async def _remove_entry(self, latest: float) -> None:
        try:
            async with asyncio.timeout_at(latest):
                await self._member_sync.leave()
        except TimeoutError:
            self._log.record('entry-not-removed', self._clock.now())

    def _close(self) -> None:
        self._lifecycle.stop()
        for task in self._tasks:
            task.cancel()
        self._callers.close()
        self._ready.close()
        self._control.close()
        self._metrics_server.close()
        self._peers.close()
        self._links.close()
        self._pool.close()
        self._log.record('stopped', self._clock.now())
        self._log.flush()

    def _begin_service(self) -> None:
        in_force = self._registry.active
        if in_force is None:
            return
        self._metrics.policy_version.set(in_force.policy.version)
        # Without the other nodes most requests could only be refused.
        has_members = self._member_sync.has_read
        if self._lifecycle.state == 'starting' and has_members:
            self._lifecycle.serve()

    def _limits(self) -> RequestLimits:
        in_force = self._registry.active
        return RequestLimits() if in_force is None else in_force.policy.limits

    def _open_link(self, member: Member) -> PeerLink:
        return PeerLink(
            member,
            self._own.incarnation,
            self._view,
            self._log,
            self._metrics,
        )

    def _lose_server(self) -> None:
        self._callee.mark_server_lost()

    def _reload(self) -> None:
        if self._file is None:
            return
        try:
            settings = self._file.read()
        except (OSError, SidecarSettingsError) as error:
            self._log.record(
                'reload',
                self._clock.now(),
                outcome='kept the old settings',
                error=str(error),
            )
            return
        changed = _changed_sections(self._settings, settings)
        outcome = 'no change'
        if changed:
            # Names, addresses and bounds hold for a whole run: the process
            # ends in order and starts again with the new ones.
            outcome = 'restart'
            self.request_stop()
        self._log.record(
            'reload',
            self._clock.now(),
            outcome=outcome,
            changed=changed,
        )

    def _refresh_metrics(self) -> None:
        view = self._callee.status()
        gate = self._metrics.gate
        gate.labels('in_flight').set(view.in_flight)
        gate.labels('limit').set(view.limit)
        gate.labels('cutoff').set(view.cutoff)
        gate.labels('is_cold').set(view.is_cold)
        gate.labels('is_open').set(self._callee.gate.is_open())
        gate.labels('connections_opened').set(self._pool.opened)
        known = self._member_sync.by_name
        self._metrics.members.labels('known').set(len(known))


def _changed_sections(
    old: SidecarSettings,
    new: SidecarSettings,
) -> list[str]:
    # Whether this is the first start says nothing once the process runs.
    new_node = replace(new.node, first_start=old.node.first_start)
    sections = {
        'node': old.node == new_node,
        'listen': old.listen == new.listen,
        'platform': old.platform == new.platform,
        'bounds': old.bounds == new.bounds,
    }
    return [name for name, is_same in sections.items() if not is_same]


def _retry_bounds(settings: SidecarSettings) -> RetryThrottleSettings:
    bounds = settings.bounds
    return RetryThrottleSettings(
        bounds.retry_ratio,
        bounds.retry_window,
        bounds.retry_minimum,
    )


async def run_sidecar(
    settings: SidecarSettings,
    adapter: PlatformAdapter,
    file: SettingsFile,
) -> None:
    """Run a sidecar until it is asked to stop.

    Parameters
    ----------
    settings : SidecarSettings
        Checked settings.
    adapter : PlatformAdapter
        The platform.
    file : SettingsFile
        Where the settings come from.
    """
    log = make_event_log(settings.node.name, settings.node.log_level)
    await Sidecar(settings, adapter, log, file).run()
