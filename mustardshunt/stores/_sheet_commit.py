"""Makes one sheet draft the active sheet, even if answers are lost.

A draft is a sheet that is not yet accepted. The head of a sheet holds the
version number and the digests of the sections.
"""

from dataclasses import dataclass

from mustardshunt.base import MustardshuntError
from mustardshunt.sheet import (
    Sheet,
    SheetChange,
    SheetDraft,
    SheetHead,
    compare_sheets,
    decode_head,
    encode_head,
    split_sheet,
)
from mustardshunt.stores._config_rows import (
    HEAD_KEY,
    accepted_key,
    encode_accepted,
)
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)
from mustardshunt.stores._sheet_store import SheetStore


class SheetConflictError(ConflictError):
    """Another operator's sheet has become active since the draft was made.

    Parameters
    ----------
    base_version : int
        Version that the rejected draft was made from.
    head : SheetHead
        Head of the active sheet.
    changes : list of SheetChange
        Changes from the sheet that the draft was made from to the active sheet.
    """

    def __init__(
        self,
        base_version: int,
        head: SheetHead,
        changes: list[SheetChange],
    ) -> None:
        listed = '; '.join(map(str, changes)) or 'no difference'
        super().__init__(
            f'the draft was made from version {base_version}, but version '
            f'{head.version} is in force; changes since then: {listed}',
        )
        self.head = head
        self.changes = changes


@dataclass(frozen=True, slots=True)
class AcceptResult:
    """Result for a draft that has become the active sheet.

    Parameters
    ----------
    version : int
        Version of the sheet that the draft became.
    changed : bool
        True when this command made the draft the active sheet, False when the
        draft was already active before.
    """

    version: int
    changed: bool


class SheetCommit:
    """Makes one sheet draft the active sheet, in one or more attempts.

    When the answer to an attempt is lost, the caller may try again. Each
    attempt first reads whether an earlier attempt has already made the draft
    the active sheet.

    Parameters
    ----------
    table : TableService
        Table service with the head of the sheet.
    sheets : SheetStore
        Reads and writes sections of sheets on the platform.
    draft : SheetDraft
        Validated draft.
    base : Sheet
        Sheet that the draft was made from.
    """

    def __init__(
        self,
        table: TableService,
        sheets: SheetStore,
        draft: SheetDraft,
        base: Sheet,
    ) -> None:
        self._table = table
        self._sheets = sheets
        self._base = base
        head, content_by_digest = split_sheet(draft, base.version + 1)
        self._head = head
        self._content_by_digest = content_by_digest
        # True after the answer to a commit was lost: the draft may then be the
        # active sheet.
        self._may_be_committed = False

    async def attempt(self) -> AcceptResult | None:
        """Try once to make the draft the active sheet.

        Returns
        -------
        AcceptResult or None
            None when an answer was lost or the commit conflicted. The next
            attempt then finds out which version is active.

        Raises
        ------
        SheetConflictError
            Another version has become active since the base was read.
        PlatformUnavailableError
            The platform could not be reached; nothing changed.
        OutcomeUnknownError
            The platform could not be reached, and an earlier attempt may have
            made the draft the active sheet.
        """
        try:
            row = await self._table.read_row(HEAD_KEY)
            result = await self._find_accepted(row)
            if result is not None:
                return result
            await self._write_sections(row)
            return await self._commit(row)
        except PlatformUnavailableError as error:
            raise self.make_error(error.message) from error
        except OutcomeUnknownError:
            # The answer to the write of a section was lost; the next attempt
            # writes the section again.
            return None

    def make_error(self, cause: str) -> MustardshuntError:
        """Return the error for a draft that was given up.

        Parameters
        ----------
        cause : str
            Why the draft was given up.

        Returns
        -------
        OutcomeUnknownError or PlatformUnavailableError
            ``OutcomeUnknownError`` when the draft may be the active sheet,
            ``PlatformUnavailableError`` when nothing changed.
        """
        if self._may_be_committed:
            return OutcomeUnknownError(
                f'{cause}; version {self._head.version} may be in force, '
                'repeating the command is safe',
            )
        return PlatformUnavailableError(f'{cause}; nothing changed')

    async def _find_accepted(
        self,
        row: Row | None,
    ) -> AcceptResult | None:
        """Return the result if the draft is or was active, else None."""
        if row is None:
            return None
        active_head = decode_head(row.content)
        if active_head.digest_by_section == self._head.digest_by_section:
            return AcceptResult(
                active_head.version, changed=self._may_be_committed
            )
        if active_head.version == self._base.version:
            return None
        if self._may_be_committed:
            own_row = await self._table.read_row(accepted_key(self._head))
            if own_row is not None and own_row.content == encode_accepted(
                self._head
            ):
                return AcceptResult(self._head.version, changed=True)
        active_sheet = await self._sheets.read_sheet()
        changes = compare_sheets(self._base, active_sheet)
        raise SheetConflictError(self._base.version, active_head, changes)

    async def _write_sections(self, row: Row | None) -> None:
        """Write the sections that the active sheet does not have yet."""
        known_digests: set[str] = set()
        if row is not None:
            known_digests.update(
                decode_head(row.content).digest_by_section.values()
            )
        for digest, content in self._content_by_digest.items():
            if digest not in known_digests:
                await self._sheets.write_section(digest, content)

    async def _commit(
        self,
        row: Row | None,
    ) -> AcceptResult | None:
        expected_version = 0 if row is None else row.version
        try:
            await self._table.commit([
                Write(HEAD_KEY, expected_version, encode_head(self._head)),
                Write(
                    accepted_key(self._head),
                    0,
                    encode_accepted(self._head),
                ),
            ])
        except ConflictError:
            # Another operator or an earlier attempt of this commit changed the
            # head. The next attempt finds out which of them did.
            return None
        except OutcomeUnknownError:
            self._may_be_committed = True
            return None
        return AcceptResult(self._head.version, changed=True)
