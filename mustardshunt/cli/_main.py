"""Entry point of the command line interface."""

import asyncio
from collections.abc import Sequence

import cappa

from mustardshunt.base import MustardshuntError
from mustardshunt.cli._arguments import Mustardshunt
from mustardshunt.cli._exit_codes import EXIT_CODE_BY_ERROR, ExitCode
from mustardshunt.cli._output import write_note


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str or None, default=None
        Arguments without the name of the program. None stands for the
        arguments of the process.

    Returns
    -------
    int
        Exit code, see ``ExitCode``.

    Raises
    ------
    SystemExit
        The arguments are invalid, or help was requested.
    """
    argv = None if arguments is None else list(arguments)
    try:
        return int(asyncio.run(_invoke(argv)))
    except MustardshuntError as error:
        write_note(error)
        return EXIT_CODE_BY_ERROR.get(error.code, ExitCode.INTERNAL)


async def _invoke(argv: list[str] | None) -> ExitCode:
    exit_code: ExitCode = await cappa.invoke_async(
        Mustardshunt,
        argv=argv,
        completion=False,
    )
    return exit_code
