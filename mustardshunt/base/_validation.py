"""Errors found in a settings file or sheet, with suggestions.

A sheet is the table of organisations, keys, routes and data centres that
operators accept.
"""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """One error in a settings file or sheet.

    Parameters
    ----------
    file : str
        Name of the file.
    location : str
        Line (``line 4``) or section and option (``[node] address``).
    found : str
        The invalid value, empty if a value is missing.
    expected : str
        Description of the values that are allowed at this location.
    """

    file: str
    location: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f'{self.file}: {self.location}: found {self.found!r}, '
            f'expected {self.expected}'
        )


def nearest_name(unknown: str, known: Iterable[str]) -> str:
    """Return the known name that is most similar to an unknown name.

    Parameters
    ----------
    unknown : str
        Name that was found.
    known : iterable of str
        Names that are allowed.

    Returns
    -------
    str
        The most similar known name, empty if none is similar enough.

    Examples
    --------
    >>> nearest_name('adress', ['address', 'port'])
    'address'
    >>> nearest_name('zzz', ['address', 'port'])
    ''
    """
    matches = difflib.get_close_matches(unknown, list(known), n=1)
    return matches[0] if matches else ''
