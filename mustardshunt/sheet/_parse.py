"""Reading of a planner's export."""

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
    """Turn a planner's export into a draft, or list all its faults.

    Parameters
    ----------
    text : str
        Content of the file: CSV sections, one record on each line.
    file : str
        Name of the file, for the faults.

    Returns
    -------
    SheetDraft or None
        None when there is a fault.
    list of Fault
        All faults, with line, value and what is allowed.

    Examples
    --------
    >>> draft, faults = parse_sheet('[organisations]', 'a.csv')
    >>> draft is None
    True
    >>> str(faults[0])
    "a.csv: line 1: 'organisations': a header line after the section's name"
    """
    reader = _Reader(file)
    lines = text.removeprefix(_BYTE_ORDER_MARK).splitlines()
    for number, line in enumerate(lines, start=1):
        reader.read_line(f'line {number}', line)
    reader.finish()
    return build_draft(reader.records, file, SheetEdits(), reader.faults)


class _Reader:
    """Splits lines into the records of each section."""

    def __init__(self, file: str) -> None:
        self.records: dict[str, list[Record]] = {
            section: [] for section in COLUMNS_BY_SECTION
        }
        self.faults: list[ValidationIssue] = []
        self._file = file
        self._place_by_section: dict[str, str] = {}
        # Empty before the first section and in an unknown one.
        self._section = ''
        self._header: list[str] = []

    def read_line(self, place: str, line: str) -> None:
        """Read one line."""
        cells = self._split(place, line)
        if not cells:
            return
        if cells[0].startswith('['):
            self._start_section(place, cells)
        elif not self._place_by_section:
            self._report(place, REDACTED, 'a section line such as [routes]')
        elif self._section and not self._header:
            self._read_header(place, cells)
        elif self._section:
            self._read_record(place, cells)

    def finish(self) -> None:
        """Report what is missing at the end of the file."""
        self._check_header_read()
        for section in COLUMNS_BY_SECTION:
            if section in self._place_by_section:
                continue
            self._report(f'[{section}]', '', 'every section, here missing')

    def _split(self, place: str, line: str) -> list[str]:
        if line.startswith('#'):
            return []
        try:
            cells = next(csv.reader([line], strict=True), [])
        except csv.Error:
            self._report(place, REDACTED, 'one CSV record with closed quotes')
            return []
        cells = [cell.strip() for cell in cells]
        # Spreadsheets pad short lines with empty cells.
        while cells and not cells[-1]:
            cells.pop()
        return cells

    def _start_section(self, place: str, cells: Sequence[str]) -> None:
        self._check_header_read()
        section = cells[0].strip('[]')
        self._section = ''
        self._header = []
        if section not in COLUMNS_BY_SECTION:
            self._place_by_section.setdefault(section, place)
            words = ', '.join(COLUMNS_BY_SECTION)
            hint = _hint(section, COLUMNS_BY_SECTION)
            self._report(place, section, f'one of {words}{hint}')
            return
        first = self._place_by_section.setdefault(section, place)
        if first != place:
            self._report(
                place, section, f'each section once; it stands in {first}'
            )
            return
        self._section = section

    def _check_header_read(self) -> None:
        if not self._section or self._header:
            return
        self._report(
            self._place_by_section[self._section],
            self._section,
            "a header line after the section's name",
        )

    def _read_header(self, place: str, cells: list[str]) -> None:
        columns = COLUMNS_BY_SECTION[self._section]
        names = [column.name for column in columns]
        self._header = cells
        for position, name in enumerate(cells):
            if name in cells[:position]:
                self._report(place, name, 'each column once')
            elif name not in names:
                words = ', '.join(names)
                self._report(place, name, f'one of {words}{_hint(name, names)}')
        for column in columns:
            if column.default is None and column.name not in cells:
                self._report(place, '', f'the column {column.name!r}')

    def _read_record(self, place: str, cells: list[str]) -> None:
        if len(cells) > len(self._header):
            self._report(place, REDACTED, f'{len(self._header)} cells')
            return
        filled = dict(zip(self._header, cells, strict=False))
        self.records[self._section].append(
            Record(
                place,
                {
                    column.name: filled.get(column.name)
                    or (column.default or '')
                    for column in COLUMNS_BY_SECTION[self._section]
                    if column.default is not None or column.name in self._header
                },
            )
        )

    def _report(self, place: str, found: str, allowed: str) -> None:
        self.faults.append(
            ValidationIssue(self._file, place, redact_key(found), allowed)
        )


def _hint(name: str, known: Iterable[str]) -> str:
    nearest = nearest_name(name, known)
    return f'; did you mean {nearest!r}?' if nearest else ''
