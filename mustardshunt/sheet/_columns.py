"""Columns of each section of a sheet, and the allowed values of cells.

A sheet is the table of organisations, keys, routes and data centres that
operators accept. A section lists the records of one kind.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Importance, ValidationIssue, nearest_name
from mustardshunt.sheet._model import Access, DataCentreState

# Longest timeout of a route. The settings of a node reject a drain limit below
# this timeout, so that a planned stop waits for the longest call that a route
# allows.
MAX_ROUTE_TIMEOUT_SECONDS: Final = 25.0
MAX_RATE: Final = 1_000_000.0
# Name that stands for the organisation of all callers of open routes. Fair
# queueing treats these callers as one organisation.
OPEN_ORGANISATION: Final = 'open'
METHODS: Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
REDACTED: Final = '(hidden)'

# Names are shorter than generated keys and have no upper-case letters. A key
# that was entered in the column of a name is therefore recognised and redacted.
_NAME: Final = re.compile(r'[a-z0-9][a-z0-9-]{0,39}')
_DIGEST: Final = re.compile(r'[0-9a-fA-F]{64}')
# A key consists of the characters that RFC 6750 allows in a bearer token.
_KEY: Final = re.compile(r'[A-Za-z0-9._~+/=-]{32,200}')
# Text that may be a key in the wrong column. Each part of a path is shorter
# than 32 characters, so that a run of 32 or more characters may be a key.
_KEY_LIKE_RUN: Final = re.compile(r'[A-Za-z0-9._~+=-]{32}')
# Numbers have at most three decimals, so that each number has one canonical
# text.
_NUMBER: Final = re.compile(r'\d{1,9}(\.\d{1,3})?')
_PATH: Final = re.compile(r"(/[A-Za-z0-9._~!$&'()+,;=:@%-]*)*(/\*)?")


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a section of a sheet.

    Parameters
    ----------
    name : str
        Name in the header.
    is_allowed : callable
        Returns whether the text of a cell is an allowed value.
    allowed : str
        Description of the allowed values, for error messages.
    default : str or None, default=None
        Value of an empty cell; None when a value is required.
    choices : tuple of str, default=()
        Allowed values, of which an error message suggests the nearest one.
    """

    name: str
    is_allowed: Callable[[str], bool]
    allowed: str
    default: str | None = None
    choices: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a section of a sheet.

    Parameters
    ----------
    location : str
        Where the record stands, for error messages: its line, or its section
        and name.
    cells : mapping of str to str
        Value by column name. Required columns that are missing in the header
        are left out.
    """

    location: str
    cells: Mapping[str, str]

    def get(self, column: str) -> str:
        """Return the value of a column, empty when the column is missing."""
        return self.cells.get(column, '')


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a record, such as a route."""
    return _NAME.fullmatch(text) is not None


def is_digest(text: str) -> bool:
    """Return whether a text is a SHA-256 digest in hexadecimal."""
    return _DIGEST.fullmatch(text) is not None


def redact_key(text: str) -> str:
    """Return a text, or a placeholder when the text may contain a key.

    Examples
    --------
    >>> redact_key('/orders'), redact_key('k' * 43)
    ('/orders', '(hidden)')
    """
    may_be_key = _KEY.fullmatch(text) and not text.startswith('/')
    return REDACTED if may_be_key or _KEY_LIKE_RUN.search(text) else text


def _is_empty_or_matches(pattern: re.Pattern[str]) -> Callable[[str], bool]:
    return lambda text: not text or pattern.fullmatch(text) is not None


def _is_number(low: float, high: float) -> Callable[[str], bool]:
    return lambda text: (
        _NUMBER.fullmatch(text) is not None and low <= float(text) <= high
    )


def _is_path(text: str) -> bool:
    if not text.startswith('/') or _PATH.fullmatch(text) is None:
        return False
    # HTTP clients resolve dot segments before they send a request. A route
    # whose path has a dot segment would therefore match no request.
    return not {'.', '..'}.intersection(text.split('/'))


def _choice(
    name: str,
    choices: tuple[str, ...],
    default: str | None = None,
) -> Column:
    allowed_words = ' or '.join(choices)
    return Column(name, choices.__contains__, allowed_words, default, choices)


def _number(
    name: str,
    low: float,
    high: float,
    default: str | None = None,
) -> Column:
    allowed = f'a number from {low:g} to {high:.0f}, 3 decimals at most'
    return Column(name, _is_number(low, high), allowed, default)


def _name(name: str) -> Column:
    return Column(
        name,
        is_name,
        'a name of 1 to 40 lower-case letters, digits and hyphens',
    )


COLUMNS_BY_SECTION: Final[Mapping[str, tuple[Column, ...]]] = {
    'organisations': (
        _name('name'),
        _number('rate', 0.001, MAX_RATE),
        _number('burst', 1, MAX_RATE),
    ),
    'keys': (
        _name('organisation'),
        Column(
            'digest',
            _is_empty_or_matches(_DIGEST),
            'the SHA-256 digest of a key, 64 hexadecimal digits',
            default='',
        ),
        Column(
            'key',
            _is_empty_or_matches(_KEY),
            'a plain key of 32 to 200 characters A-Z a-z 0-9 . _ ~ + / = -',
            default='',
        ),
    ),
    'routes': (
        _name('name'),
        _choice('method', METHODS),
        Column(
            'path',
            _is_path,
            'an absolute path without query, fragment or dot segments, '
            'exact or ending in /*; another path never matches',
        ),
        _name('service'),
        _choice('importance', tuple(level.label for level in Importance)),
        _choice('idempotent', ('yes', 'no')),
        _choice('access', tuple(Access), Access.KEYED.value),
        _number('timeout', 0.001, MAX_ROUTE_TIMEOUT_SECONDS, '10'),
    ),
    'data-centres': (
        _name('name'),
        _choice('state', tuple(DataCentreState)),
    ),
}


def check_record(
    section: str, record: Record, file: str
) -> list[ValidationIssue]:
    """Check each cell of a record, without regard to other cells or records.

    Parameters
    ----------
    section : str
        Section that contains the record.
    record : Record
        Record to check.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    list of ValidationIssue
        One issue for each invalid cell.
    """
    return [
        _make_issue(section, column, record, file)
        for column in COLUMNS_BY_SECTION[section]
        # The check of the header reports a missing column once, so that the
        # column is not reported for each record.
        if column.name in record.cells
        and not column.is_allowed(record.cells[column.name])
    ]


def _make_issue(
    section: str,
    column: Column,
    record: Record,
    file: str,
) -> ValidationIssue:
    found = record.cells[column.name]
    nearest = nearest_name(found.lower(), column.choices)
    nearest = nearest or nearest_name(found.upper(), column.choices)
    hint = f'; did you mean {nearest!r}?' if nearest else ''
    # In the keys section, the name of an organisation is redacted too. An
    # invalid name may be a key in the wrong column.
    if section == 'keys' and found:
        found = REDACTED
    return ValidationIssue(
        file,
        f'{record.location}, {column.name}',
        redact_key(found),
        column.allowed + hint,
    )
