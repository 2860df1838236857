"""From records to a draft, with the checks between records."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from mustardshunt.base import Importance, ValidationIssue, nearest_name
from mustardshunt.sheet._columns import (
    OPEN_ORGANISATION,
    REDACTED,
    Record,
    check_record,
    redact_key,
)
from mustardshunt.sheet._model import (
    Access,
    DataCentreState,
    Organisation,
    Route,
    SheetDraft,
    SheetEdits,
    digest_key,
)

RecordsBySection = Mapping[str, Sequence[Record]]

_NAME: Final = 'name'
# Sections that an empty or cut-off export would leave empty, which would
# refuse every caller.
_NEVER_EMPTY: Final = ('organisations', 'routes')


def build_draft(
    records_by_section: RecordsBySection,
    file: str,
    edits: SheetEdits,
    found: Sequence[ValidationIssue] = (),
) -> tuple[SheetDraft | None, list[ValidationIssue]]:
    """Check records and turn them into a draft.

    Parameters
    ----------
    records_by_section : mapping of str to sequence of Record
        Records of all sections.
    file : str
        Name of the file, for the faults.
    edits : SheetEdits
        Operators' edits that the draft carries.
    found : sequence of ValidationIssue, default=()
        Faults found before, in how the records are written.

    Returns
    -------
    SheetDraft or None
        None when there is a fault.
    list of Fault
        All faults.
    """
    faults = list(found)
    for section, records in records_by_section.items():
        for record in records:
            faults.extend(check_record(section, record, file))
    faults += _check_between(records_by_section, file)
    if faults:
        return None, faults
    return _make_draft(records_by_section, edits), []


def record_digest(record: Record) -> str:
    """Return the digest of a key record, from its plain key if need be."""
    digest = record.get('digest').lower()
    return digest or digest_key(record.get('key'))


def _check_between(
    records_by_section: RecordsBySection,
    file: str,
) -> list[ValidationIssue]:
    faults = [
        ValidationIssue(file, f'[{section}]', '', 'at least one record')
        for section in _NEVER_EMPTY
        if not records_by_section[section]
    ]
    organisations = records_by_section['organisations']
    routes = records_by_section['routes']
    keys = records_by_section['keys']
    for section in ('organisations', 'routes', 'data-centres'):
        faults.extend(_check_names(records_by_section[section], file))
    faults += _check_unique(routes, file, 'method and path', _target)
    faults += _check_unique(
        [record for record in keys if _has_one_form(record)],
        file,
        'key',
        record_digest,
        secret=True,
    )
    faults += _check_reserved(organisations, file)
    return faults + _check_keys(keys, organisations, file)


def _check_names(records: Sequence[Record], file: str) -> list[ValidationIssue]:
    return _check_unique(records, file, _NAME, lambda record: record.get(_NAME))


def _check_unique(
    records: Sequence[Record],
    file: str,
    what: str,
    identify: Callable[[Record], str],
    *,
    secret: bool = False,
) -> list[ValidationIssue]:
    faults = []
    place_by_identity: dict[str, str] = {}
    for record in records:
        identity = identify(record)
        if not identity:
            continue
        first = place_by_identity.setdefault(identity, record.place)
        if first == record.place:
            continue
        shown = REDACTED if secret else redact_key(identity)
        allowed = f'each {what} once; it stands already in {first}'
        faults.append(ValidationIssue(file, record.place, shown, allowed))
    return faults


def _check_reserved(
    organisations: Sequence[Record],
    file: str,
) -> list[ValidationIssue]:
    return [
        ValidationIssue(
            file,
            f'{record.place}, name',
            OPEN_ORGANISATION,
            'another name; this one stands for callers of open routes',
        )
        for record in organisations
        if record.get(_NAME) == OPEN_ORGANISATION
    ]


def _check_keys(
    keys: Sequence[Record],
    organisations: Sequence[Record],
    file: str,
) -> list[ValidationIssue]:
    faults = []
    known = {record.get(_NAME) for record in organisations}
    for record in keys:
        if not _has_one_form(record):
            faults.append(
                ValidationIssue(
                    file,
                    f'{record.place}, digest and key',
                    REDACTED,
                    'exactly one of the two filled',
                )
            )
        name = record.get('organisation')
        # A faulty name is reported by the check of its cell, a missing column
        # by that of the header.
        if name in known or '' in known or check_record('keys', record, file):
            continue
        nearest = nearest_name(name, known)
        hint = f'; did you mean {nearest!r}?' if nearest else ''
        faults.append(
            ValidationIssue(
                file,
                f'{record.place}, organisation',
                redact_key(name),
                f'an organisation of the section [organisations]{hint}',
            )
        )
    return faults


def _has_one_form(record: Record) -> bool:
    return bool(record.get('digest')) != bool(record.get('key'))


def _target(record: Record) -> str:
    method, path = record.get('method'), record.get('path')
    return f'{method} {path}' if method and path else ''


def _make_draft(
    records_by_section: RecordsBySection,
    edits: SheetEdits,
) -> SheetDraft:
    organisations = [
        Organisation(
            record.cells[_NAME],
            float(record.cells['rate']),
            float(record.cells['burst']),
        )
        for record in records_by_section['organisations']
    ]
    routes = [
        _make_route(record.cells) for record in records_by_section['routes']
    ]
    return SheetDraft(
        {organisation.name: organisation for organisation in organisations},
        {
            record_digest(record): record.cells['organisation']
            for record in records_by_section['keys']
        },
        {route.name: route for route in routes},
        {
            record.cells[_NAME]: DataCentreState(record.cells['state'])
            for record in records_by_section['data-centres']
        },
        edits,
    )


def _make_route(cells: Mapping[str, str]) -> Route:
    return Route(
        cells[_NAME],
        cells['method'],
        cells['path'],
        cells['service'],
        Importance.parse(cells['importance']),
        idempotent=cells['idempotent'] == 'yes',
        access=Access(cells['access']),
        timeout=float(cells['timeout']),
    )
