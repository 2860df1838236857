"""Commands that need no platform."""

import importlib

from mustardshunt.base import ErrorCode
from mustardshunt.cli._arguments import NodeRun, SettingsCheck, SheetCheck
from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._files import read_draft, read_file, report_faults
from mustardshunt.cli._output import write_line
from mustardshunt.settings import check_settings, parse_settings
from mustardshunt.sidecar import (
    check_sidecar_settings,
    is_sidecar_settings,
)


async def run_node(command: NodeRun) -> ExitCode:
    """Run a node with checked settings."""
    text = read_file(command.file)
    faults = check_settings(text, command.file)
    report_faults(ErrorCode.BAD_SETTINGS, command.file, faults)
    # The node loads the servers and links, which other commands do without.
    node = importlib.import_module('mustardshunt.node')
    await node.run_node(parse_settings(text, command.file))
    return ExitCode.OK


async def check_settings_file(command: SettingsCheck) -> ExitCode:
    """List the faults of a settings file."""
    text = read_file(command.file)
    check = check_settings
    if is_sidecar_settings(text):
        check = check_sidecar_settings
    faults = check(text, command.file)
    report_faults(ErrorCode.BAD_SETTINGS, command.file, faults)
    write_line(f'{command.file}: no faults')
    return ExitCode.OK


async def check_sheet(command: SheetCheck) -> ExitCode:
    """List the faults of a sheet."""
    draft = read_draft(command.file)
    write_line(
        f'{command.file}: no faults, '
        f'{len(draft.organisation_by_name)} organisations, '
        f'{len(draft.organisation_by_digest)} keys, '
        f'{len(draft.route_by_name)} routes, '
        f'{len(draft.state_by_data_centre)} data centres',
    )
    return ExitCode.OK
