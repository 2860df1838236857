"""Commands that change the active sheet or the records of VMs."""

import secrets
import sys
from typing import Final

from mustardshunt.cli._arguments import (
    DataCentreIn,
    DataCentreOut,
    KeyIssue,
    KeyRevoke,
    SheetAccept,
    VmGone,
)
from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._files import read_draft
from mustardshunt.cli._output import write_line, write_lines, write_note
from mustardshunt.cli._platform import open_store
from mustardshunt.cli._views import report_kept_edits
from mustardshunt.sheet import (
    DataCentreState,
    Sheet,
    SheetDraft,
    compare_sheets,
    digest_key,
    issue_key,
    merge_export,
    revoke_key,
    set_data_centre,
)
from mustardshunt.stores import ConfigStore, OutcomeUnknownError

_KEY_BYTES: Final = 32
# The random part of a key may start with a hyphen. With this prefix, nobody
# takes a key for an option, a digest or a name.
_KEY_PREFIX: Final = 'ms_'


async def accept_sheet(command: SheetAccept) -> ExitCode:
    """Make a sheet file the active sheet and print the changes.

    Operators' edits of the active sheet are kept. Entries of the file that the
    edits override are reported.
    """
    draft = read_draft(command.file)
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
        merged = merge_export(draft, sheet)
        await _accept_draft(store, merged, sheet)
    report_kept_edits(draft, merged)
    return ExitCode.OK


async def issue_new_key(command: KeyIssue) -> ExitCode:
    """Issue a key to an organisation and print the key once.

    Only the digest of the key is stored.
    """
    key = _KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)
    digest = digest_key(key)
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
        draft = issue_key(sheet, command.organisation, digest)
        try:
            accepted = await store.accept(draft, sheet)
        except OutcomeUnknownError as error:
            raise OutcomeUnknownError(
                f'{error.message}; the key is not shown: if its digest '
                f'{digest} appears in "sheet show", revoke it; then issue '
                'another key',
            ) from error
    write_line(key)
    write_note(
        f'key with digest {digest} issued, version {accepted.version} in force'
    )
    return ExitCode.OK


async def revoke_given_key(command: KeyRevoke) -> ExitCode:
    """Revoke a key of an organisation permanently.

    The argument is the key, the digest of the key, or ``-`` for a key or digest
    on the standard input.
    """
    given = command.key
    if given == '-':
        given = sys.stdin.readline().strip()
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
        draft = revoke_key(sheet, _find_digest(sheet, given))
        await _accept_draft(store, draft, sheet)
    return ExitCode.OK


async def mark_data_centre_out(command: DataCentreOut) -> ExitCode:
    """Take a data centre out of service in a new version of the sheet."""
    return await _set_data_centre(command, DataCentreState.OUT)


async def mark_data_centre_in(command: DataCentreIn) -> ExitCode:
    """Return a data centre to service in a new version of the sheet."""
    return await _set_data_centre(command, DataCentreState.IN)


async def declare_gone(command: VmGone) -> ExitCode:
    """Declare a VM gone, so that other nodes reclaim its shares of rates."""
    async with open_store(command.table_url, command.object_url) as store:
        is_new = await store.declare_gone(command.incarnation)
    result = (
        'is now declared gone'
        if is_new
        else 'was declared gone before, nothing changed'
    )
    write_line(f'VM {command.incarnation} {result}')
    return ExitCode.OK


async def _set_data_centre(
    command: DataCentreIn | DataCentreOut,
    state: DataCentreState,
) -> ExitCode:
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
        draft = set_data_centre(sheet, command.name, state)
        await _accept_draft(store, draft, sheet)
    return ExitCode.OK


async def _accept_draft(
    store: ConfigStore, draft: SheetDraft, sheet: Sheet
) -> None:
    accepted = await store.accept(draft, sheet)
    if accepted.changed:
        write_lines(compare_sheets(sheet, draft))
        write_line(f'version {accepted.version} in force')
    else:
        write_line(f'nothing changed, version {accepted.version} in force')


def _find_digest(sheet: Sheet, given: str) -> str:
    """Return the digest of a key, given the key itself or its digest.

    A key may look like a digest. So the given text counts as a digest only if
    the sheet lists this digest or has revoked it.
    """
    known_digests = {*sheet.organisation_by_digest, *sheet.edits.revoked}
    if given.lower() in known_digests:
        return given.lower()
    return digest_key(given)
