"""Writes results to the standard output and messages to standard error."""

import sys
from collections.abc import Iterable


def write_line(line: object) -> None:
    """Write one line of a command's result to the standard output."""
    sys.stdout.write(f'{line}\n')


def write_lines(lines: Iterable[object]) -> None:
    """Write the lines of a command's result to the standard output."""
    for line in lines:
        write_line(line)


def write_note(line: object) -> None:
    """Write a message, such as an error, to the standard error stream."""
    sys.stderr.write(f'{line}\n')
