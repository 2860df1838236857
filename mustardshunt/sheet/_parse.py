"""Parses the sheet file that the planner exports."""

import csv
from collections.abc import Iterable, Sequence
from typing import Final

from mustardshunt.base import ValidationIssue, nearest_name
from mustardshunt.sheet._columns import (
    COLUMNS_BY_SECTION,
    REDACTED,
    Record,
    redact_key,
)
from mustardshunt.sheet._drafts import build_draft
from mustardshunt.sheet._model import SheetDraft, SheetEdits

_BYTE_ORDER_MARK: Final = '\ufeff'


def parse_sheet(
    text: str,
    file: str,
) -> tuple[SheetDraft | None, list[ValidationIssue]]:
    """Parse a planner's export into a draft, or list all issues of the file.

    Parameters
    ----------
    text : str
        Content of the file: sections of CSV records, one on each line.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    SheetDraft or None
        The sheet, not yet accepted; None when there is at least one issue.
    list of ValidationIssue
        All issues. Each states the line, the value found and the allowed
        values.

    Examples
    --------
    >>> draft, issues = parse_sheet('[organisations]', 'a.csv')
    >>> draft is None
    True
    >>> str(issues[0])
    "a.csv: line 1: found 'organisations', expected a header line after the \
section's name"
    """
    reader = _Reader(file)
    lines = text.removeprefix(_BYTE_ORDER_MARK).splitlines()
    for number, line in enumerate(lines, start=1):
        reader.read_line(f'line {number}', line)
    reader.finish()
    return build_draft(reader.records, file, SheetEdits(), reader.issues)


class _Reader:
    """Parses the lines of a sheet file into the records of each section."""

    def __init__(self, file: str) -> None:
        self.records: dict[str, list[Record]] = {
            section: [] for section in COLUMNS_BY_SECTION
        }
        self.issues: list[ValidationIssue] = []
        self._file = file
        self._location_by_section: dict[str, str] = {}
        # Name of the current section. The name is empty before the first
        # section, and while the lines of a section with an invalid or repeated
        # name are skipped.
        self._section = ''
        self._header: list[str] = []

    def read_line(self, location: str, line: str) -> None:
        """Parse one line: a section line, a header or a record."""
        cells = self._split(location, line)
        if not cells:
            return
        if cells[0].startswith('['):
            self._start_section(location, cells)
        elif not self._location_by_section:
            self._report(location, REDACTED, 'a section line such as [routes]')
        elif self._section and not self._header:
            self._read_header(location, cells)
        elif self._section:
            self._read_record(location, cells)

    def finish(self) -> None:
        """Report missing sections, and a missing header of the last section."""
        self._check_header_read()
        for section in COLUMNS_BY_SECTION:
            if section in self._location_by_section:
                continue
            self._report(f'[{section}]', '', 'the section, which is missing')

    def _split(self, location: str, line: str) -> list[str]:
        if line.startswith('#'):
            return []
        try:
            cells = next(csv.reader([line], strict=True), [])
        except csv.Error:
            self._report(
                location, REDACTED, 'one CSV record with closed quotes'
            )
            return []
        cells = [cell.strip() for cell in cells]
        # Removes the empty cells with which spreadsheet programs pad short
        # lines.
        while cells and not cells[-1]:
            cells.pop()
        return cells

    def _start_section(self, location: str, cells: Sequence[str]) -> None:
        self._check_header_read()
        section = cells[0].strip('[]')
        self._section = ''
        self._header = []
        if section not in COLUMNS_BY_SECTION:
            self._location_by_section.setdefault(section, location)
            allowed_words = ', '.join(COLUMNS_BY_SECTION)
            hint = _hint(section, COLUMNS_BY_SECTION)
            self._report(location, section, f'one of {allowed_words}{hint}')
            return
        first = self._location_by_section.setdefault(section, location)
        if first != location:
            self._report(
                location, section, f'each section once; first used in {first}'
            )
            return
        self._section = section

    def _check_header_read(self) -> None:
        if not self._section or self._header:
            return
        self._report(
            self._location_by_section[self._section],
            self._section,
            "a header line after the section's name",
        )

    def _read_header(self, location: str, cells: list[str]) -> None:
        columns = COLUMNS_BY_SECTION[self._section]
        names = [column.name for column in columns]
        self._header = cells
        for position, name in enumerate(cells):
            if name in cells[:position]:
                self._report(location, name, 'each column once')
            elif name not in names:
                column_names = ', '.join(names)
                self._report(
                    location, name, f'one of {column_names}{_hint(name, names)}'
                )
        for column in columns:
            if column.default is None and column.name not in cells:
                self._report(location, '', f'the column {column.name!r}')

    def _read_record(self, location: str, cells: list[str]) -> None:
        if len(cells) > len(self._header):
            self._report(
                location, REDACTED, f'at most {len(self._header)} cells'
            )
            return
        cell_by_column = dict(zip(self._header, cells, strict=False))
        self.records[self._section].append(
            Record(
                location,
                {
                    column.name: cell_by_column.get(column.name)
                    or (column.default or '')
                    for column in COLUMNS_BY_SECTION[self._section]
                    if column.default is not None or column.name in self._header
                },
            )
        )

    def _report(self, location: str, found: str, expected: str) -> None:
        self.issues.append(
            ValidationIssue(self._file, location, redact_key(found), expected)
        )


def _hint(name: str, known: Iterable[str]) -> str:
    nearest = nearest_name(name, known)
    return f'; did you mean {nearest!r}?' if nearest else ''
