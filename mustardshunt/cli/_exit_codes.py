"""Exit codes of the command, and the exit code of each error code."""

import enum
from collections.abc import Mapping
from typing import Final

from mustardshunt.base import ErrorCode


class ExitCode(enum.IntEnum):
    """Exit codes of the command. Scripts may rely on their values."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    BAD_FILE = 3
    VERSION_CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5
    PLATFORM_UNKNOWN = 6
    NOT_FOUND = 7
    UNCONFIRMED = 8


MEANING_BY_EXIT_CODE: Final[Mapping[ExitCode, str]] = {
    ExitCode.OK: 'done, or nothing to change',
    ExitCode.INTERNAL: 'internal error',
    ExitCode.USAGE: 'invalid arguments, or a file that is not UTF-8',
    ExitCode.BAD_FILE: 'the file, or the sheet in force, is invalid; '
    'nothing changed',
    ExitCode.VERSION_CONFLICT: 'another version of the sheet came into '
    'force first; nothing changed',
    ExitCode.PLATFORM_UNAVAILABLE: 'the platform cannot be reached; nothing '
    'changed',
    ExitCode.PLATFORM_UNKNOWN: 'the response of the platform was lost, and the '
    'change may have been made; see the message',
    ExitCode.NOT_FOUND: 'file, organisation, key, data centre or VM not found; '
    'nothing changed',
    ExitCode.UNCONFIRMED: 'config show: at least one data centre has not '
    'confirmed the version in force',
}

EXIT_CODE_BY_ERROR: Final[Mapping[ErrorCode, ExitCode]] = {
    ErrorCode.BAD_PARAMETER: ExitCode.USAGE,
    ErrorCode.BAD_SETTINGS: ExitCode.BAD_FILE,
    ErrorCode.BAD_SHEET: ExitCode.BAD_FILE,
    ErrorCode.VERSION_CONFLICT: ExitCode.VERSION_CONFLICT,
    ErrorCode.PLATFORM_UNAVAILABLE: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.PLATFORM_UNKNOWN: ExitCode.PLATFORM_UNKNOWN,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
}

_EXIT_CODE_LINES: Final = '\n'.join(
    f'- {exit_code.value}: {meaning}'
    for exit_code, meaning in MEANING_BY_EXIT_CODE.items()
)
EXIT_CODES_HELP: Final = f'Exit codes:\n\n{_EXIT_CODE_LINES}'
