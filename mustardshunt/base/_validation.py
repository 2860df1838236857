"""Faults found in a file that an operator or planner wrote."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """One fault in a checked file.

    Parameters
    ----------
    file : str
        Name of the file.
    location : str
        Line (``line 4``) or section and option (``[node] address``).
    found : str
        The value at fault, empty when something is missing.
    expected : str
        What is allowed there.
    """

    file: str
    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.file}: {self.location}: {self.found!r}: {self.expected}'


def nearest_name(unknown: str, known: Iterable[str]) -> str:
    """Return the known name that is most like an unknown one.

    Parameters
    ----------
    unknown : str
        Name as it was written.
    known : iterable of str
        All names that are allowed.

    Returns
    -------
    str
        The nearest known name, empty when none is near.

    Examples
    --------
    >>> nearest_name('adress', ['address', 'port'])
    'address'
    >>> nearest_name('zzz', ['address', 'port'])
    ''
    """
    matches = difflib.get_close_matches(unknown, list(known), n=1)
    return matches[0] if matches else ''
