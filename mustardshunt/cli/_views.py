"""Commands that show sheets, confirmations and VMs stored on the platform."""

from collections.abc import Mapping

from mustardshunt.cli._arguments import (
    ConfigShow,
    SheetDiff,
    SheetShow,
    VmList,
)
from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._files import read_draft
from mustardshunt.cli._output import write_line, write_lines, write_note
from mustardshunt.cli._platform import open_store
from mustardshunt.sheet import (
    Sheet,
    SheetDraft,
    compare_sheets,
    format_sheet,
    merge_export,
)
from mustardshunt.stores import Confirmation


async def show_difference(command: SheetDiff) -> ExitCode:
    """Show the changes to the active sheet that a sheet file would make."""
    draft = read_draft(command.file)
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
    merged = merge_export(draft, sheet)
    report_kept_edits(draft, merged)
    changes = compare_sheets(sheet, merged)
    write_lines(changes)
    if not changes:
        write_note(f'no difference from version {sheet.version}')
    return ExitCode.OK


def report_kept_edits(draft: SheetDraft, merged: SheetDraft) -> None:
    """Report the entries of a sheet file that operators' edits override.

    The sheet file is the one that the planner exports.

    Parameters
    ----------
    draft : SheetDraft
        Draft made from the exported file alone.
    merged : SheetDraft
        The same draft with operators' edits applied.
    """
    for change in compare_sheets(draft, merged):
        # An entry that only an edit adds does not contradict the exported file.
        if change.operation != 'added':
            write_note(f"operators' edit overrides the export: {change}")


async def show_sheet(command: SheetShow) -> ExitCode:
    """Print the active sheet in the format of a sheet file."""
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
    write_line(f'# version {sheet.version}')
    write_line(format_sheet(sheet).rstrip())
    return ExitCode.OK


async def show_config(command: ConfigShow) -> ExitCode:
    """Show the accepted sheet version, and its state in each data centre.

    A data centre has confirmed a version when all its live nodes have reported
    the version as active.
    """
    async with open_store(command.table_url, command.object_url) as store:
        sheet = await store.read_sheet()
        confirmations = await store.list_confirmations()
        records = await store.list_vms()
    write_line(f'version {sheet.version} in force')
    confirmation_by_name = {
        confirmation.data_centre: confirmation for confirmation in confirmations
    }
    # The sheet may not list all data centres of registered nodes.
    data_centres_of_nodes = {
        str(record.field_by_name['data_centre'])
        for record in records
        if 'data_centre' in record.field_by_name and not record.is_gone
    }
    exit_code = ExitCode.OK
    for name in sorted({
        *sheet.state_by_data_centre,
        *confirmation_by_name,
        *data_centres_of_nodes,
    }):
        confirmation = confirmation_by_name.get(name, Confirmation(name, 0))
        write_line(_format_confirmation(sheet, confirmation))
        if confirmation.version < sheet.version:
            exit_code = ExitCode.UNCONFIRMED
    return exit_code


def _format_confirmation(sheet: Sheet, confirmation: Confirmation) -> str:
    name, version = confirmation.data_centre, confirmation.version
    state = 'out' if sheet.is_out_of_service(name) else 'in'
    if version >= sheet.version:
        return f'data centre {name} ({state}): version {version} confirmed'
    previous = (
        f'last confirmed version {version}'
        if version
        else 'no version confirmed yet'
    )
    lagging = ', '.join(confirmation.lagging)
    return (
        f'data centre {name} ({state}): not confirmed, {previous}'
        f'{lagging and f"; lagging nodes: {lagging}"}'
    )


async def list_vms(command: VmList) -> ExitCode:
    """List the VMs that are registered in the platform's table service."""
    async with open_store(command.table_url, command.object_url) as store:
        records = await store.list_vms()
    for record in records:
        gone = ' (declared gone)' if record.is_gone else ''
        details = _join_details(record.field_by_name)
        write_line(f'{record.incarnation}{gone} {details}'.rstrip())
    return ExitCode.OK


def _join_details(detail_by_name: Mapping[str, object]) -> str:
    return ' '.join(
        f'{name}={detail}' for name, detail in sorted(detail_by_name.items())
    )
