"""Background tasks that read changes of the deployment from the platform."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing import Member
from mustardshunt.sidecar._platform_access import (
    Backoff,
    FollowGate,
    PlatformAvailability,
)
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
# Delay before a requested snapshot is read. If the feed or a peer delivers the
# change within this time, the snapshot is not needed.
REFRESH_DELAY_SECONDS: Final = 0.4


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
    gate : FollowGate
        Open while this node reads the platform's changes itself.
    on_report : callable
        Called with each update that the platform has sent.
    """

    def __init__(
        self,
        source: OperatorSource,
        on_update: Callable[[OperatorUpdate], None],
        random: RandomSource,
        availability: PlatformAvailability,
        gate: FollowGate,
        on_report: Callable[[OperatorUpdate], None],
    ) -> None:
        self._on_report = on_report
        self._source = source
        self._on_update = on_update
        self._backoff = Backoff(random)
        self._availability = availability
        self._gate = gate
        self._refresh_requested = asyncio.Event()
        self._requested_change = -1
        self.newest_change = -1
        self.revision = -1
        self.has_failed = False

    def request_refresh(self, change: int) -> None:
        """Request a snapshot, unless a peer soon delivers the change.

        Parameters
        ----------
        change : int
            Revision of a change that a peer knows.
        """
        self._requested_change = max(self._requested_change, change)
        self._refresh_requested.set()

    def receive(self, update: OperatorUpdate) -> None:
        """Apply an update that a peer has sent."""
        self.newest_change = max(self.newest_change, update.newest_change)
        self._on_update(update)

    async def run(self) -> None:
        """Read the changes while this node follows, until cancelled."""
        while True:
            await self._gate.wait()
            try:
                await self._gate.run(self._follow())
            except TimeoutError:
                self.revision = -1
            except HistoryLostError as error:
                self.revision = -1
                self._availability.record_failure(error)
            except PlatformError as error:
                self.has_failed = True
                self._availability.record_failure(error)
                await self._backoff.wait()

    async def run_refreshes(self) -> None:
        """Read a snapshot whenever a refresh is requested, until cancelled."""
        while True:
            await self._refresh_requested.wait()
            await asyncio.sleep(REFRESH_DELAY_SECONDS)
            self._refresh_requested.clear()
            if self.newest_change >= self._requested_change:
                continue
            # A peer knows a change that the feed has not delivered, so the
            # connection of the feed may be silent.
            self._gate.interrupt()
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
            self._on_report(update)
        self._backoff.reset()
        update = await self._source.changes(self.revision, CHANGES_WAIT_SECONDS)
        self._apply(update)
        self._on_report(update)
        self.revision = max(self.revision, update.revision)

    def _apply(self, update: OperatorUpdate) -> None:
        self.has_failed = False
        self._availability.record_success()
        self.receive(update)


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
    gate : FollowGate
        Open while this node reads the platform's changes itself.
    on_report : callable
        Called with each update that the platform has sent, and with the
        revision that was complete before it.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        own: Member,
        on_change: Callable[[dict[str, Member]], None],
        random: RandomSource,
        on_stale_entry: Callable[[], None],
        availability: PlatformAvailability,
        gate: FollowGate,
        on_report: Callable[[MemberUpdate, int], None],
    ) -> None:
        self._gate = gate
        self._on_report = on_report
        self._on_stale_entry = on_stale_entry
        self._directory = directory
        self._own = own
        self._on_change = on_change
        self._backoff = Backoff(random)
        self._register_backoff = Backoff(random)
        self._availability = availability
        self._feed_revision = -1
        self._reported_revision = -1
        self.revision = -1
        self.newest_change = -1
        self._registration_needed = asyncio.Event()
        self.by_name: dict[str, Member] = {}
        self._registration_needed.set()

    @property
    def has_read(self) -> bool:
        """Whether the entries of the directory are known."""
        return self.revision >= 0

    def receive(
        self, update: MemberUpdate, is_from_platform: bool = False
    ) -> None:
        """Apply an update of the platform, or one that a peer has sent.

        An update that is older than the known entries changes nothing. A
        follower that was frozen may report a node that has left since.

        Parameters
        ----------
        update : MemberUpdate
            Changed entries, or all entries.
        is_from_platform : bool, default=False
            Whether the platform has sent the update. A snapshot of a peer may
            be older than the entry of this node.
        """
        is_first = not self.has_read
        self.newest_change = max(self.newest_change, update.newest_change)
        if update.revision < self.revision:
            return
        self.revision = max(self.revision, update.revision)
        if self._merge(update, is_from_platform) or is_first:
            self._on_change(self.by_name)

    async def run(self) -> None:
        """Read the changed entries while this node follows, until cancelled."""
        while True:
            await self._gate.wait()
            try:
                await self._gate.run(self._follow())
            except TimeoutError:
                self._feed_revision = -1
            except HistoryLostError as error:
                self._feed_revision = -1
                self._availability.record_failure(error)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._backoff.wait()

    async def run_registration(self) -> None:
        """Register this node whenever its entry is missing, until cancelled."""
        while True:
            await self._registration_needed.wait()
            try:
                is_replaced = await self._directory.register(self._own)
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._register_backoff.wait()
                continue
            self._register_backoff.reset()
            self._registration_needed.clear()
            if is_replaced:
                self._on_stale_entry()

    async def leave(self) -> None:
        """Remove the entry of this node; a failure is logged, not raised."""
        try:
            await self._directory.remove(self._own.name)
        except PlatformError as error:
            self._availability.record_failure(error)

    async def _follow(self) -> None:
        if self._feed_revision < 0:
            update = await self._directory.read()
        else:
            update = await self._directory.changes(
                self._feed_revision, CHANGES_WAIT_SECONDS
            )
        self._backoff.reset()
        self._availability.record_success()
        self._feed_revision = max(self._feed_revision, update.revision)
        self.receive(update, is_from_platform=True)
        if not update.is_snapshot and not update.changed + update.removed:
            return
        self._on_report(update, self._reported_revision)
        self._reported_revision = update.revision
        await asyncio.sleep(MEMBER_BATCH_SECONDS)

    def _merge(self, update: MemberUpdate, is_from_platform: bool) -> bool:
        by_name = {} if update.is_snapshot else dict(self.by_name)
        for member in update.changed:
            _remove_former_holders(by_name, member)
            by_name[member.name] = member
        for name in update.removed:
            by_name.pop(name, None)
        own = by_name.get(self._own.name)
        if own is not None and own != self._own:
            self._on_stale_entry()
        is_missing = update.is_snapshot and is_from_platform
        if own != self._own and (
            is_missing or self._own.name in update.removed
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
