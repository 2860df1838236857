"""The version in force on one node."""

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

# Source of heads and sections that stands for the platform.
PLATFORM_SOURCE: Final = Incarnation('')
# A link answers within milliseconds; after this a section counts as lost.
FETCH_SECONDS: Final = 1.0
# Heads that are fetched or remembered as bad at the same time; more than one
# only while operators accept faster than sections arrive.
MAX_HEADS: Final = 8


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """A head was read from the platform or came from a neighbour.

    Parameters
    ----------
    head : SheetHead
        The head.
    source : Incarnation, default=PLATFORM_SOURCE
        Neighbour that announced it, or the platform.
    """

    head: SheetHead
    source: Incarnation = PLATFORM_SOURCE


@dataclass(frozen=True, slots=True)
class SectionArrived:
    """A source answered a fetch.

    Parameters
    ----------
    digest : str
        Digest that was asked for.
    content : bytes or None
        Content; None when the source has none.
    source : Incarnation, default=PLATFORM_SOURCE
        Who answered.
    """

    digest: str
    content: bytes | None
    source: Incarnation = PLATFORM_SOURCE


@dataclass(frozen=True, slots=True)
class FetchSection:
    """Fetch a section.

    Parameters
    ----------
    digest : str
        Digest of the section.
    source : Incarnation
        Neighbour or platform.
    """

    digest: str
    source: Incarnation


@dataclass(frozen=True, slots=True)
class ActivateSheet:
    """Serve by this sheet from now on.

    Parameters
    ----------
    sheet : Sheet
        Sheet with a higher version than any before.
    """

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class AnnounceHead:
    """Announce this head to the neighbours.

    Parameters
    ----------
    head : SheetHead
        Head in force.
    """

    head: SheetHead


@dataclass(frozen=True, slots=True)
class ReportRejectedHead:
    """The content that a head names is bad; the former sheet stays in force.

    Parameters
    ----------
    head : SheetHead
        Head that is not accepted.
    reason : str
        Section at fault and what was expected.
    """

    head: SheetHead
    reason: str


SheetEvent: TypeAlias = HeadReceived | SectionArrived
SheetAction: TypeAlias = (
    FetchSection | ActivateSheet | AnnounceHead | ReportRejectedHead
)


class SheetReplica:
    """Decides which version of the sheet is in force on a node.

    The version only rises, and a sheet is only made of the sections that one
    head names, each checked against its digest.

    Parameters
    ----------
    sheet : Sheet
        Sheet in force at the start.

    Examples
    --------
    >>> registry = make_sheet_replica()
    >>> head = SheetHead(1, {'routes': 'ab'})
    >>> registry.handle(HeadReceived(head), now=0.0)
    [FetchSection(digest='ab', source='')]
    """

    def __init__(self, sheet: Sheet) -> None:
        self.sheet = sheet
        self._head: SheetHead | None = None
        self._content_by_digest: dict[str, bytes] = {}
        self._pending: list[SheetHead] = []
        self._rejected: list[SheetHead] = []
        self._asked_at_by_digest: dict[str, float] = {}

    @property
    def head(self) -> SheetHead | None:
        """Head in force, None before the first sheet."""
        return self._head

    def find_section(self, digest: str) -> bytes | None:
        """Return a section's content for a neighbour that asks for it."""
        return self._content_by_digest.get(digest)

    def handle(self, event: SheetEvent, now: float) -> list[SheetAction]:
        """Take in a head or a section.

        Parameters
        ----------
        event : HeadReceived or SectionArrived
            What was seen.
        now : float
            Time in seconds.

        Returns
        -------
        list of SheetAction
            What is to be done.
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
        return self._put_in_force() or self._fetch(head, event.source, now)

    def _handle_section(
        self,
        event: SectionArrived,
        now: float,
    ) -> list[SheetAction]:
        digest, content = event.digest, event.content
        if digest not in self._list_missing(self._pending):
            return []
        if content is not None and digest_content(content) == digest:
            self._content_by_digest[digest] = content
            self._asked_at_by_digest.pop(digest, None)
            return self._put_in_force()
        if event.source == PLATFORM_SOURCE:
            # The next head that is seen asks again.
            self._asked_at_by_digest.pop(digest, None)
            return []
        self._asked_at_by_digest[digest] = now
        return [FetchSection(digest, PLATFORM_SOURCE)]

    def _fetch(
        self,
        head: SheetHead,
        source: Incarnation,
        now: float,
    ) -> list[SheetAction]:
        actions: list[SheetAction] = []
        for digest in self._list_missing([head]):
            asked_at = self._asked_at_by_digest.get(digest)
            if asked_at is not None and now - asked_at < FETCH_SECONDS:
                continue
            self._asked_at_by_digest[digest] = now
            actions.append(FetchSection(digest, source))
        return actions

    def _put_in_force(self) -> list[SheetAction]:
        """Put the highest complete head in force, if there is one."""
        actions: list[SheetAction] = []
        for head in reversed(self._pending):
            if self._list_missing([head]):
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
        self._forget()
        return actions

    def _forget(self) -> None:
        """Drop heads that are decided and contents that none needs."""
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
        for digest in self._asked_at_by_digest.keys() - needed:
            del self._asked_at_by_digest[digest]

    def _list_missing(self, heads: Sequence[SheetHead]) -> list[str]:
        return [
            digest
            for head in heads
            for digest in dict.fromkeys(head.digest_by_section.values())
            if digest not in self._content_by_digest
        ]


def make_sheet_replica(sheet: Sheet | None = None) -> SheetReplica:
    """Make the registry of a node that starts.

    Parameters
    ----------
    sheet : Sheet or None, default=None
        Sheet in force at the start; None stands for version 0, which has no
        organisation and no route.

    Returns
    -------
    SheetReplica
        Registry.
    """
    return SheetReplica(sheet or Sheet(0, {}, {}, {}, {}))
