"""Tasks that keep a node's view of the deployment up to date."""

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

# How long a call for changes waits for one. Peers tell of changes that a
# silent feed has missed, so this need not be short.
FEED_SECONDS: Final = 18.0
# Changes that follow each other are read together.
GATHER_SECONDS: Final = 0.2
FIRST_PAUSE: Final = 0.2
# The store is to be used again within two seconds of its return.
LONGEST_PAUSE: Final = 1.4
# A change that a peer knows and the feed has not brought is read after this.
REFRESH_DELAY_SECONDS: Final = 0.15


class _Pause:
    """Growing pauses between calls that fail."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._seconds = FIRST_PAUSE

    def reset(self) -> None:
        self._seconds = FIRST_PAUSE

    async def wait(self) -> None:
        await asyncio.sleep(self._seconds * (0.7 + 0.6 * self._random.random()))
        self._seconds = min(LONGEST_PAUSE, self._seconds * 2)


class PlatformAvailability:
    """Whether the platform answers, logged when that changes.

    Parameters
    ----------
    duty : str
        What the calls are for.
    log : EventLog
        Takes the changes.
    metrics : SidecarMetrics
        Counts failures.
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
        """Note a call that was answered."""
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
        """Note a call that failed."""
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
    """Follows what operators declare.

    Parameters
    ----------
    source : OperatorSource
        Where operators declare it.
    take : callable
        Takes news.
    random : RandomSource
        Spreads the calls of many nodes.
    dependency : PlatformAvailability
        Logs losses of the platform.
    """

    def __init__(
        self,
        source: OperatorSource,
        take: Callable[[OperatorUpdate], None],
        random: RandomSource,
        dependency: PlatformAvailability,
    ) -> None:
        self._source = source
        self._take = take
        self._pause = _Pause(random)
        self._dependency = dependency
        self._reread = asyncio.Event()
        self._wanted = -1
        self._seen = -1
        self.revision = -1

    def request_refresh(self, revision: int) -> None:
        """Read again soon, unless the feed brings what a peer knows."""
        self._wanted = max(self._wanted, revision)
        self._reread.set()

    async def run(self) -> None:
        """Follow the changes until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                self.revision = -1
                self._dependency.record_failure(error)
            except PlatformError as error:
                self._dependency.record_failure(error)
                await self._pause.wait()

    async def run_refreshes(self) -> None:
        """Read the whole state when asked to, until cancelled."""
        while True:
            await self._reread.wait()
            await asyncio.sleep(REFRESH_DELAY_SECONDS)
            self._reread.clear()
            if self._seen >= self._wanted:
                continue
            try:
                self._accept(await self._source.read())
            except PlatformError as error:
                self._dependency.record_failure(error)

    async def _follow(self) -> None:
        if self.revision < 0:
            news = await self._source.read()
            self._accept(news)
            # Changes since this read are asked for, also when it was stale.
            self.revision = news.revision
        self._pause.reset()
        news = await self._source.changes(self.revision, FEED_SECONDS)
        self._accept(news)
        self.revision = max(self.revision, news.revision)

    def _accept(self, news: OperatorUpdate) -> None:
        self._dependency.record_success()
        self._seen = max(self._seen, news.revision)
        self._take(news)


class MemberSync:
    """Registers this node and follows the entries of the others.

    Parameters
    ----------
    directory : MemberDirectory
        Where nodes find each other.
    own : Member
        This node's entry.
    take : callable
        Takes the members by name when they have changed.
    random : RandomSource
        Spreads the calls of many nodes.
    on_stale_entry : callable
        Called when an earlier run of this node has left an entry.
    dependency : PlatformAvailability
        Logs losses of the platform.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        own: Member,
        take: Callable[[dict[str, Member]], None],
        random: RandomSource,
        on_stale_entry: Callable[[], None],
        dependency: PlatformAvailability,
    ) -> None:
        self._on_former = on_stale_entry
        self._directory = directory
        self._own = own
        self._take = take
        self._pause = _Pause(random)
        self._register_pause = _Pause(random)
        self._dependency = dependency
        self._revision = -1
        self._must_register = asyncio.Event()
        self.by_name: dict[str, Member] = {}
        self._must_register.set()

    @property
    def has_read(self) -> bool:
        """Whether the entries were read since the start."""
        return self._revision >= 0

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                self._revision = -1
                self._dependency.record_failure(error)
            except PlatformError as error:
                self._dependency.record_failure(error)
                await self._pause.wait()

    async def run_registration(self) -> None:
        """Write the own entry whenever it is missing, until cancelled."""
        while True:
            await self._must_register.wait()
            try:
                await self._directory.register(self._own)
            except PlatformError as error:
                self._dependency.record_failure(error)
                await self._register_pause.wait()
                continue
            self._register_pause.reset()
            self._must_register.clear()

    async def leave(self) -> None:
        """Remove the own entry."""
        try:
            await self._directory.remove(self._own.name)
        except PlatformError as error:
            self._dependency.record_failure(error)

    async def _follow(self) -> None:
        is_first = not self.has_read
        if is_first:
            news = await self._directory.read()
        else:
            news = await self._directory.changes(self._revision, FEED_SECONDS)
        self._pause.reset()
        self._dependency.record_success()
        self._revision = max(self._revision, news.revision)
        if self._merge(news) or is_first:
            self._take(self.by_name)
            await asyncio.sleep(GATHER_SECONDS)

    def _merge(self, news: MemberUpdate) -> bool:
        by_name = {} if news.is_snapshot else dict(self.by_name)
        for member in news.changed:
            _drop_former(by_name, member)
            by_name[member.name] = member
        for name in news.removed:
            by_name.pop(name, None)
        own = by_name.get(self._own.name)
        if own is not None and own != self._own:
            self._on_former()
        if own != self._own and news.is_snapshot | (
            self._own.name in news.removed
        ):
            self._must_register.set()
        by_name[self._own.name] = self._own
        has_changed = by_name != self.by_name
        self.by_name = by_name
        return has_changed


def _drop_former(by_name: dict[str, Member], member: Member) -> None:
    """Remove the entry of a node whose address another node has now."""
    for name, other in list(by_name.items()):
        if other.address == member.address and name != member.name:
            del by_name[name]
