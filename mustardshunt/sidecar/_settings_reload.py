"""Applies changed settings in the running process."""

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Final, Protocol

from mustardshunt.base import Clock, VmAddress
from mustardshunt.load_balancing import RetryLimit
from mustardshunt.memory import MemoryAccount, large_body_limits
from mustardshunt.observability import EventLog
from mustardshunt.relay import Acceptor, BackendConnectionPool
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._deployment_updater import DeploymentUpdater
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._planned_stop import PlannedStop
from mustardshunt.sidecar._platform_access import FollowGate
from mustardshunt.sidecar._resident_memory import ResidentMemory
from mustardshunt.sidecar._settings import (
    ListenSection,
    SettingsFile,
    SidecarSettings,
    SidecarSettingsError,
)
from mustardshunt.sidecar._settings_change import (
    FIXED_OPTIONS,
    LISTEN_OPTIONS,
    SettingsChange,
    compare_settings,
)
from mustardshunt.upstream import LivenessTracker

# Interval between checks of the settings file. The file may change without a
# SIGHUP signal to the node.
CHECK_INTERVAL_SECONDS: Final = 1.0
# A file that has not changed for this time counts as written completely.
SETTLE_SECONDS: Final = 0.1
# Most times that a file which goes on changing is left unread.
MAX_SETTLE_CHECKS: Final = 20


class Listener(Protocol):
    """Server that accepts connections at one address."""

    @property
    def acceptor(self) -> Acceptor[Any] | None:
        """The acceptor of connections, None before it is open."""
        ...

    async def listen(self, address: VmAddress) -> None:
        """Start accepting connections at an address."""
        ...


class AddressUser(Protocol):
    """Part of the node that uses an address which may change."""

    def set_address(self, address: VmAddress) -> None:
        """Use another address from now on."""
        ...


@dataclass(frozen=True, slots=True)
class ReloadedComponents:
    """Components that get new values when the settings change.

    Parameters
    ----------
    planned_stop : PlannedStop
        Has the grace time.
    retry_limit : RetryLimit
        Has the allowed ratio of retries and the windows that count them.
    updater : DeploymentUpdater
        Has the limits that hold for all nodes together.
    memory : MemoryAccount
        Has the limits of the memory.
    resident_memory : ResidentMemory
        Has the limit of the process.
    pool : BackendConnectionPool
        Connections to the backend server.
    crashes : CrashMonitor
        Has the address of the backend server and the key of fingerprints.
    liveness : LivenessTracker
        Has the interval between heartbeats.
    store : AddressUser
        Connections to the platform's store.
    gate : FollowGate
        Has the open requests for changes, which the former store answers.
    directory : AddressUser
        Registers the address at which other nodes reach this one.
    listener_by_option : mapping of str to Listener
        Servers by the options that have their addresses.
    """

    planned_stop: PlannedStop
    retry_limit: RetryLimit
    updater: DeploymentUpdater
    memory: MemoryAccount
    resident_memory: ResidentMemory
    pool: BackendConnectionPool
    crashes: CrashMonitor
    liveness: LivenessTracker
    store: AddressUser
    gate: FollowGate
    directory: AddressUser
    listener_by_option: Mapping[str, Listener]


class SettingsReload:
    """Reads the settings file when it changes, and applies what it says.

    The process goes on whatever the file says. An invalid file changes nothing,
    and options that cannot change now wait for the next start.

    Parameters
    ----------
    settings : SidecarSettings
        Settings that the process has started with.
    file : SettingsFile
        File that is read.
    components : ReloadedComponents
        Components that get the new values.
    lifecycle : SidecarLifecycle
        State of the node; a stopping node keeps its addresses.
    log : EventLog
        Log of changes.
    metrics : SidecarMetrics
        Counts changes and shows the options that wait.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        file: SettingsFile,
        components: ReloadedComponents,
        lifecycle: SidecarLifecycle,
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._file = file
        self._components = components
        self._lifecycle = lifecycle
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._requested = asyncio.Event()
        # Such an address is tried again, since it may be free later.
        self._has_taken_address = False

    def request(self) -> None:
        """Read the file soon, also if it seems unchanged."""
        self._requested.set()

    def read_addresses(self) -> ListenSection:
        """Return the addresses in the file, for a start that waits for them.

        The other options are applied once the node listens.
        """
        if self._file.has_changed():
            self.request()
            with contextlib.suppress(OSError, SidecarSettingsError):
                self._settings = replace(
                    self._settings, listen=self._file.read().listen
                )
        return self._settings.listen

    async def run(self) -> None:
        """Apply changes of the file until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._requested.wait()
            is_asked = self._requested.is_set() or self._file.has_changed()
            if not is_asked and not self._has_taken_address:
                continue
            await self._wait_until_written()
            self._requested.clear()
            await self._reload(is_asked)

    async def _wait_until_written(self) -> None:
        version = self._file.version()
        for _ in range(MAX_SETTLE_CHECKS):
            await asyncio.sleep(SETTLE_SECONDS)
            former_version, version = version, self._file.version()
            if version == former_version:
                return

    async def _reload(self, is_asked: bool) -> None:
        try:
            read = self._file.read()
        except (OSError, SidecarSettingsError) as error:
            self._record('kept the old settings', error=str(error))
            return
        error_by_option: dict[str, str] = {}
        fixed = FIXED_OPTIONS
        if self._lifecycle.is_stopping:
            fixed = FIXED_OPTIONS | LISTEN_OPTIONS
        change = compare_settings(self._settings, read, fixed)
        for option in change.applied:
            if option in LISTEN_OPTIONS:
                fault = await self._move(option, change.settings.listen)
                if fault:
                    error_by_option[option] = fault
        self._has_taken_address = bool(error_by_option)
        change = compare_settings(
            self._settings, read, fixed | error_by_option.keys()
        )
        self._apply(change)
        self._settings = change.settings
        self._metrics.set_waiting_options(change.waiting)
        if not is_asked and not change.applied:
            # A taken address was tried again.
            return
        self._record(
            _outcome(change),
            applied=change.applied,
            waiting=change.waiting,
            errors=error_by_option,
        )

    def _apply(self, change: SettingsChange) -> None:
        components = self._components
        settings = change.settings
        components.planned_stop.set_grace(settings.bounds.grace)
        components.retry_limit.set_allowed_ratio(settings.bounds.retry_ratio)
        components.retry_limit.set_window(settings.bounds.retry_window)
        components.updater.set_bounds(settings.bounds)
        components.crashes.set_secret(
            settings.quarantine.fingerprint_key.encode()
        )
        if 'node.log_level' in change.applied:
            self._log.set_level(settings.node.log_level)
        if 'node.memory_mb' in change.applied:
            limits = large_body_limits(settings.node.memory_mb)
            components.memory.large_bodies.set_limits(limits)
            components.resident_memory.set_limit(settings.node.memory_mb)
        if 'node.backend_server' in change.applied:
            components.pool.set_address(settings.node.backend_server)
            components.crashes.set_address(settings.node.backend_server)
        if 'platform.heartbeat' in change.applied:
            components.liveness.set_heartbeat_interval(
                settings.platform.heartbeat, self._clock.now()
            )
        if 'platform.address' in change.applied:
            components.store.set_address(settings.platform.address)
            components.gate.interrupt()
        if 'listen.peers' in change.applied:
            components.directory.set_address(settings.listen.peers)

    async def _move(self, option: str, listen: ListenSection) -> str:
        """Listen at a new address; return why not, empty if it listens."""
        address: VmAddress = getattr(listen, option.partition('.')[2])
        listener = self._components.listener_by_option[option]
        former = listener.acceptor
        try:
            await listener.listen(address)
        except OSError as error:
            return str(error) or repr(error)
        if former is not None:
            former.retire()
        return ''

    def _record(self, outcome: str, **inputs: object) -> None:
        self._metrics.settings_reloads.labels(outcome).inc()
        self._log.record('reload', self._clock.now(), outcome=outcome, **inputs)


def _outcome(change: SettingsChange) -> str:
    if change.applied:
        return 'applied'
    return 'waits for the next start' if change.waiting else 'no change'
