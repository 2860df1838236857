"""Reads and writes the parts of the sheet on the platform."""

from typing import Final

from mustardshunt.sheet import Sheet, SheetHead, decode_head, join_sections
from mustardshunt.stores._config_rows import HEAD_KEY
from mustardshunt.stores._protocols import ObjectStore, TableService

_SECTION_PREFIX: Final = 'sections/'


class SheetStore:
    """Reads the head, and reads and writes sections.

    Parameters
    ----------
    table : TableService
        Table service with the head.
    objects : ObjectStore
        Object store with the sections, each under its digest.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_head(self) -> SheetHead | None:
        """Return the active head, None before the first sheet."""
        row = await self._table.read_row(HEAD_KEY)
        return None if row is None else decode_head(row.content)

    async def read_section(self, digest: str) -> bytes | None:
        """Return the content of the section with a digest, None if absent."""
        return await self._objects.read_object(_SECTION_PREFIX + digest)

    async def write_section(self, digest: str, content: bytes) -> None:
        """Write the content of a section under its digest."""
        await self._objects.write_object(_SECTION_PREFIX + digest, content)

    async def read_sheet(self) -> Sheet:
        """Return the active sheet, an empty one of version 0 before the first.

        Raises
        ------
        MustardshuntError
            A section is missing or malformed.
        """
        head = await self.read_head()
        if head is None:
            return Sheet(0, {}, {}, {}, {})
        content_by_digest = {}
        for digest in set(head.digest_by_section.values()):
            content = await self.read_section(digest)
            if content is not None:
                content_by_digest[digest] = content
        return join_sections(head, content_by_digest)
