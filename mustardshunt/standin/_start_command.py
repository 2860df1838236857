"""Command that starts a node, as the platform runs it."""

import shlex
import sys
import tomllib
from pathlib import Path
from typing import Final

_REPOSITORY: Final = Path(__file__).resolve().parents[2]


def start_command() -> list[str]:
    """Return the command of the deploy file, with this interpreter.

    Paths in the command are absolute, so it works in any directory.

    Examples
    --------
    >>> start_command()[1:-1]
    ['-S', '-P']
    """
    deploy_file = _REPOSITORY / 'deploy' / 'system.toml'
    deploy = tomllib.loads(deploy_file.read_text(encoding='utf-8'))
    command = shlex.split(deploy['roles']['sidecar']['run'])
    return [sys.executable, *command[1:-1], str(_REPOSITORY / command[-1])]
