"""Background tasks that read changes of the deployment from the platform."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from mustardshunt.base import NO_REVISION, RandomSource, Revision, VmAddress
from mustardshunt.load_balancing import Member
from mustardshunt.sidecar._member_table import MemberTable
from mustardshunt.sidecar._platform_access import (
    Backoff,
    FollowGate,
    PlatformAvailability,
    RepeatedLosses,
)
from mustardshunt.sidecar._ports import (
    HistoryLostError,
    MemberDirectory,
    MemberUpdate,
    OperatorSource,
    OperatorUpdate,
    PlatformError,
    VerdictRecord,
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
# Time in which an open request for changes reports a change that is already
# known from elsewhere. Even a slow platform answers within 1 s.
FEED_REPORT_SECONDS: Final = 1.6
# Longest delay before a node writes an entry again that the platform has lost.
# The nodes' writes are spread over this time, since many may be lost at once.
REWRITE_SPREAD_SECONDS: Final = 0.5


class OperatorSync:
    """Follows the policies and evacuations that operators declare.

    Parameters
    ----------
    source : OperatorSource
        Source of the policies and evacuations.
    on_update : callable
        Called with each update, and with whether the platform has sent it;
        returns the revision of the newest change of operators that is known
        then.
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
        on_update: Callable[[OperatorUpdate, bool], Revision],
        random: RandomSource,
        availability: PlatformAvailability,
        gate: FollowGate,
        on_report: Callable[[OperatorUpdate], None],
    ) -> None:
        self._on_report = on_report
        self.on_orders: Callable[[OperatorUpdate], None] | None = None
        self._source = source
        self._on_update = on_update
        self._backoff = Backoff(random)
        self._history_losses = RepeatedLosses(Backoff(random))
        self._availability = availability
        self._gate = gate
        self._refresh_requested = asyncio.Event()
        self._requested_change = NO_REVISION
        self.newest_change = NO_REVISION
        self.revision = NO_REVISION
        self.complete_revision = NO_REVISION
        self.has_failed = False
        self._is_up_to_date = False

    @property
    def is_answered(self) -> bool:
        """Whether the platform reports changes to this node, as far as known.

        The open request for changes tells nothing while it waits. The claim
        ends when a request fails, or when a peer knows a change that the open
        request has not reported.
        """
        return (
            self._gate.is_open
            and not self.has_failed
            and self.revision != NO_REVISION
        )

    def record_complete(
        self, revision: Revision, newest_change: Revision
    ) -> None:
        """Record up to which revision a follower knows all changes.

        Parameters
        ----------
        revision : Revision
            Revision up to which the follower knows all changes of operators.
        newest_change : Revision
            Newest change of operators that the follower knows.
        """
        if self.newest_change >= newest_change:
            self.complete_revision = max(self.complete_revision, revision)

    def doubt_feed(self) -> None:
        """End the open requests for changes: they may never be answered."""
        if self._gate.is_open and self.revision != NO_REVISION:
            self._gate.interrupt()

    async def check(self) -> Revision:
        """Apply changes that nobody has reported; does not wait for one.

        Returns
        -------
        Revision
            Revision of the platform's newest change, in any table.

        Raises
        ------
        PlatformError
            The platform does not answer.
        """
        complete = max(self.complete_revision, self.revision)
        try:
            update = await self._source.changes(complete, 0.0)
        except HistoryLostError:
            update = await self._source.read()
        self.complete_revision = max(complete, update.revision)
        known = self.newest_change
        self.receive(update, is_from_platform=True)
        if self.newest_change > known and self.is_answered:
            self._on_report(update)
        return update.revision

    def request_refresh(self, change: Revision) -> None:
        """Request a snapshot, unless a peer soon delivers the change.

        Parameters
        ----------
        change : Revision
            Revision of a change that a peer knows.
        """
        self._requested_change = max(self._requested_change, change)
        self._refresh_requested.set()

    def receive(
        self, update: OperatorUpdate, is_from_platform: bool = False
    ) -> None:
        """Apply an update of the platform, or one that a peer has sent."""
        if NO_REVISION.era < self.revision.era < update.revision.era:
            # This node still waits for changes of a former era.
            self._gate.interrupt()
        self.newest_change = max(
            self.newest_change, self._on_update(update, is_from_platform)
        )
        if self.on_orders is not None and is_from_platform:
            self.on_orders(update)
        if NO_REVISION < self.revision < self.newest_change:
            asyncio.get_running_loop().call_later(
                FEED_REPORT_SECONDS, self._check_feed, self.newest_change
            )

    async def run(self) -> None:
        """Read the changes while this node follows, until cancelled."""
        while True:
            if not self._gate.is_open:
                await self._gate.wait()
                self._is_up_to_date = False
            try:
                await self._gate.run(self._follow())
            except TimeoutError:
                self.revision = NO_REVISION
            except HistoryLostError as error:
                self.revision = NO_REVISION
                self._availability.record_failure(error)
                self._gate.interrupt_outdated(error)
                await self._history_losses.wait()
            except PlatformError as error:
                self.has_failed = True
                self._is_up_to_date = False
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
                self.has_failed = True
                self._availability.record_failure(error)

    def _check_feed(self, change: Revision) -> None:
        if self.revision < change:
            self.doubt_feed()

    async def _follow(self) -> None:
        if self.revision == NO_REVISION:
            update = await self._source.read()
            self._apply(update)
            # The next changes are read from the revision of this snapshot on,
            # even if the snapshot is older than an update received before.
            self.revision = update.revision
            self._is_up_to_date = True
            self._on_report(update)
        self._backoff.reset()
        # If the platform has come back from a copy, no change may come after
        # this revision for long; an answer at once tells the era.
        wait = CHANGES_WAIT_SECONDS if self._is_up_to_date else 0.0
        update = await self._source.changes(self.revision, wait)
        self._history_losses.reset()
        self._is_up_to_date = True
        self._apply(update)
        self._on_report(update)
        self.revision = max(self.revision, update.revision)

    def _apply(self, update: OperatorUpdate) -> None:
        self.has_failed = False
        self._availability.record_success()
        self.receive(update, is_from_platform=True)


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
    on_verdicts : callable
        Called with the kept verdicts that the platform has sent.
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
        on_report: Callable[[MemberUpdate, Revision], None],
        on_verdicts: Callable[[tuple[VerdictRecord, ...]], None],
    ) -> None:
        self._gate = gate
        self._on_report = on_report
        self._on_verdicts = on_verdicts
        self._on_stale_entry = on_stale_entry
        self._directory = directory
        self._own = own
        self._on_change = on_change
        self._random = random
        self._backoff = Backoff(random)
        self._register_backoff = Backoff(random)
        self._history_losses = RepeatedLosses(Backoff(random))
        self._availability = availability
        self._feed_revision = NO_REVISION
        self._reported_revision = NO_REVISION
        self._table = MemberTable(own)
        self.newest_change = NO_REVISION
        self._registration_needed = asyncio.Event()
        self._rewrite_delay = 0.0
        self._has_registered = False
        self._is_up_to_date = False
        self._is_stopping = False
        self._registration_needed.set()

    @property
    def has_read(self) -> bool:
        """Whether the entries of the directory are known."""
        return self.revision != NO_REVISION

    @property
    def revision(self) -> Revision:
        """Revision up to which the entries are complete."""
        return self._table.revision

    @property
    def by_name(self) -> dict[str, Member]:
        """Known nodes by name, this node included."""
        return self._table.by_name

    def stored(self) -> tuple[Member, ...]:
        """Return the entries that the platform holds, this node's included."""
        return self._table.stored()

    def set_address(self, address: VmAddress) -> None:
        """Register another address at which other nodes reach this one."""
        self._own = replace(self._own, address=address)
        self._table.set_own(self._own)
        self._registration_needed.set()
        if self.has_read:
            self._on_change(self.by_name)

    def check(self, now: float) -> None:
        """Remove entries that were not written again; called every 0.1 s."""
        if self._table.end_hold(now):
            self._on_change(self.by_name)

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
        if update.verdicts:
            self._on_verdicts(update.verdicts)
        is_first = not self.has_read
        if NO_REVISION.era < self._feed_revision.era < update.revision.era:
            # This node still waits for changes of a former era.
            self._gate.interrupt()
        self.newest_change = max(self.newest_change, update.newest_change)
        if update.revision < self.revision:
            return
        self._check_own_entry(update, is_from_platform)
        if self._table.merge(update) or is_first:
            self._on_change(self.by_name)

    async def run(self) -> None:
        """Read the changed entries while this node follows, until cancelled."""
        while True:
            if not self._gate.is_open:
                await self._gate.wait()
                self._is_up_to_date = False
            try:
                await self._gate.run(self._follow())
            except TimeoutError:
                self._feed_revision = NO_REVISION
            except HistoryLostError as error:
                self._feed_revision = NO_REVISION
                self._availability.record_failure(error)
                self._gate.interrupt_outdated(error)
                await self._history_losses.wait()
            except PlatformError as error:
                self._is_up_to_date = False
                self._availability.record_failure(error)
                await self._backoff.wait()

    async def run_registration(self) -> None:
        """Register this node whenever its entry is missing, until cancelled."""
        while True:
            await self._registration_needed.wait()
            await asyncio.sleep(self._rewrite_delay)
            own = self._own
            try:
                is_replaced = await self._directory.register(
                    own, replaces=not self._is_stopping
                )
            except PlatformError as error:
                self._availability.record_failure(error)
                await self._register_backoff.wait()
                continue
            self._register_backoff.reset()
            self._rewrite_delay = 0.0
            if own == self._own:
                self._registration_needed.clear()
            if is_replaced and not self._has_registered:
                self._on_stale_entry()
            self._has_registered = True

    async def check_platform(self) -> None:
        """Apply changes that nobody has reported; does not wait for one.

        Raises
        ------
        PlatformError
            The platform does not answer.
        """
        try:
            update = await self._directory.changes(self.revision, 0.0)
        except HistoryLostError:
            update = await self._directory.read()
        self.receive(update, is_from_platform=True)

    def stop_replacing(self) -> None:
        """Leave the entry alone once a new process of the node has written it.

        Called when the planned stop begins. Two processes of the node would
        otherwise replace each other's entry until the stop ends.
        """
        self._is_stopping = True

    async def leave(self) -> None:
        """Remove the entry of this node; a failure is logged, not raised."""
        try:
            await self._directory.remove(self._own)
        except PlatformError as error:
            self._availability.record_failure(error)

    async def _follow(self) -> None:
        if self._feed_revision == NO_REVISION:
            update = await self._directory.read()
        else:
            wait = CHANGES_WAIT_SECONDS if self._is_up_to_date else 0.0
            update = await self._directory.changes(self._feed_revision, wait)
            self._history_losses.reset()
        self._is_up_to_date = True
        self._backoff.reset()
        self._availability.record_success()
        self._feed_revision = max(self._feed_revision, update.revision)
        self.receive(update, is_from_platform=True)
        if not update.is_snapshot and not update.changed + update.removed:
            return
        self._on_report(update, self._reported_revision)
        self._reported_revision = update.revision
        await asyncio.sleep(MEMBER_BATCH_SECONDS)

    def _check_own_entry(
        self, update: MemberUpdate, is_from_platform: bool
    ) -> None:
        own = self._own
        stored = None
        for member in update.changed:
            if member.name == own.name:
                stored = member
        if own.name in update.removed:
            stored = None
        if stored == own:
            return
        if stored is not None and stored.incarnation != own.incarnation:
            self._on_stale_entry()
        is_new_era = self._table.is_new_era(update)
        if is_new_era:
            self._rewrite_delay = REWRITE_SPREAD_SECONDS * self._random.random()
        is_complete = update.is_snapshot and (is_from_platform or is_new_era)
        is_replaced = stored is not None and is_from_platform
        if is_complete or is_replaced or own.name in update.removed:
            self._registration_needed.set()
