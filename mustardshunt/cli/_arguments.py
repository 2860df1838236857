"""Declares the subcommands with their arguments, options and help texts."""

from dataclasses import dataclass
from functools import partial
from typing import Annotated, Final, TypeAlias

import cappa

from mustardshunt.cli._exit_codes import EXIT_CODES_HELP

_HANDLERS: Final = 'mustardshunt.cli'
_command = partial(cappa.command, epilog=EXIT_CODES_HELP)

SheetFile: TypeAlias = Annotated[
    str,
    cappa.Arg(help='sheet that the planner exported, sections of CSV lines'),
]
SettingsFile: TypeAlias = Annotated[
    str,
    cappa.Arg(help='settings file of the node, INI format'),
]
DataCentreName: TypeAlias = Annotated[
    str,
    cappa.Arg(help='name of the data centre, as in the sheet'),
]


@dataclass(frozen=True, kw_only=True)
class PlatformUrls:
    """Options for the base URLs of the table service and object store."""

    table_url: Annotated[
        str,
        cappa.Arg(
            long='--table-url',
            default=cappa.Env('MUSTARDSHUNT_TABLE_URL', default=''),
            help='base URL of the table service',
            show_default='MUSTARDSHUNT_TABLE_URL',
        ),
    ]
    object_url: Annotated[
        str,
        cappa.Arg(
            long='--object-url',
            default=cappa.Env('MUSTARDSHUNT_OBJECT_URL', default=''),
            help='base URL of the object store',
            show_default='MUSTARDSHUNT_OBJECT_URL',
        ),
    ]


@_command(
    name='run',
    help='Run the node of this VM until SIGTERM or SIGINT.',
    invoke=f'{_HANDLERS}._files_commands.run_node',
)
@dataclass(frozen=True)
class NodeRun:
    """Arguments of ``node run``, which runs a node."""

    file: SettingsFile


@_command(
    name='check',
    help='List all issues of a settings file.',
    invoke=f'{_HANDLERS}._files_commands.check_settings_file',
)
@dataclass(frozen=True)
class SettingsCheck:
    """Arguments of ``settings check``, which checks a settings file."""

    file: SettingsFile


@_command(
    name='check',
    help='List all issues of a sheet file. Needs no access to the platform.',
    invoke=f'{_HANDLERS}._files_commands.check_sheet',
)
@dataclass(frozen=True)
class SheetCheck:
    """Arguments of ``sheet check``, which checks a sheet file."""

    file: SheetFile


@_command(
    name='diff',
    help='Show what accepting a sheet file would change in the sheet in force.',
    invoke=f'{_HANDLERS}._views.show_difference',
)
@dataclass(frozen=True)
class SheetDiff(PlatformUrls):
    """Arguments of ``sheet diff``: compares a file with the active sheet."""

    file: SheetFile


@_command(
    name='accept',
    help=(
        'Put a sheet file in force. Edits by operators are kept: revoked keys, '
        'issued keys that the file does not list, and data centres taken out '
        'of service.'
    ),
    invoke=f'{_HANDLERS}._changes.accept_sheet',
)
@dataclass(frozen=True)
class SheetAccept(PlatformUrls):
    """Arguments of ``sheet accept``, which makes a sheet file active."""

    file: SheetFile


@_command(
    name='show',
    help='Print the sheet in force in the format of a sheet file.',
    invoke=f'{_HANDLERS}._views.show_sheet',
)
@dataclass(frozen=True)
class SheetShow(PlatformUrls):
    """Arguments of ``sheet show``, which prints the active sheet."""


@_command(
    name='show',
    help=(
        'Show the version of the sheet in force, and whether each data centre '
        'has confirmed it.'
    ),
    invoke=f'{_HANDLERS}._views.show_config',
)
@dataclass(frozen=True)
class ConfigShow(PlatformUrls):
    """Arguments of ``config show``: shows where a sheet version is active."""


@_command(
    name='issue',
    help=(
        'Issue a key to an organisation and print the key. Only its digest is '
        'stored, so the key cannot be printed again.'
    ),
    invoke=f'{_HANDLERS}._changes.issue_new_key',
)
@dataclass(frozen=True)
class KeyIssue(PlatformUrls):
    """Arguments of ``key issue``, which issues a key to an organisation."""

    organisation: Annotated[
        str,
        cappa.Arg(help='name of the organisation that receives the key'),
    ]


@_command(
    name='revoke',
    help=(
        'Revoke a key permanently. Accepting a sheet file that lists it does '
        'not restore it.'
    ),
    invoke=f'{_HANDLERS}._changes.revoke_given_key',
)
@dataclass(frozen=True)
class KeyRevoke(PlatformUrls):
    """Arguments of ``key revoke``, which revokes a key permanently."""

    key: Annotated[
        str,
        cappa.Arg(
            value_name='DIGEST|KEY',
            help=(
                'digest of the key, or the key itself; "-" reads it from the '
                'standard input, which keeps the key out of the process list'
            ),
        ),
    ]


@_command(
    name='out',
    help='Take a data centre out of service, so that it receives no new work.',
    invoke=f'{_HANDLERS}._changes.mark_data_centre_out',
)
@dataclass(frozen=True)
class DataCentreOut(PlatformUrls):
    """Arguments of ``data-centre out``: takes a data centre out of service."""

    name: DataCentreName


@_command(
    name='in',
    help='Return a data centre to service.',
    invoke=f'{_HANDLERS}._changes.mark_data_centre_in',
)
@dataclass(frozen=True)
class DataCentreIn(PlatformUrls):
    """Arguments of ``data-centre in``: returns a data centre to service."""

    name: DataCentreName


@_command(
    name='list',
    help='List the VMs registered in the table service, by incarnation.',
    invoke=f'{_HANDLERS}._views.list_vms',
)
@dataclass(frozen=True)
class VmList(PlatformUrls):
    """Arguments of ``vm list``, which lists the registered VMs."""


@_command(
    name='gone',
    help=(
        "Declare a VM gone, so that its shares of the organisations' rates go "
        'to other VMs. Use this only for a VM that has certainly stopped: '
        'while it still runs, organisations may exceed their rates.'
    ),
    invoke=f'{_HANDLERS}._changes.declare_gone',
)
@dataclass(frozen=True)
class VmGone(PlatformUrls):
    """Arguments of ``vm gone``, which declares a VM gone."""

    incarnation: Annotated[
        str,
        cappa.Arg(help='incarnation of the VM, as printed by "vm list"'),
    ]


@_command(name='node', help='Run the node of a VM.')
@dataclass(frozen=True)
class NodeGroup:
    """Command ``node``, with the subcommand that runs a node."""

    command: cappa.Subcommands[NodeRun]


@_command(name='settings', help='Check the settings of a node.')
@dataclass(frozen=True)
class SettingsGroup:
    """Command ``settings``, with the subcommand that checks settings."""

    command: cappa.Subcommands[SettingsCheck]


@_command(
    name='sheet',
    help=(
        'Check, compare, accept and print sheets: organisations, keys, routes '
        'and data centres.'
    ),
)
@dataclass(frozen=True)
class SheetGroup:
    """Command ``sheet``, with the subcommands for sheets and sheet files."""

    command: cappa.Subcommands[SheetCheck | SheetDiff | SheetAccept | SheetShow]


@_command(
    name='config', help='Show whether the sheet in force has reached all nodes.'
)
@dataclass(frozen=True)
class ConfigGroup:
    """Command ``config``, with the subcommand for the active version."""

    command: cappa.Subcommands[ConfigShow]


@_command(name='key', help='Issue and revoke keys of organisations.')
@dataclass(frozen=True)
class KeyGroup:
    """Command ``key``, with the subcommands for keys of organisations."""

    command: cappa.Subcommands[KeyIssue | KeyRevoke]


@_command(
    name='data-centre', help='Take data centres out of service or return them.'
)
@dataclass(frozen=True)
class DataCentreGroup:
    """Command ``data-centre``, with the subcommands ``out`` and ``in``."""

    command: cappa.Subcommands[DataCentreOut | DataCentreIn]


@_command(name='vm', help='List VMs, or declare one gone.')
@dataclass(frozen=True)
class VmGroup:
    """Command ``vm``, with the subcommands for the records of VMs."""

    command: cappa.Subcommands[VmList | VmGone]


@_command(
    name='mustardshunt',
    help='Overload control layer for service call graphs.',
)
@dataclass(frozen=True)
class Mustardshunt:
    """The command ``mustardshunt`` with all its subcommands."""

    command: cappa.Subcommands[
        NodeGroup
        | SettingsGroup
        | SheetGroup
        | ConfigGroup
        | KeyGroup
        | DataCentreGroup
        | VmGroup
    ]
