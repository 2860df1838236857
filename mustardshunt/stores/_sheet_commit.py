"""One draft on its way into force on the platform."""

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
    """Another operator's version came into force first.

    Parameters
    ----------
    base_version : int
        Version that the rejected draft was made from.
    head : SheetHead
        Head in force.
    changes : list of SheetChange
        What the versions since the base changed.
    """

    def __init__(
        self,
        base_version: int,
        head: SheetHead,
        changes: list[SheetChange],
    ) -> None:
        listed = '; '.join(map(str, changes)) or 'no difference remains'
        super().__init__(
            f'the draft was made from version {base_version}, in force is '
            f'version {head.version}; since then: {listed}',
        )
        self.head = head
        self.changes = changes


@dataclass(frozen=True, slots=True)
class AcceptResult:
    """The draft is in force.

    Parameters
    ----------
    version : int
        Version in which it came into force.
    changed : bool
        False when it was in force before.
    """

    version: int
    changed: bool


class SheetCommit:
    """One draft on its way into force.

    Parameters
    ----------
    table : TableService
        Table service.
    objects : SheetStore
        Sections on the platform.
    draft : SheetDraft
        Checked draft.
    base : Sheet
        Sheet that the draft was made from.
    """

    def __init__(
        self,
        table: TableService,
        objects: SheetStore,
        draft: SheetDraft,
        base: Sheet,
    ) -> None:
        self._table = table
        self._objects = objects
        self._base = base
        head, content_by_digest = split_sheet(draft, base.version + 1)
        self._head = head
        self._content_by_digest = content_by_digest
        # Whether a commit was sent whose outcome is not known.
        self._may_be_made = False

    async def attempt(self) -> AcceptResult | None:
        """Try once; None when the answer was lost."""
        try:
            row = await self._table.read_row(HEAD_KEY)
            accepted = await self._find_accepted(row)
            if accepted is not None:
                return accepted
            await self._write_sections(row)
            return await self._commit(row)
        except PlatformUnavailableError as error:
            raise self.make_error(error.message) from error
        except OutcomeUnknownError:
            # A section's write; the next attempt writes it again.
            return None

    def make_error(self, cause: str) -> MustardshuntError:
        """Return the error that tells whether something may have changed."""
        if self._may_be_made:
            return OutcomeUnknownError(
                f'{cause}; version {self._head.version} may be in force, '
                'repeating the command is safe',
            )
        return PlatformUnavailableError(f'{cause}; nothing changed')

    async def _find_accepted(
        self,
        row: Row | None,
    ) -> AcceptResult | None:
        """Return the draft's acceptance if it is in force or was."""
        if row is None:
            return None
        current = decode_head(row.content)
        if current.digest_by_section == self._head.digest_by_section:
            return AcceptResult(current.version, changed=self._may_be_made)
        if current.version == self._base.version:
            return None
        if self._may_be_made:
            own = await self._table.read_row(accepted_key(self._head))
            if own is not None and own.content == encode_accepted(self._head):
                return AcceptResult(self._head.version, changed=True)
        in_force = await self._objects.read_sheet()
        changes = compare_sheets(self._base, in_force)
        raise SheetConflictError(self._base.version, current, changes)

    async def _write_sections(self, row: Row | None) -> None:
        """Write the sections that the head in force does not have."""
        known: set[str] = set()
        if row is not None:
            known.update(decode_head(row.content).digest_by_section.values())
        for digest, content in self._content_by_digest.items():
            if digest not in known:
                await self._objects.write_section(digest, content)

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
            # Either another operator's change or an earlier attempt's own.
            return None
        except OutcomeUnknownError:
            self._may_be_made = True
            return None
        return AcceptResult(self._head.version, changed=True)
