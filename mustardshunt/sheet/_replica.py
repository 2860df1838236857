"""Chooses which version of the sheet is active on one node.

A sheet version is published as a head and sections. The head is the record of
the version number and the digests of the sections.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.base import Incarnation, MustardshuntError
from mustardshunt.sheet._model import Sheet
from mustardshunt.sheet._sections import (
    SheetHead,
    digest_content,
    join_sections,
)

# Value of ``source`` for sheet heads and sections that come from the platform
# (its table service and object store) and not from a neighbour.
PLATFORM_SOURCE: Final = Incarnation('')
# Time without an answer after which a section request counts as lost. The
# request may then be sent again. A neighbour usually answers within
# milliseconds.
FETCH_TIMEOUT_SECONDS: Final = 1.0
# Most sheet heads that wait for their sections. The same limit applies to the
# rejected heads that are kept. More than one head waits only while operators
# accept versions faster than the sections arrive.
MAX_HEADS: Final = 8


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """A sheet head was read from the platform or announced by a neighbour.

    Parameters
    ----------
    head : SheetHead
        Record of a sheet version: the version number and the digests of its
        sections.
    source : Incarnation, default=PLATFORM_SOURCE
        Neighbour that announced the head, or the platform.
    """

    head: SheetHead
    source: Incarnation = PLATFORM_SOURCE


@dataclass(frozen=True, slots=True)
class SectionArrived:
    """A neighbour or the platform has answered the request for a section.

    Parameters
    ----------
    digest : str
        Digest of the requested section.
    content : bytes or None
        Content of the section; None when the source does not have it.
    source : Incarnation, default=PLATFORM_SOURCE
        Neighbour that answered, or the platform.
    """

    digest: str
    content: bytes | None
    source: Incarnation = PLATFORM_SOURCE


@dataclass(frozen=True, slots=True)
class FetchSection:
    """Request a section of a sheet from a neighbour or from the platform.

    Parameters
    ----------
    digest : str
        Digest of the section.
    source : Incarnation
        Neighbour to request the section from, or the platform.
    """

    digest: str
    source: Incarnation


@dataclass(frozen=True, slots=True)
class ActivateSheet:
    """Use a sheet as the active sheet of this node.

    Parameters
    ----------
    sheet : Sheet
        Sheet with a higher version than all sheets that were active before.
    """

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class AnnounceHead:
    """Announce the head of the new active sheet to the neighbours.

    Parameters
    ----------
    head : SheetHead
        Head of the active sheet.
    """

    head: SheetHead


@dataclass(frozen=True, slots=True)
class ReportRejectedHead:
    """Report that the sections of a sheet version are invalid.

    The sheet that was active before stays active.

    Parameters
    ----------
    head : SheetHead
        Head of the rejected version.
    reason : str
        The invalid section or record, and the expected content.
    """

    head: SheetHead
    reason: str


SheetEvent: TypeAlias = HeadReceived | SectionArrived
SheetAction: TypeAlias = (
    FetchSection | ActivateSheet | AnnounceHead | ReportRejectedHead
)


class SheetReplica:
    """Copy of the sheet at this node, which chooses the active version.

    The version of the active sheet never decreases. All sections of a sheet are
    listed by the same sheet head, so that versions are never mixed. Each
    section is checked against its digest in the head.

    Parameters
    ----------
    sheet : Sheet
        Sheet that is active at the start.

    Examples
    --------
    >>> replica = make_sheet_replica()
    >>> head = SheetHead(1, {'routes': 'ab'})
    >>> replica.handle(HeadReceived(head), now=0.0)
    [FetchSection(digest='ab', source='')]
    """

    def __init__(self, sheet: Sheet) -> None:
        self.sheet = sheet
        self._head: SheetHead | None = None
        self._content_by_digest: dict[str, bytes] = {}
        self._pending: list[SheetHead] = []
        self._rejected: list[SheetHead] = []
        self._requested_at_by_digest: dict[str, float] = {}

    @property
    def head(self) -> SheetHead | None:
        """Head of the active sheet; None before the first sheet is active."""
        return self._head

    def find_section(self, digest: str) -> bytes | None:
        """Return a section's content; None when this node has not stored it."""
        return self._content_by_digest.get(digest)

    def handle(self, event: SheetEvent, now: float) -> list[SheetAction]:
        """Store a sheet head or a section and return the resulting actions.

        The highest version of which all sections are stored becomes active.
        Missing sections are requested.

        Parameters
        ----------
        event : HeadReceived or SectionArrived
            Event to handle.
        now : float
            Time in seconds.

        Returns
        -------
        list of SheetAction
            Actions, in the order in which they are to be carried out.
        """
        if isinstance(event, HeadReceived):
            return self._handle_head(event, now)
        return self._handle_section(event, now)

    def _handle_head(
        self, event: HeadReceived, now: float
    ) -> list[SheetAction]:
        head = event.head
        if head.version <= self.sheet.version or head in self._rejected:
            return []
        if head not in self._pending:
            self._pending.append(head)
            self._pending.sort(key=lambda pending: pending.version)
            del self._pending[:-MAX_HEADS]
        return self._activate() or self._fetch(head, event.source, now)

    def _handle_section(
        self,
        event: SectionArrived,
        now: float,
    ) -> list[SheetAction]:
        digest, content = event.digest, event.content
        if digest not in self._find_missing(self._pending):
            return []
        if content is not None and digest_content(content) == digest:
            self._content_by_digest[digest] = content
            self._requested_at_by_digest.pop(digest, None)
            return self._activate()
        if event.source == PLATFORM_SOURCE:
            # The platform did not return a valid section. The request is sent
            # again when the sheet head is received again.
            self._requested_at_by_digest.pop(digest, None)
            return []
        self._requested_at_by_digest[digest] = now
        return [FetchSection(digest, PLATFORM_SOURCE)]

    def _fetch(
        self,
        head: SheetHead,
        source: Incarnation,
        now: float,
    ) -> list[SheetAction]:
        actions: list[SheetAction] = []
        for digest in self._find_missing([head]):
            requested_at = self._requested_at_by_digest.get(digest)
            if (
                requested_at is not None
                and now - requested_at < FETCH_TIMEOUT_SECONDS
            ):
                continue
            self._requested_at_by_digest[digest] = now
            actions.append(FetchSection(digest, source))
        return actions

    def _activate(self) -> list[SheetAction]:
        """Activate the highest version whose sections are all stored."""
        actions: list[SheetAction] = []
        for head in reversed(self._pending):
            if self._find_missing([head]):
                continue
            try:
                sheet = join_sections(head, self._content_by_digest)
            except MustardshuntError as error:
                self._rejected = [*self._rejected, head][-MAX_HEADS:]
                actions.append(ReportRejectedHead(head, str(error)))
                continue
            self.sheet = sheet
            self._head = head
            actions += (ActivateSheet(sheet), AnnounceHead(head))
            break
        self._drop_unneeded()
        return actions

    def _drop_unneeded(self) -> None:
        """Drop heads and sections that are no longer needed.

        These are superseded and rejected heads, and sections that no remaining
        head lists.
        """
        self._pending = [
            head
            for head in self._pending
            if head.version > self.sheet.version and head not in self._rejected
        ]
        heads = [*self._pending, *([self._head] if self._head else [])]
        needed = {
            digest
            for head in heads
            for digest in head.digest_by_section.values()
        }
        for digest in self._content_by_digest.keys() - needed:
            del self._content_by_digest[digest]
        for digest in self._requested_at_by_digest.keys() - needed:
            del self._requested_at_by_digest[digest]

    def _find_missing(self, heads: Sequence[SheetHead]) -> list[str]:
        return [
            digest
            for head in heads
            for digest in dict.fromkeys(head.digest_by_section.values())
            if digest not in self._content_by_digest
        ]


def make_sheet_replica(sheet: Sheet | None = None) -> SheetReplica:
    """Return the sheet replica for a node that is starting.

    Parameters
    ----------
    sheet : Sheet or None, default=None
        Sheet that is active at the start. None selects the empty sheet of
        version 0, which has no organisations and no routes.

    Returns
    -------
    SheetReplica
        Replica that has not stored any sections yet.
    """
    return SheetReplica(sheet or Sheet(0, {}, {}, {}, {}))
