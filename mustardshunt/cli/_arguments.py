"""Commands and their arguments."""

from dataclasses import dataclass
from functools import partial
from typing import Annotated, Final, TypeAlias

import cappa

from mustardshunt.cli._exit_codes import EXIT_CODES_HELP

_HANDLERS: Final = 'mustardshunt.cli'
_command = partial(cappa.command, epilog=EXIT_CODES_HELP)

SheetFile: TypeAlias = Annotated[
    str,
    cappa.Arg(help="planner's export, CSV sections"),
]
SettingsFile: TypeAlias = Annotated[
    str,
    cappa.Arg(help='settings of the node, INI'),
]
DataCentreName: TypeAlias = Annotated[
    str,
    cappa.Arg(help='name of the data centre in the sheet'),
]


@dataclass(frozen=True, kw_only=True)
class PlatformUrls:
    """Where the platform is."""

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
    help='Run the node of this VM until it is told to stop.',
    invoke=f'{_HANDLERS}._files_commands.run_node',
)
@dataclass(frozen=True)
class NodeRun:
    """Arguments of node run."""

    file: SettingsFile


@_command(
    name='check',
    help='List the faults of a settings file.',
    invoke=f'{_HANDLERS}._files_commands.check_settings_file',
)
@dataclass(frozen=True)
class SettingsCheck:
    """Arguments of settings check."""

    file: SettingsFile


@_command(
    name='check',
    help='List the faults of a sheet, without the platform.',
    invoke=f'{_HANDLERS}._files_commands.check_sheet',
)
@dataclass(frozen=True)
class SheetCheck:
    """Arguments of sheet check."""

    file: SheetFile


@_command(
    name='diff',
    help='Show what accepting a sheet would change.',
    invoke=f'{_HANDLERS}._views.show_difference',
)
@dataclass(frozen=True)
class SheetDiff(PlatformUrls):
    """Arguments of sheet diff."""

    file: SheetFile


@_command(
    name='accept',
    help=(
        "Put a sheet in force. Operators' edits stay: revoked keys, issued "
        'keys that no export lists yet, data centres taken out.'
    ),
    invoke=f'{_HANDLERS}._changes.accept_sheet',
)
@dataclass(frozen=True)
class SheetAccept(PlatformUrls):
    """Arguments of sheet accept."""

    file: SheetFile


@_command(
    name='show',
    help='Print the sheet in force as an export.',
    invoke=f'{_HANDLERS}._views.show_sheet',
)
@dataclass(frozen=True)
class SheetShow(PlatformUrls):
    """Arguments of sheet show."""


@_command(
    name='show',
    help=(
        'Show the version in force, and which data centres have not '
        'confirmed it.'
    ),
    invoke=f'{_HANDLERS}._views.show_config',
)
@dataclass(frozen=True)
class ConfigShow(PlatformUrls):
    """Arguments of config show."""


@_command(
    name='issue',
    help='Issue a key and print it, once. Only its digest is stored.',
    invoke=f'{_HANDLERS}._changes.issue_new_key',
)
@dataclass(frozen=True)
class KeyIssue(PlatformUrls):
    """Arguments of key issue."""

    organisation: Annotated[
        str,
        cappa.Arg(help='organisation that gets the key'),
    ]


@_command(
    name='revoke',
    help='Revoke a key for good; no later export makes it work again.',
    invoke=f'{_HANDLERS}._changes.revoke_given_key',
)
@dataclass(frozen=True)
class KeyRevoke(PlatformUrls):
    """Arguments of key revoke."""

    key: Annotated[
        str,
        cappa.Arg(
            value_name='DIGEST|KEY',
            help=(
                'digest of the key, or the key itself; "-" reads it from the '
                'standard input, so that the list of processes does not show '
                'it'
            ),
        ),
    ]


@_command(
    name='out',
    help='Take a data centre out of service: it gets no new work.',
    invoke=f'{_HANDLERS}._changes.mark_data_centre_out',
)
@dataclass(frozen=True)
class DataCentreOut(PlatformUrls):
    """Arguments of data-centre out."""

    name: DataCentreName


@_command(
    name='in',
    help='Take a data centre into service again.',
    invoke=f'{_HANDLERS}._changes.mark_data_centre_in',
)
@dataclass(frozen=True)
class DataCentreIn(PlatformUrls):
    """Arguments of data-centre in."""

    name: DataCentreName


@_command(
    name='list',
    help='List the VMs that registered in the table.',
    invoke=f'{_HANDLERS}._views.list_vms',
)
@dataclass(frozen=True)
class VmList(PlatformUrls):
    """Arguments of vm list."""


@_command(
    name='gone',
    help=(
        'Declare a VM gone, so that its shares of the rates go to others. '
        'Only for a VM that has stopped for certain: while it still runs, '
        'organisations may get more than their rate.'
    ),
    invoke=f'{_HANDLERS}._changes.declare_gone',
)
@dataclass(frozen=True)
class VmGone(PlatformUrls):
    """Arguments of vm gone."""

    incarnation: Annotated[
        str,
        cappa.Arg(help='incarnation as vm list shows it'),
    ]


@_command(name='node', help='The node of a VM.')
@dataclass(frozen=True)
class NodeGroup:
    """Commands on a node."""

    command: cappa.Subcommands[NodeRun]


@_command(name='settings', help='Settings of a node.')
@dataclass(frozen=True)
class SettingsGroup:
    """Commands on settings."""

    command: cappa.Subcommands[SettingsCheck]


@_command(name='sheet', help='Organisations, keys, routes, data centres.')
@dataclass(frozen=True)
class SheetGroup:
    """Commands on the sheet."""

    command: cappa.Subcommands[SheetCheck | SheetDiff | SheetAccept | SheetShow]


@_command(name='config', help='The configuration on all nodes.')
@dataclass(frozen=True)
class ConfigGroup:
    """Commands on the configuration."""

    command: cappa.Subcommands[ConfigShow]


@_command(name='key', help='Keys of organisations.')
@dataclass(frozen=True)
class KeyGroup:
    """Commands on keys."""

    command: cappa.Subcommands[KeyIssue | KeyRevoke]


@_command(name='data-centre', help='Data centres in and out of service.')
@dataclass(frozen=True)
class DataCentreGroup:
    """Commands on data centres."""

    command: cappa.Subcommands[DataCentreOut | DataCentreIn]


@_command(name='vm', help='VMs in the table.')
@dataclass(frozen=True)
class VmGroup:
    """Commands on VMs."""

    command: cappa.Subcommands[VmList | VmGone]


@_command(
    name='mustardshunt',
    help='Overload control layer for service call graphs.',
)
@dataclass(frozen=True)
class Mustardshunt:
    """All commands."""

    command: cappa.Subcommands[
        NodeGroup
        | SettingsGroup
        | SheetGroup
        | ConfigGroup
        | KeyGroup
        | DataCentreGroup
        | VmGroup
    ]
