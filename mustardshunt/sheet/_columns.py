"""Columns of each section of a sheet, and what each may hold."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Importance, ValidationIssue, nearest_name
from mustardshunt.sheet._model import Access, DataCentreState

# Bounds a node's drain limit: settings refuse a shorter one, so that a planned
# stop waits for every call that a route allows.
MAX_ROUTE_TIMEOUT_SECONDS: Final = 25.0
MAX_RATE: Final = 1_000_000.0
# Stands for the callers of open routes in fair queueing.
OPEN_ORGANISATION: Final = 'open'
METHODS: Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
REDACTED: Final = '(hidden)'

# Shorter than a key and without upper case, so that a key in the wrong column
# is recognised and not shown.
_NAME: Final = re.compile(r'[a-z0-9][a-z0-9-]{0,39}')
_DIGEST: Final = re.compile(r'[0-9a-fA-F]{64}')
# The characters that RFC 6750 allows in a bearer token.
_KEY: Final = re.compile(r'[A-Za-z0-9._~+/=-]{32,200}')
# Parts of a path are shorter; a longer run may be a key in a wrong place.
_LONG_RUN: Final = re.compile(r'[A-Za-z0-9._~+=-]{32}')
# Three decimals at most, so that a number has one canonical form.
_NUMBER: Final = re.compile(r'\d{1,9}(\.\d{1,3})?')
_PATH: Final = re.compile(r"(/[A-Za-z0-9._~!$&'()+,;=:@%-]*)*(/\*)?")


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a section.

    Parameters
    ----------
    name : str
        Name in the header.
    is_allowed : callable
        Tells whether a cell holds an allowed value.
    allowed : str
        What is allowed, for people.
    default : str or None, default=None
        Value of an empty cell; None when the cell must be filled.
    choices : tuple of str, default=()
        Words from which the nearest one is named.
    """

    name: str
    is_allowed: Callable[[str], bool]
    allowed: str
    default: str | None = None
    choices: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a section.

    Parameters
    ----------
    place : str
        Line or section where it stands.
    cells : mapping of str to str
        Value by column; lacks a column that the header lacks.
    """

    place: str
    cells: Mapping[str, str]

    def get(self, column: str) -> str:
        """Return a cell, empty when its column is missing."""
        return self.cells.get(column, '')


def is_name(text: str) -> bool:
    """Tell whether a text may name an organisation, route or data centre."""
    return _NAME.fullmatch(text) is not None


def is_digest(text: str) -> bool:
    """Tell whether a text is a SHA-256 digest in hexadecimal."""
    return _DIGEST.fullmatch(text) is not None


def redact_key(text: str) -> str:
    """Return a text for people, or a stand-in when it may hold a key.

    Examples
    --------
    >>> redact_key('/orders'), redact_key('k' * 43)
    ('/orders', '(hidden)')
    """
    may_be_key = _KEY.fullmatch(text) and not text.startswith('/')
    return REDACTED if may_be_key or _LONG_RUN.search(text) else text


def _is_empty_or(pattern: re.Pattern[str]) -> Callable[[str], bool]:
    return lambda text: not text or pattern.fullmatch(text) is not None


def _is_number(low: float, high: float) -> Callable[[str], bool]:
    return lambda text: (
        _NUMBER.fullmatch(text) is not None and low <= float(text) <= high
    )


def _is_path(text: str) -> bool:
    if not text.startswith('/') or _PATH.fullmatch(text) is None:
        return False
    # Clients resolve dot segments, so a path with one matches nothing.
    return not {'.', '..'}.intersection(text.split('/'))


def _choice(
    name: str,
    choices: tuple[str, ...],
    default: str | None = None,
) -> Column:
    words = ', '.join(choices)
    return Column(name, choices.__contains__, words, default, choices)


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
            _is_empty_or(_DIGEST),
            'the SHA-256 digest of a key, 64 hexadecimal digits',
            default='',
        ),
        Column(
            'key',
            _is_empty_or(_KEY),
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
    """Check each cell of a record by itself.

    Parameters
    ----------
    section : str
        Section of the record.
    record : Record
        Cells by column.
    file : str
        Name of the file, for the faults.

    Returns
    -------
    list of Fault
        One for each cell at fault.
    """
    return [
        _make_fault(section, column, record, file)
        for column in COLUMNS_BY_SECTION[section]
        # A column that is missing is one fault of the header.
        if column.name in record.cells
        and not column.is_allowed(record.cells[column.name])
    ]


def _make_fault(
    section: str,
    column: Column,
    record: Record,
    file: str,
) -> ValidationIssue:
    found = record.cells[column.name]
    nearest = nearest_name(found.lower(), column.choices)
    nearest = nearest or nearest_name(found.upper(), column.choices)
    hint = f'; did you mean {nearest!r}?' if nearest else ''
    # Also an organisation that is no name, since it may be a misplaced key.
    if section == 'keys' and found:
        found = REDACTED
    return ValidationIssue(
        file,
        f'{record.place}, {column.name}',
        redact_key(found),
        column.allowed + hint,
    )
