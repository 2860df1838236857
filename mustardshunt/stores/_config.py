"""The configuration on the platform: accepting it and reading it."""

from collections.abc import Sequence
from typing import Final

from mustardshunt.base import (
    ErrorCode,
    Incarnation,
    MustardshuntError,
    nearest_name,
)
from mustardshunt.sheet import Sheet, SheetDraft, SheetHead
from mustardshunt.stores._config_rows import (
    GONE_PREFIX,
    VM_PREFIX,
    VmView,
    decode_fields,
)
from mustardshunt.stores._confirmations import Confirmation, ConfirmationStore
from mustardshunt.stores._protocols import (
    ConflictError,
    ObjectStore,
    TableService,
    Write,
)
from mustardshunt.stores._sheet_commit import AcceptResult, SheetCommit
from mustardshunt.stores._sheet_store import SheetStore

# Attempts within one command; each follows a lost answer or a lost race.
_ATTEMPTS: Final = 4


class ConfigStore:
    """Accepts and reads configuration on the platform.

    Parameters
    ----------
    table : TableService
        Table service.
    objects : ObjectStore
        Object store.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = SheetStore(table, objects)

    async def accept(self, draft: SheetDraft, base: Sheet) -> AcceptResult:
        """Put a draft in force.

        Repeating it after any error is safe: a draft in force stays so.

        Parameters
        ----------
        draft : SheetDraft
            Checked draft.
        base : Sheet
            Sheet that the draft was made from.

        Returns
        -------
        AcceptResult
            The draft is in force.

        Raises
        ------
        SheetConflictError
            Another version came into force since the base; nothing changed.
        PlatformUnavailableError
            Nothing changed.
        OutcomeUnknownError
            The draft may be in force.
        """
        acceptance = SheetCommit(self._table, self._objects, draft, base)
        for _ in range(_ATTEMPTS):
            accepted = await acceptance.attempt()
            if accepted is not None:
                return accepted
        raise acceptance.make_error('every answer was lost')

    async def read_head(self) -> SheetHead | None:
        """Return the head in force, None before the first sheet."""
        return await self._objects.read_head()

    async def read_section(self, digest: str) -> bytes | None:
        """Return a section's content, None when it is absent."""
        return await self._objects.read_section(digest)

    async def read_sheet(self) -> Sheet:
        """Return the sheet in force, version 0 before the first one.

        Raises
        ------
        MustardshuntError
            A section is missing or bad.
        """
        return await self._objects.read_sheet()

    async def list_confirmations(self) -> Sequence[Confirmation]:
        """Return what each data centre confirmed, by name."""
        return await ConfirmationStore(self._table).list_all()

    async def list_vms(self) -> list[VmView]:
        """Return the rows of all VMs, by incarnation."""
        gone = await self.list_gone()
        records = []
        for row in await self._table.list_rows(VM_PREFIX):
            name = row.key.removeprefix(VM_PREFIX)
            records.append(
                VmView(Incarnation(name), decode_fields(row), name in gone)
            )
        return records

    async def list_gone(self) -> frozenset[str]:
        """Return the incarnations of VMs that were declared gone."""
        rows = await self._table.list_rows(GONE_PREFIX)
        return frozenset(row.key.removeprefix(GONE_PREFIX) for row in rows)

    async def declare_gone(self, incarnation: str) -> bool:
        """Declare a VM gone, so that its shares can be given to others.

        Parameters
        ----------
        incarnation : str
            Run of the VM's node.

        Returns
        -------
        bool
            False when it was declared gone before.

        Raises
        ------
        MustardshuntError
            No VM has this incarnation.
        """
        key = GONE_PREFIX + incarnation
        if await self._table.read_row(key) is not None:
            return False
        if await self._table.read_row(VM_PREFIX + incarnation) is None:
            known = [record.incarnation for record in await self.list_vms()]
            nearest = nearest_name(incarnation, known)
            hint = f', did you mean {nearest!r}?' if nearest else ''
            raise MustardshuntError(
                ErrorCode.NOT_FOUND,
                f'no VM with incarnation {incarnation!r}{hint}',
            )
        try:
            await self._table.commit([Write(key, 0, '{}')])
        except ConflictError:
            return False
        return True
