"""Background tasks that read changes of the deployment from the platform."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing import Member
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._ports import (
    HistoryLostError,
    MemberDirectory,
    MemberUpdate,
    OperatorSource,
    OperatorUpdate,
    PlatformError,
)

# The platform answers a request for changes after this time, even if nothing
# has changed. The time need not be short: if the platform's feed misses a
# change, peers tell this node the revision of the change.
CHANGES_WAIT_SECONDS: Final = 18.0
# Pause after each change of the members. Changes that follow within the pause
# are read in one request.
MEMBER_BATCH_SECONDS: Final = 0.2
# Pause after the first failed request, and longest pause after repeated
# failures. The longest pause is bounded because the node must use the
# platform's store again within two seconds after the store has recovered.
FIRST_PAUSE_SECONDS: Final = 0.2
MAX_PAUSE_SECONDS: Final = 1.4
# Delay before a requested snapshot is read. If the feed delivers the change
# within this time, the snapshot is not needed.
REFRESH_DELAY_SECONDS: Final = 0.15


class _Backoff:
    """Exponential backoff with jitter between failed requests."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._seconds = FIRST_PAUSE_SECONDS

    def reset(self) -> None:
        self._seconds = FIRST_PAUSE_SECONDS

    async def wait(self) -> None:
        await asyncio.sleep(self._seconds * (0.7 + 0.6 * self._random.random()))
        self._seconds = min(MAX_PAUSE_SECONDS, self._seconds * 2)


class PlatformAvailability:
    """Tracks whether the platform answers; logs losses and recoveries.

    Parameters
    ----------
    duty : str
        Name of the background task that makes the requests.
    log : EventLog
        Log of losses and recoveries of the platform.
    metrics : SidecarMetrics
        Counts failed requests.
    """

    def __init__(
        self,
        duty: str,
        log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._duty = duty
        self._log = log
        self._metrics = metrics
        self._lost_at: float | None = None

    def record_success(self) -> None:
        """Record that the platform answered; log a recovery after a loss."""
        if self._lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.record(
            'platform-regained',
            now,
            duty=self._duty,
            lost_for=round(now - self._lost_at, 3),
        )
        self._lost_at = None

    def record_failure(self, error: PlatformError) -> None:
        """Count a failed request; log the loss of the platform once."""
        self._metrics.platform_errors.labels(self._duty).inc()
        if self._lost_at is not None:
            return
        self._lost_at = asyncio.get_running_loop().time()
        self._log.record(
            'platform-lost',
            self._lost_at,
            duty=self._duty,
            error=error.message,
        )


class OperatorSync:
    """Follows the policies and evacuations that operators declare.

    Parameters
    ----------
    source : OperatorSource
        Source of the policies and evacuations.
    on_update : callable
        Called with each update.
    random : RandomSource
        Source of the jitter in pauses.
    availability : PlatformAvailability
        Records answered and failed requests.
    """

    def __init__(
        self,
        source: OperatorSource,
        on_update: Callable[[OperatorUpdate], None],
        random: RandomSource,
        availability: PlatformAvailability,
    ) -> None:
        self._source = source
        self._on_update = on_update
        self._backoff = _Backoff(random)
        self._availability = availability
        self._refresh_requested = asyncio.Event()
        self._requested_revision = -1
        self._received_revision = -1
        self.revision = -1

    def request_refresh(self, revision: int) -> None:
        """Request a snapshot, unless the feed soon delivers the revision.

        Parameters
        ----------
        revision : int
            Revision that a peer knows.
        """
        self._requested_revision = max(self._requested_revision, revision)
        self._refresh_requested.set()

    async def run(self) -> None:
        """Read the changes of policies and evacuations until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                self.revision = -1
                self._availability.record_failure(error)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._backoff.wait()

    async def run_refreshes(self) -> None:
        """Read a snapshot whenever a refresh is requested, until cancelled."""
        while True:
            await self._refresh_requested.wait()
            await asyncio.sleep(REFRESH_DELAY_SECONDS)
            self._refresh_requested.clear()
            if self._received_revision >= self._requested_revision:
                continue
            try:
                self._apply(await self._source.read())
            except PlatformError as error:
                self._availability.record_failure(error)

    async def _follow(self) -> None:
        if self.revision < 0:
            update = await self._source.read()
            self._apply(update)
            # The next changes are read from the revision of this snapshot on,
            # even if the snapshot is older than an update received before.
            self.revision = update.revision
        self._backoff.reset()
        update = await self._source.changes(self.revision, CHANGES_WAIT_SECONDS)
        self._apply(update)
        self.revision = max(self.revision, update.revision)

    def _apply(self, update: OperatorUpdate) -> None:
        self._availability.record_success()
        self._received_revision = max(self._received_revision, update.revision)
        self._on_update(update)


class MemberSync:
    """Registers this node and follows the entries of the other nodes.

    Parameters
    ----------
    directory : MemberDirectory
        Directory in which nodes register.
    own : Member
        Entry of this node.
    on_change : callable
        Called with the members by name when they have changed.
    random : RandomSource
        Source of the jitter in pauses.
    on_stale_entry : callable
        Called when the directory contains an entry that an earlier process
        of this node has written.
    availability : PlatformAvailability
        Records answered and failed requests.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        own: Member,
        on_change: Callable[[dict[str, Member]], None],
        random: RandomSource,
        on_stale_entry: Callable[[], None],
        availability: PlatformAvailability,
    ) -> None:
        self._on_stale_entry = on_stale_entry
        self._directory = directory
        self._own = own
        self._on_change = on_change
        self._backoff = _Backoff(random)
        self._register_backoff = _Backoff(random)
        self._availability = availability
        self._revision = -1
        self._registration_needed = asyncio.Event()
        self.by_name: dict[str, Member] = {}
        self._registration_needed.set()

    @property
    def has_read(self) -> bool:
        """Whether the entries of the directory have been read."""
        return self._revision >= 0

    async def run(self) -> None:
        """Read the changed entries of all nodes until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                self._revision = -1
                self._availability.record_failure(error)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._backoff.wait()

    async def run_registration(self) -> None:
        """Register this node whenever its entry is missing, until cancelled."""
        while True:
            await self._registration_needed.wait()
            try:
                await self._directory.register(self._own)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._register_backoff.wait()
                continue
            self._register_backoff.reset()
            self._registration_needed.clear()

    async def leave(self) -> None:
        """Remove the entry of this node; a failure is logged, not raised."""
        try:
            await self._directory.remove(self._own.name)
        except PlatformError as error:
            self._availability.record_failure(error)

    async def _follow(self) -> None:
        is_first = not self.has_read
        if is_first:
            update = await self._directory.read()
        else:
            update = await self._directory.changes(
                self._revision, CHANGES_WAIT_SECONDS
            )
        self._backoff.reset()
        self._availability.record_success()
        self._revision = max(self._revision, update.revision)
        if self._merge(update) or is_first:
            self._on_change(self.by_name)
            await asyncio.sleep(MEMBER_BATCH_SECONDS)

    def _merge(self, update: MemberUpdate) -> bool:
        by_name = {} if update.is_snapshot else dict(self.by_name)
        for member in update.changed:
            _remove_former_holders(by_name, member)
            by_name[member.name] = member
        for name in update.removed:
            by_name.pop(name, None)
        own = by_name.get(self._own.name)
        if own is not None and own != self._own:
            self._on_stale_entry()
        if own != self._own and update.is_snapshot | (
            self._own.name in update.removed
        ):
            self._registration_needed.set()
        by_name[self._own.name] = self._own
        has_changed = by_name != self.by_name
        self.by_name = by_name
        return has_changed


def _remove_former_holders(by_name: dict[str, Member], member: Member) -> None:
    """Remove entries of other nodes that have the address of a member."""
    for name, former in list(by_name.items()):
        if former.address == member.address and name != member.name:
            del by_name[name]
