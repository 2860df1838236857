"""Sections of a sheet, and the head that lists their digests.

A sheet is stored and sent in sections, each addressed by the digest of its
content. The head is the record of a sheet version: its number and the digests
of its sections.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.sheet._columns import COLUMNS_BY_SECTION, Record
from mustardshunt.sheet._compare import encode_cells
from mustardshunt.sheet._drafts import build_draft
from mustardshunt.sheet._model import Sheet, SheetDraft, SheetEdits

_SHARDS: Final = tuple('0123456789abcdef')
# Names of the sections of each sheet. Keys are divided into 16 sections by the
# first digit of their digest. After a key is revoked, each node therefore
# fetches only a sixteenth of all keys.
SECTIONS: Final = (
    'organisations',
    'routes',
    'data-centres',
    *(f'keys-{digit}' for digit in _SHARDS),
)


@dataclass(frozen=True, slots=True)
class SheetHead:
    """Record of a sheet version: its number and the digests of its sections.

    Parameters
    ----------
    version : int
        Version of the sheet, 1 for the first one.
    digest_by_section : mapping of str to str
        SHA-256 digest of each section's content.
    """

    version: int
    digest_by_section: Mapping[str, str]


def split_sheet(
    draft: SheetDraft,
    version: int = 0,
) -> tuple[SheetHead, dict[str, bytes]]:
    """Split a draft (a sheet without a version) into sections.

    Parameters
    ----------
    draft : SheetDraft
        Draft to split. Equal drafts result in equal sections.
    version : int, default=0
        Version to state in the head.

    Returns
    -------
    SheetHead
        Head with the version and the digests of all sections.
    dict of str to bytes
        Content of each section by digest, in canonical JSON.
    """
    digest_by_section = {}
    content_by_digest = {}
    for section, content in _build_contents(draft).items():
        encoded = _encode(content)
        digest = digest_content(encoded)
        digest_by_section[section] = digest
        content_by_digest[digest] = encoded
    return SheetHead(version, digest_by_section), content_by_digest


def join_sections(
    head: SheetHead,
    content_by_digest: Mapping[str, bytes],
) -> Sheet:
    """Build a sheet from the sections that its head lists.

    Parameters
    ----------
    head : SheetHead
        Head that lists the sections.
    content_by_digest : mapping of str to bytes
        Content of each section by digest.

    Returns
    -------
    Sheet
        Sheet whose version is that of the head.

    Raises
    ------
    MustardshuntError
        A section is missing, does not match its digest, or fails the checks
        that apply to a planner's export.
    """
    if set(head.digest_by_section) != set(SECTIONS):
        found = ', '.join(sorted(head.digest_by_section))
        raise _make_error(
            f'head of version {head.version} lists the sections {found}, not '
            'all sections of a sheet'
        )
    content_by_section = {
        section: _decode(section, digest, content_by_digest.get(digest))
        for section, digest in head.digest_by_section.items()
    }
    draft = _join_contents(head.version, content_by_section)
    return Sheet(
        head.version,
        draft.organisation_by_name,
        draft.organisation_by_digest,
        draft.route_by_name,
        draft.state_by_data_centre,
        draft.edits,
    )


def encode_head(head: SheetHead) -> str:
    """Return a sheet head as canonical JSON.

    Examples
    --------
    >>> encode_head(SheetHead(3, {'routes': '00'}))
    '{"sections":{"routes":"00"},"version":3}'
    """
    return _encode({
        'version': head.version,
        'sections': dict(head.digest_by_section),
    }).decode()


def decode_head(text: str) -> SheetHead:
    """Return the sheet head that a JSON text encodes.

    Raises
    ------
    MustardshuntError
        The text is not a JSON object with an integer ``version`` of at least 0
        and ``sections``.

    Examples
    --------
    >>> decode_head('{"sections":{"routes":"00"},"version":3}').version
    3
    """
    try:
        content = json.loads(text)
        version, sections = content['version'], content['sections']
        digest_by_section = {
            str(name): str(sections[name]) for name in sections
        }
    except (ValueError, LookupError, TypeError) as error:
        raise _make_error(
            f'head is {text[:80]!r}, expected a JSON object with version and '
            'sections'
        ) from error
    if not isinstance(version, int) or version < 0:
        raise _make_error(
            f'version of the head is {version!r}, expected an integer >= 0'
        )
    return SheetHead(version, digest_by_section)


def digest_content(content: bytes) -> str:
    """Return the SHA-256 digest of a section's content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def _build_contents(draft: SheetDraft) -> dict[str, dict[str, Any]]:
    contents: dict[str, dict[str, Any]] = {
        'organisations': {
            'records': _encode_records(draft.organisation_by_name),
        },
        'routes': {'records': _encode_records(draft.route_by_name)},
        'data-centres': {
            'records': {
                name: {'state': state.value}
                for name, state in draft.state_by_data_centre.items()
            },
            'taken_out': sorted(draft.edits.taken_out),
        },
    }
    for digit in _SHARDS:
        contents[f'keys-{digit}'] = {
            'records': {
                digest: {'organisation': organisation}
                for digest, organisation in draft.organisation_by_digest.items()
                if digest.startswith(digit)
            },
            'issued': _filter_by_prefix(digit, draft.edits.issued),
            'revoked': _filter_by_prefix(digit, draft.edits.revoked),
        }
    return contents


def _encode_records(
    record_by_name: Mapping[str, Any],
) -> dict[str, dict[str, str]]:
    return {
        name: encode_cells(record) for name, record in record_by_name.items()
    }


def _filter_by_prefix(digit: str, digests: frozenset[str]) -> list[str]:
    return sorted(digest for digest in digests if digest.startswith(digit))


def _encode(content: Mapping[str, Any]) -> bytes:
    return json.dumps(
        content,
        sort_keys=True,
        separators=(',', ':'),
    ).encode()


def _decode(section: str, digest: str, content: bytes | None) -> dict[str, Any]:
    if content is None:
        raise _make_error(
            f'section {section}: content with digest {digest} is missing'
        )
    if digest_content(content) != digest:
        raise _make_error(
            f'section {section}: content does not match its digest {digest}'
        )
    try:
        decoded = json.loads(content)
    except ValueError as error:
        raise _make_error(f'section {section}: content is not JSON') from error
    if not isinstance(decoded, dict):
        raise _make_error(f'section {section}: content is not a JSON object')
    return decoded


def _join_contents(
    version: int,
    content_by_section: Mapping[str, Mapping[str, Any]],
) -> SheetDraft:
    records: dict[str, list[Record]] = {
        section: [] for section in COLUMNS_BY_SECTION
    }
    issued: set[str] = set()
    revoked: set[str] = set()
    try:
        for section, content in content_by_section.items():
            table = (
                section.partition('-')[0]
                if section.startswith('keys')
                else section
            )
            records[table] += _read_records(section, table, content['records'])
            issued.update(content.get('issued', ()))
            revoked.update(content.get('revoked', ()))
        taken_out = frozenset(content_by_section['data-centres']['taken_out'])
    except (LookupError, TypeError, AttributeError) as error:
        raise _make_error(
            f'version {version}: a section is malformed or incomplete: {error}'
        ) from error
    edits = SheetEdits(frozenset(issued), frozenset(revoked), taken_out)
    draft, issues = build_draft(records, f'version {version}', edits)
    if draft is None:
        raise _make_error('; '.join(str(issue) for issue in issues[:3]))
    return draft


def _read_records(
    section: str,
    table: str,
    cells_by_name: Mapping[str, Mapping[str, str]],
) -> list[Record]:
    name_column = 'digest' if table == 'keys' else 'name'
    records = []
    for name, cells in cells_by_name.items():
        value_by_column = {**cells, name_column: name}
        records.append(
            Record(
                f'section {section}, record {name}',
                {
                    column.name: str(
                        value_by_column.get(column.name, column.default or '')
                    )
                    for column in COLUMNS_BY_SECTION[table]
                },
            )
        )
    return records


def _make_error(message: str) -> MustardshuntError:
    return MustardshuntError(ErrorCode.BAD_SHEET, message)
