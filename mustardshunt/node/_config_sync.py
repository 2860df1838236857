"""Keeps the sheet of a node up to date from the platform and its peers."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from loguru import logger

from mustardshunt.base import (
    Clock,
    Incarnation,
    MustardshuntError,
    RandomSource,
)
from mustardshunt.observability import NodeMetrics
from mustardshunt.sheet import (
    PLATFORM_SOURCE,
    ActivateSheet,
    AnnounceHead,
    FetchSection,
    HeadReceived,
    ReportRejectedHead,
    SectionArrived,
    Sheet,
    SheetAction,
    SheetEvent,
    SheetHead,
    SheetReplica,
)
from mustardshunt.stores import ConfigStore
from mustardshunt.transport import Link

# 940 nodes cause 188 reads a second; with the spread, a node that no peer
# tells still learns of a version within 6 s.
CONFIG_POLL_INTERVAL_SECONDS: Final = 5.0
_POLL_SPREAD: Final = 0.2
# Announcements, 2 s apart, of which one goes to peers that have the version.
VERSION_ONLY_PERIOD: Final = 5


@dataclass(frozen=True, slots=True)
class SectionRequestFrame:
    """Asks a peer for the content of a section.

    Parameters
    ----------
    digest : str
        SHA-256 digest of the content.
    """

    digest: str


@dataclass(frozen=True, slots=True)
class SectionFrame:
    """Content of a section, None when the peer has none.

    Parameters
    ----------
    digest : str
        SHA-256 digest of the content.
    content : bytes or None
        Content.
    """

    digest: str
    content: bytes | None


class ConfigSync:
    """Reads heads and sections, and passes new heads on.

    Parameters
    ----------
    registry : SheetReplica
        Decides which version is in force.
    store : ConfigStore
        Configuration on the platform.
    send : callable
        Sends a frame to a peer; False when there is no link.
    broadcast : callable
        Sends a frame to all neighbours.
    list_neighbours : callable
        Returns the neighbours with a link.
    metrics : NodeMetrics
        Counters and gauges.
    clock : Clock
        Source of the time.
    random : RandomSource
        Spreads the reads of the nodes.
    """

    def __init__(
        self,
        registry: SheetReplica,
        store: ConfigStore,
        send: Callable[[Incarnation, object], bool],
        broadcast: Callable[[object], None],
        list_neighbours: Callable[[], Sequence[Incarnation]],
        metrics: NodeMetrics,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._registry = registry
        self._store = store
        self._send = send
        self._broadcast = broadcast
        self._list_neighbours = list_neighbours
        # Versions in force at peers, as far as they have told.
        self._version_by_peer: dict[Incarnation, int] = {}
        self._announced = 0
        self._subscribers: list[Callable[[Sheet], None]] = []
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._fetches: asyncio.Queue[str] = asyncio.Queue()
        self._confirmed_at: float | None = None

    @property
    def seconds_since_confirmed(self) -> float:
        """Seconds since the platform last named a version to this node.

        What peers say does not count: in a data centre that is cut off they
        all name the same version, which may be an old one.
        """
        if self._confirmed_at is None:
            return float('inf')
        return self._clock.now() - self._confirmed_at

    def subscribe(self, take_sheet: Callable[[Sheet], None]) -> None:
        """Tell a part of the node of each sheet that comes into force."""
        self._subscribers.append(take_sheet)

    async def run_poll(self) -> None:
        """Read the head from the platform again and again."""
        while True:
            await self.poll()
            spread = _POLL_SPREAD * (2 * self._random.random() - 1)
            await asyncio.sleep(CONFIG_POLL_INTERVAL_SECONDS * (1 + spread))

    async def poll(self) -> None:
        """Read the head from the platform once."""
        try:
            head = await self._store.read_head()
        except MustardshuntError as error:
            self._metrics.count_event(f'head-{error.code.value}')
            return
        self._confirmed_at = self._clock.now()
        if head is not None:
            self.handle(HeadReceived(head))

    async def run_fetch(self) -> None:
        """Fetch sections from the platform one after the other."""
        while True:
            digest = await self._fetches.get()
            try:
                content = await self._store.read_section(digest)
            except MustardshuntError as error:
                self._metrics.count_event(f'section-{error.code.value}')
                content = None
            self.handle(SectionArrived(digest, content))

    def handle(self, event: SheetEvent) -> None:
        """Feed an event to the registry and carry out its actions."""
        self._apply(self._registry.handle(event, self._clock.now()))

    def handle_head(self, link: Link, head: SheetHead) -> None:
        """Take the head that is in force at a peer."""
        self._version_by_peer[link.incarnation] = head.version
        # A version alone comes from a peer to which this node has named it.
        if head.digest_by_section:
            self.handle(HeadReceived(head, link.incarnation))

    def handle_section_request(
        self, link: Link, ask: SectionRequestFrame
    ) -> None:
        """Answer a peer that asks for a section."""
        content = self._registry.find_section(ask.digest)
        link.send(SectionFrame(ask.digest, content))

    def handle_section(self, link: Link, frame: SectionFrame) -> None:
        """Take a section from a peer."""
        event = SectionArrived(frame.digest, frame.content, link.incarnation)
        self.handle(event)

    def handle_open(self, link: Link) -> None:
        """Tell a peer, to which a link has opened, the head in force."""
        if self._registry.head is not None:
            link.send(self._registry.head)

    def announce_version(self) -> None:
        """Tell the neighbours the version in force again.

        A neighbour whose fetch from the platform failed asks again when it
        sees the head. A head has about 1.4 KB, so a peer that has named this
        version itself gets the version alone, and more rarely.
        """
        head = self._registry.head
        neighbours = self._list_neighbours()
        for peer in self._version_by_peer.keys() - set(neighbours):
            # The peer tells its version anew when a link opens.
            del self._version_by_peer[peer]
        if head is None:
            return
        self._announced += 1
        names_version = self._announced % VERSION_ONLY_PERIOD == 0
        version_alone = SheetHead(head.version, {})
        for neighbour in neighbours:
            if self._version_by_peer.get(neighbour, 0) < head.version:
                self._send(neighbour, head)
            elif names_version:
                self._send(neighbour, version_alone)

    def _apply(self, actions: Iterable[SheetAction]) -> None:
        for action in actions:
            match action:
                case FetchSection(digest, source):
                    self._fetch(digest, source)
                case ActivateSheet(sheet):
                    logger.info('sheet version {} is in force', sheet.version)
                    for take_sheet in self._subscribers:
                        take_sheet(sheet)
                case AnnounceHead(head):
                    self._broadcast(head)
                case ReportRejectedHead(head, reason):
                    logger.error(
                        'sheet version {} is not accepted: {}',
                        head.version,
                        reason,
                    )

    def _fetch(self, digest: str, source: Incarnation) -> None:
        if source != PLATFORM_SOURCE and self._send(
            source, SectionRequestFrame(digest)
        ):
            return
        self._fetches.put_nowait(digest)
