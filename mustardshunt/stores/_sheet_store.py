"""Reads and writes the head and the sections of sheets on the platform.

The sheet is the table of organisations, keys, routes and data centres that
operators accept. The head of a sheet holds the version number and the digests
of the sections.
"""

from typing import Final

from mustardshunt.sheet import Sheet, SheetHead, decode_head, join_sections
from mustardshunt.stores._config_rows import HEAD_KEY
from mustardshunt.stores._protocols import ObjectStore, TableService

_SECTION_PREFIX: Final = 'sections/'


class SheetStore:
    """Reads the head of the active sheet, and reads and writes sections.

    Parameters
    ----------
    table : TableService
        Table service with the head of the active sheet.
    objects : ObjectStore
        Object store with the sections, each stored under the section's digest.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_head(self) -> SheetHead | None:
        """Return the head of the active sheet, None before the first sheet."""
        row = await self._table.read_row(HEAD_KEY)
        return None if row is None else decode_head(row.content)

    async def read_section(self, digest: str) -> bytes | None:
        """Return the section with a digest, None when it is not stored."""
        return await self._objects.read_object(_SECTION_PREFIX + digest)

    async def write_section(self, digest: str, content: bytes) -> None:
        """Write the content of a section to the object store."""
        await self._objects.write_object(_SECTION_PREFIX + digest, content)

    async def read_sheet(self) -> Sheet:
        """Return the active sheet, or an empty sheet of version 0.

        The empty sheet is returned before operators accept the first sheet.

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
