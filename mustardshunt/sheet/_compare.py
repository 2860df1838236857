"""Differences between two sheets, for people."""

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
        Name of what differs; the digest for a key.
    operation : str
        ``added``, ``removed`` or ``changed``.
    detail : str
        The values, old and new.

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
    """List what differs between two sheets.

    Parameters
    ----------
    old, new : Sheet or SheetDraft
        Sheets; their versions are not compared.

    Returns
    -------
    list of Change
        By kind and name; empty when both declare the same.
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
    """Return a record's cells by column, without its name.

    Examples
    --------
    >>> encode_cells(Organisation('shop', 5.0, 2.0))
    {'rate': '5.0', 'burst': '2.0'}
    """
    text_by_column = {}
    for column in fields(record):
        found = getattr(record, column.name)
        if column.name == 'name':
            continue
        if isinstance(found, Importance):
            found = found.label
        if isinstance(found, bool):
            found = 'yes' if found else 'no'
        text_by_column[column.name] = str(found)
    return text_by_column


_Texts = Mapping[str, Mapping[str, str]]


def _compare(kind: str, old: _Texts, new: _Texts) -> list[SheetChange]:
    changes = []
    for name in sorted({*old, *new}):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if before is None:
            what, detail = 'added', _join(new[name])
        elif after is None:
            what, detail = 'removed', _join(before)
        else:
            what = 'changed'
            detail = ', '.join(
                f'{column} {before[column]} -> {after[column]}'
                for column in before
                if before[column] != after[column]
            )
        changes.append(SheetChange(kind, name, what, detail))
    return changes


def _join(text_by_column: Mapping[str, str]) -> str:
    return ', '.join(
        f'{column} {text}' for column, text in text_by_column.items()
    )


def _organisations(sheet: Sheet | SheetDraft) -> _Texts:
    return {
        name: encode_cells(organisation)
        for name, organisation in sheet.organisation_by_name.items()
    }


def _routes(sheet: Sheet | SheetDraft) -> _Texts:
    return {
        name: encode_cells(route) for name, route in sheet.route_by_name.items()
    }


def _keys(sheet: Sheet | SheetDraft) -> _Texts:
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


def _data_centres(sheet: Sheet | SheetDraft) -> _Texts:
    taken_out = sheet.edits.taken_out
    names = {*sheet.state_by_data_centre, *taken_out}
    return {
        name: {
            'state': str(sheet.state_by_data_centre.get(name, 'in')),
            'taken out by operators': 'yes' if name in taken_out else 'no',
        }
        for name in names
    }
