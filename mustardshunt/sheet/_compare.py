"""Lists the differences between two sheets, for display to operators."""

from collections.abc import Mapping
from dataclasses import dataclass, fields

from mustardshunt.base import Importance
from mustardshunt.sheet._model import Organisation, Route, Sheet, SheetDraft


@dataclass(frozen=True, slots=True)
class SheetChange:
    """One difference between two sheets.

    Parameters
    ----------
    kind : str
        ``organisation``, ``key``, ``route`` or ``data-centre``.
    name : str
        Name of the organisation, route or data centre that differs. For a key,
        the digest of the key.
    operation : str
        ``added``, ``removed`` or ``changed``.
    detail : str
        For an addition or removal, the values of the record. For a change, the
        old and the new value of each column that differs.

    Examples
    --------
    >>> print(SheetChange('organisation', 'shop', 'changed', 'rate 5.0 -> 7.0'))
    organisation shop changed: rate 5.0 -> 7.0
    """

    kind: str
    name: str
    operation: str
    detail: str

    def __str__(self) -> str:
        return f'{self.kind} {self.name} {self.operation}: {self.detail}'


def compare_sheets(
    old: Sheet | SheetDraft,
    new: Sheet | SheetDraft,
) -> list[SheetChange]:
    """List the differences between two sheets.

    Parameters
    ----------
    old, new : Sheet or SheetDraft
        Sheets to compare. Their versions are ignored.

    Returns
    -------
    list of SheetChange
        Differences, sorted by kind and name; empty when the contents of both
        sheets are equal.
    """
    changes = []
    for kind, old_by_name, new_by_name in (
        ('organisation', _organisations(old), _organisations(new)),
        ('key', _keys(old), _keys(new)),
        ('route', _routes(old), _routes(new)),
        ('data-centre', _data_centres(old), _data_centres(new)),
    ):
        changes.extend(_compare(kind, old_by_name, new_by_name))
    return changes


def encode_cells(record: Organisation | Route) -> dict[str, str]:
    """Return the cell texts of a record by column, without the column ``name``.

    Examples
    --------
    >>> encode_cells(Organisation('shop', 5.0, 2.0))
    {'rate': '5.0', 'burst': '2.0'}
    """
    text_by_column = {}
    for column in fields(record):
        field_value = getattr(record, column.name)
        if column.name == 'name':
            continue
        if isinstance(field_value, Importance):
            field_value = field_value.label
        if isinstance(field_value, bool):
            field_value = 'yes' if field_value else 'no'
        text_by_column[column.name] = str(field_value)
    return text_by_column


_CellsByName = Mapping[str, Mapping[str, str]]


def _compare(
    kind: str, old: _CellsByName, new: _CellsByName
) -> list[SheetChange]:
    changes = []
    for name in sorted({*old, *new}):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if before is None:
            operation, detail = 'added', _format_cells(new[name])
        elif after is None:
            operation, detail = 'removed', _format_cells(before)
        else:
            operation = 'changed'
            detail = ', '.join(
                f'{column} {before[column]} -> {after[column]}'
                for column in before
                if before[column] != after[column]
            )
        changes.append(SheetChange(kind, name, operation, detail))
    return changes


def _format_cells(text_by_column: Mapping[str, str]) -> str:
    return ', '.join(
        f'{column} {text}' for column, text in text_by_column.items()
    )


def _organisations(sheet: Sheet | SheetDraft) -> _CellsByName:
    return {
        name: encode_cells(organisation)
        for name, organisation in sheet.organisation_by_name.items()
    }


def _routes(sheet: Sheet | SheetDraft) -> _CellsByName:
    return {
        name: encode_cells(route) for name, route in sheet.route_by_name.items()
    }


def _keys(sheet: Sheet | SheetDraft) -> _CellsByName:
    revoked = {
        digest: {'state': 'revoked', 'organisation': 'none'}
        for digest in sheet.edits.revoked
    }
    listed = {
        digest: {
            'state': 'issued' if digest in sheet.edits.issued else 'listed',
            'organisation': organisation,
        }
        for digest, organisation in sheet.organisation_by_digest.items()
    }
    return {**listed, **revoked}


def _data_centres(sheet: Sheet | SheetDraft) -> _CellsByName:
    taken_out = sheet.edits.taken_out
    names = {*sheet.state_by_data_centre, *taken_out}
    return {
        name: {
            'state': str(sheet.state_by_data_centre.get(name, 'in')),
            'taken out by operators': 'yes' if name in taken_out else 'no',
        }
        for name in names
    }
