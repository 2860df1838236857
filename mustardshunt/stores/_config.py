"""Accepts and reads sheets, reads the rows of nodes, declares VMs gone.

A sheet is the table of organisations, keys, routes and data centres that
operators accept. The platform's object store holds the sections of the sheet.
The table service holds the head of the sheet: the version number and the
digests of the sections.
"""

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

# Attempts of an operator's command to make a draft the active sheet. The
# command tries again after a lost answer or a conflicting write.
_MAX_ATTEMPTS: Final = 4


class ConfigStore:
    """Accepts and reads sheets, reads the rows of nodes, declares VMs gone.

    A confirmation is a data centre's report of the sheet version that is active
    there.

    Parameters
    ----------
    table : TableService
        Table service with the head of the sheet, the confirmations and the VM
        rows.
    objects : ObjectStore
        Object store with the sections of the sheets.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._sheets = SheetStore(table, objects)

    async def accept(self, draft: SheetDraft, base: Sheet) -> AcceptResult:
        """Make a draft the active sheet.

        The call may be repeated after any error: if the draft is already the
        active sheet, accepting the draft again changes nothing.

        Parameters
        ----------
        draft : SheetDraft
            Validated draft.
        base : Sheet
            Sheet that the draft was made from.

        Returns
        -------
        AcceptResult
            Version that the draft became, and whether this call made the draft
            the active sheet.

        Raises
        ------
        SheetConflictError
            Another version has become active since the base was read; nothing
            changed.
        PlatformUnavailableError
            The platform could not be reached; nothing changed.
        OutcomeUnknownError
            An answer was lost, so the draft may be the active sheet.
        """
        sheet_commit = SheetCommit(self._table, self._sheets, draft, base)
        for _ in range(_MAX_ATTEMPTS):
            result = await sheet_commit.attempt()
            if result is not None:
                return result
        raise sheet_commit.make_error(
            f'the draft was not confirmed within {_MAX_ATTEMPTS} attempts',
        )

    async def read_head(self) -> SheetHead | None:
        """Return the head of the active sheet, None before the first sheet."""
        return await self._sheets.read_head()

    async def read_section(self, digest: str) -> bytes | None:
        """Return the content of a sheet's section, None when it is absent."""
        return await self._sheets.read_section(digest)

    async def read_sheet(self) -> Sheet:
        """Return the active sheet, or an empty sheet of version 0.

        The empty sheet is returned before operators accept the first sheet.

        Raises
        ------
        MustardshuntError
            A section is missing or malformed.
        """
        return await self._sheets.read_sheet()

    async def list_confirmations(self) -> Sequence[Confirmation]:
        """Return the confirmations of all data centres, by data centre."""
        return await ConfirmationStore(self._table).list_all()

    async def list_vms(self) -> list[VmView]:
        """Return the rows of all VMs, sorted by incarnation."""
        gone_incarnations = await self.list_gone()
        vms = []
        for row in await self._table.list_rows(VM_PREFIX):
            incarnation = row.key.removeprefix(VM_PREFIX)
            vms.append(
                VmView(
                    Incarnation(incarnation),
                    decode_fields(row),
                    incarnation in gone_incarnations,
                )
            )
        return vms

    async def list_gone(self) -> frozenset[str]:
        """Return the incarnations that operators declared gone."""
        rows = await self._table.list_rows(GONE_PREFIX)
        return frozenset(row.key.removeprefix(GONE_PREFIX) for row in rows)

    async def declare_gone(self, incarnation: str) -> bool:
        """Declare a VM gone, so that other nodes reclaim the VM's shares.

        Parameters
        ----------
        incarnation : str
            Incarnation of the VM's node.

        Returns
        -------
        bool
            True when this call declared the incarnation gone, False when it was
            already declared gone.

        Raises
        ------
        MustardshuntError
            No VM has this incarnation.
        """
        key = GONE_PREFIX + incarnation
        if await self._table.read_row(key) is not None:
            return False
        if await self._table.read_row(VM_PREFIX + incarnation) is None:
            known = [vm.incarnation for vm in await self.list_vms()]
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
