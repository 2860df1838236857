"""The sheet's head and sections on the platform."""

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
        Table service.
    objects : ObjectStore
        Object store.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_head(self) -> SheetHead | None:
        """Return the head in force, None before the first sheet."""
        row = await self._table.read_row(HEAD_KEY)
        return None if row is None else decode_head(row.content)

    async def read_section(self, digest: str) -> bytes | None:
        """Return a section's content, None when it is absent."""
        return await self._objects.read_object(_SECTION_PREFIX + digest)

    async def write_section(self, digest: str, content: bytes) -> None:
        """Write a section's content."""
        await self._objects.write_object(_SECTION_PREFIX + digest, content)

    async def read_sheet(self) -> Sheet:
        """Return the sheet in force, version 0 before the first one.

        Raises
        ------
        MustardshuntError
            A section is missing or bad.
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
