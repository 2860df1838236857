"""Checks sheet records and converts them to a draft.

A draft is a sheet that operators have not accepted yet. Some checks compare
several records, such as the check that each name occurs only once.
"""

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
# Sections that must not be empty. An empty or truncated export may lack all
# records of these sections, and a sheet without these records would refuse
# every caller.
_REQUIRED_SECTIONS: Final = ('organisations', 'routes')


def build_draft(
    records_by_section: RecordsBySection,
    file: str,
    edits: SheetEdits,
    syntax_issues: Sequence[ValidationIssue] = (),
) -> tuple[SheetDraft | None, list[ValidationIssue]]:
    """Check the records of a sheet and convert them to a draft.

    Parameters
    ----------
    records_by_section : mapping of str to sequence of Record
        Records of all sections.
    file : str
        Name of the file, for error messages.
    edits : SheetEdits
        Operators' edits that the draft contains.
    syntax_issues : sequence of ValidationIssue, default=()
        Syntax errors that the parser found when it read the records.

    Returns
    -------
    SheetDraft or None
        The draft; None when there is at least one issue.
    list of ValidationIssue
        The issues in ``syntax_issues``, then the issues of the records.
    """
    issues = list(syntax_issues)
    for section, records in records_by_section.items():
        for record in records:
            issues.extend(check_record(section, record, file))
    issues += _check_across_records(records_by_section, file)
    if issues:
        return None, issues
    return _make_draft(records_by_section, edits), []


def record_digest(record: Record) -> str:
    """Return the digest in a key record, or the digest of its plain key."""
    digest = record.get('digest').lower()
    return digest or digest_key(record.get('key'))


def _check_across_records(
    records_by_section: RecordsBySection,
    file: str,
) -> list[ValidationIssue]:
    issues = [
        ValidationIssue(file, f'[{section}]', '', 'at least one record')
        for section in _REQUIRED_SECTIONS
        if not records_by_section[section]
    ]
    organisations = records_by_section['organisations']
    routes = records_by_section['routes']
    keys = records_by_section['keys']
    for section in ('organisations', 'routes', 'data-centres'):
        issues.extend(_check_names(records_by_section[section], file))
    issues += _check_unique(routes, file, 'method and path', _method_and_path)
    issues += _check_unique(
        [record for record in keys if _has_digest_xor_key(record)],
        file,
        'key',
        record_digest,
        secret=True,
    )
    issues += _check_reserved(organisations, file)
    return issues + _check_keys(keys, organisations, file)


def _check_names(records: Sequence[Record], file: str) -> list[ValidationIssue]:
    return _check_unique(records, file, _NAME, lambda record: record.get(_NAME))


def _check_unique(
    records: Sequence[Record],
    file: str,
    kind: str,
    identify: Callable[[Record], str],
    *,
    secret: bool = False,
) -> list[ValidationIssue]:
    issues = []
    location_by_identity: dict[str, str] = {}
    for record in records:
        identity = identify(record)
        if not identity:
            continue
        first = location_by_identity.setdefault(identity, record.location)
        if first == record.location:
            continue
        redacted = REDACTED if secret else redact_key(identity)
        expected = f'each {kind} once; first used in {first}'
        issues.append(
            ValidationIssue(file, record.location, redacted, expected)
        )
    return issues


def _check_reserved(
    organisations: Sequence[Record],
    file: str,
) -> list[ValidationIssue]:
    return [
        ValidationIssue(
            file,
            f'{record.location}, name',
            OPEN_ORGANISATION,
            'another name; this one is reserved for callers of open routes',
        )
        for record in organisations
        if record.get(_NAME) == OPEN_ORGANISATION
    ]


def _check_keys(
    keys: Sequence[Record],
    organisations: Sequence[Record],
    file: str,
) -> list[ValidationIssue]:
    issues = []
    known = {record.get(_NAME) for record in organisations}
    for record in keys:
        if not _has_digest_xor_key(record):
            issues.append(
                ValidationIssue(
                    file,
                    f'{record.location}, digest and key',
                    REDACTED,
                    'a value in exactly one of the two columns',
                )
            )
        name = record.get('organisation')
        # An invalid name is already reported by the check of the cell, and a
        # missing column by the check of the header.
        if name in known or '' in known or check_record('keys', record, file):
            continue
        nearest = nearest_name(name, known)
        hint = f'; did you mean {nearest!r}?' if nearest else ''
        issues.append(
            ValidationIssue(
                file,
                f'{record.location}, organisation',
                redact_key(name),
                f'the name of a record in section [organisations]{hint}',
            )
        )
    return issues


def _has_digest_xor_key(record: Record) -> bool:
    return bool(record.get('digest')) != bool(record.get('key'))


def _method_and_path(record: Record) -> str:
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
