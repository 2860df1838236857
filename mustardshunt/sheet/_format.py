"""Writes a sheet as text, in the file format that the planner exports.

A sheet is the table of organisations, keys, routes and data centres that
operators accept.
"""

import csv
import io
from collections.abc import Iterable, Mapping
from itertools import starmap

from mustardshunt.sheet._columns import COLUMNS_BY_SECTION
from mustardshunt.sheet._compare import encode_cells
from mustardshunt.sheet._model import Sheet, SheetDraft


def format_sheet(sheet: Sheet | SheetDraft) -> str:
    """Return a sheet as text, in the format that the planner exports.

    Parameters
    ----------
    sheet : Sheet or SheetDraft
        Sheet to format.

    Returns
    -------
    str
        Text that ``parse_sheet`` can read. Keys are written as digests, and the
        operators' edits are written as comments.
    """
    records_by_section: Mapping[str, Iterable[Mapping[str, str]]] = {
        'organisations': [
            {'name': name, **encode_cells(organisation)}
            for name, organisation in sheet.organisation_by_name.items()
        ],
        'keys': [
            {'organisation': organisation, 'digest': digest, 'key': ''}
            for digest, organisation in sheet.organisation_by_digest.items()
        ],
        'routes': [
            {'name': name, **encode_cells(route)}
            for name, route in sheet.route_by_name.items()
        ],
        'data-centres': [
            {'name': name, 'state': state.value}
            for name, state in sheet.state_by_data_centre.items()
        ],
    }
    blocks = list(starmap(_format_section, records_by_section.items()))
    blocks.append(_format_edits(sheet))
    return '\n'.join(block for block in blocks if block)


def _format_section(
    section: str,
    records: Iterable[Mapping[str, str]],
) -> str:
    columns = [column.name for column in COLUMNS_BY_SECTION[section]]
    text = io.StringIO()
    text.write(f'[{section}]\n')
    writer = csv.DictWriter(text, columns, lineterminator='\n')
    writer.writeheader()
    writer.writerows(sorted(records, key=lambda record: tuple(record.values())))
    return text.getvalue()


def _format_edits(sheet: Sheet | SheetDraft) -> str:
    edits = sheet.edits
    lines = [f'# issued {digest}\n' for digest in sorted(edits.issued)]
    lines += [f'# revoked {digest}\n' for digest in sorted(edits.revoked)]
    lines += [f'# taken out {name}\n' for name in sorted(edits.taken_out)]
    return ''.join(lines)
