"""Commands that work without access to the platform's services."""

import importlib

from mustardshunt.base import ErrorCode
from mustardshunt.cli._arguments import NodeRun, SettingsCheck, SheetCheck
from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._files import read_draft, read_file, report_issues
from mustardshunt.cli._output import write_line
from mustardshunt.settings import check_settings, parse_settings
from mustardshunt.sidecar import (
    check_sidecar_settings,
    is_sidecar_settings,
)


async def run_node(command: NodeRun) -> ExitCode:
    """Check the settings file, and run the node if the file is valid."""
    text = read_file(command.file)
    issues = check_settings(text, command.file)
    report_issues(ErrorCode.BAD_SETTINGS, command.file, issues)
    # Imported only here: the modules of the node take time to load, and no
    # other command needs these modules.
    node = importlib.import_module('mustardshunt.node')
    await node.run_node(parse_settings(text, command.file))
    return ExitCode.OK


async def check_settings_file(command: SettingsCheck) -> ExitCode:
    """List the issues of a settings file of a node or a sidecar."""
    text = read_file(command.file)
    check = check_settings
    if is_sidecar_settings(text):
        check = check_sidecar_settings
    issues = check(text, command.file)
    report_issues(ErrorCode.BAD_SETTINGS, command.file, issues)
    write_line(f'{command.file}: no issues found')
    return ExitCode.OK


async def check_sheet(command: SheetCheck) -> ExitCode:
    """List the issues of a sheet file, or the record counts of a valid file."""
    draft = read_draft(command.file)
    write_line(
        f'{command.file}: no issues found, '
        f'{len(draft.organisation_by_name)} organisations, '
        f'{len(draft.organisation_by_digest)} keys, '
        f'{len(draft.route_by_name)} routes, '
        f'{len(draft.state_by_data_centre)} data centres',
    )
    return ExitCode.OK
