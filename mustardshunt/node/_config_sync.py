"""Keeps the sheet of a node up to date from the platform and from peers.

The sheet is the table of organisations, keys, routes and data centres that
operators have accepted. A head is the record of a sheet version: the number of
the version and the digests of the sheet's sections.
"""

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

# At this interval, 940 nodes cause 188 reads a second. With the jitter, a node
# reads a new version within 6 s even when no peer announces the version.
CONFIG_POLL_INTERVAL_SECONDS: Final = 5.0
_POLL_JITTER: Final = 0.2
# Announcements are 2 s apart. A peer that has not announced the active version
# gets the head each time. A peer that has announced this version gets only the
# version number, in every fifth announcement.
VERSION_ONLY_PERIOD: Final = 5


@dataclass(frozen=True, slots=True)
class SectionRequestFrame:
    """Requests the content of a sheet section from a peer.

    Parameters
    ----------
    digest : str
        SHA-256 digest of the content.
    """

    digest: str


@dataclass(frozen=True, slots=True)
class SectionFrame:
    """Content of a sheet section, in reply to a request.

    Parameters
    ----------
    digest : str
        SHA-256 digest of the content.
    content : bytes or None
        Content, None when the peer does not have the section.
    """

    digest: str
    content: bytes | None


class ConfigSync:
    """Fetches heads and sections of the sheet, and announces heads to peers.

    Parameters
    ----------
    registry : SheetReplica
        Decides which sections to fetch and which sheet version is active.
    store : ConfigStore
        Configuration on the platform.
    send : callable
        Sends a frame to a peer; returns False when there is no link.
    broadcast : callable
        Sends a frame to all neighbours.
    list_neighbours : callable
        Returns the neighbours to which a link is open.
    metrics : NodeMetrics
        Counters and gauges.
    clock : Clock
        Source of the time.
    random : RandomSource
        Source of the jitter between the reads.
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
        # The sheet version that is active on each peer, as last announced by
        # the peer.
        self._version_by_peer: dict[Incarnation, int] = {}
        self._announcement_count = 0
        self._subscribers: list[Callable[[Sheet], None]] = []
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._digests_to_fetch: asyncio.Queue[str] = asyncio.Queue()
        self._confirmed_at: float | None = None

    @property
    def seconds_since_confirmed(self) -> float:
        """Seconds since the head was last read from the platform.

        The value is infinite before the first read. Announcements of peers do
        not count: in a data centre that is cut off from the platform, all peers
        announce the same version, which may be out of date.
        """
        if self._confirmed_at is None:
            return float('inf')
        return self._clock.now() - self._confirmed_at

    def subscribe(self, handle_sheet: Callable[[Sheet], None]) -> None:
        """Call a function with each sheet that becomes active."""
        self._subscribers.append(handle_sheet)

    async def run_poll(self) -> None:
        """Read the head of the active sheet from the platform periodically.

        Jitter spreads the reads of the nodes.
        """
        while True:
            await self.poll()
            jitter = _POLL_JITTER * (2 * self._random.random() - 1)
            await asyncio.sleep(CONFIG_POLL_INTERVAL_SECONDS * (1 + jitter))

    async def poll(self) -> None:
        """Read the newest head from the platform once, and handle the head.

        A failed read is counted as an event.
        """
        try:
            head = await self._store.read_head()
        except MustardshuntError as error:
            self._metrics.count_event(f'head-{error.code.value}')
            return
        self._confirmed_at = self._clock.now()
        if head is not None:
            self.handle(HeadReceived(head))

    async def run_fetch(self) -> None:
        """Fetch the queued sections from the platform one after the other."""
        while True:
            digest = await self._digests_to_fetch.get()
            try:
                content = await self._store.read_section(digest)
            except MustardshuntError as error:
                self._metrics.count_event(f'section-{error.code.value}')
                content = None
            self.handle(SectionArrived(digest, content))

    def handle(self, event: SheetEvent) -> None:
        """Pass an event to the registry and carry out the resulting actions."""
        self._apply(self._registry.handle(event, self._clock.now()))

    def handle_head(self, link: Link, head: SheetHead) -> None:
        """Record the active version of a peer, and handle the peer's head."""
        self._version_by_peer[link.incarnation] = head.version
        # A peer sends a head without digests when this node has announced the
        # same version before; such a head contains nothing to fetch.
        if head.digest_by_section:
            self.handle(HeadReceived(head, link.incarnation))

    def handle_section_request(
        self, link: Link, request: SectionRequestFrame
    ) -> None:
        """Send the requested section to a peer.

        When this node does not have the section, the frame has no content.
        """
        content = self._registry.find_section(request.digest)
        link.send(SectionFrame(request.digest, content))

    def handle_section(self, link: Link, frame: SectionFrame) -> None:
        """Pass a section that a peer has sent to the registry."""
        event = SectionArrived(frame.digest, frame.content, link.incarnation)
        self.handle(event)

    def handle_open(self, link: Link) -> None:
        """Send the head of the active sheet to a peer at link open."""
        if self._registry.head is not None:
            link.send(self._registry.head)

    def announce_version(self) -> None:
        """Announce the active sheet version to the neighbours again.

        When a neighbour's fetch from the platform has failed, the neighbour
        tries again when the head arrives. A head has about 1.4 KB. So a
        neighbour that has announced this version gets only the number, in
        every fifth round.
        """
        head = self._registry.head
        neighbours = self._list_neighbours()
        for peer in self._version_by_peer.keys() - set(neighbours):
            # This peer has no link now. The peer announces its version again
            # when a link opens.
            del self._version_by_peer[peer]
        if head is None:
            return
        self._announcement_count += 1
        is_version_only_due = (
            self._announcement_count % VERSION_ONLY_PERIOD == 0
        )
        version_alone = SheetHead(head.version, {})
        for neighbour in neighbours:
            if self._version_by_peer.get(neighbour, 0) < head.version:
                self._send(neighbour, head)
            elif is_version_only_due:
                self._send(neighbour, version_alone)

    def _apply(self, actions: Iterable[SheetAction]) -> None:
        for action in actions:
            match action:
                case FetchSection(digest, source):
                    self._fetch(digest, source)
                case ActivateSheet(sheet):
                    logger.info('sheet version {} is in force', sheet.version)
                    for handle_sheet in self._subscribers:
                        handle_sheet(sheet)
                case AnnounceHead(head):
                    self._broadcast(head)
                case ReportRejectedHead(head, reason):
                    logger.error(
                        'sheet version {} rejected, version {} stays in force: '
                        '{}',
                        head.version,
                        self._registry.sheet.version,
                        reason,
                    )

    def _fetch(self, digest: str, source: Incarnation) -> None:
        if source != PLATFORM_SOURCE and self._send(
            source, SectionRequestFrame(digest)
        ):
            return
        self._digests_to_fetch.put_nowait(digest)
