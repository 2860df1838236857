"""Operators' edits of the sheet, which later exports must not undo.

Operators issue and revoke keys and take data centres out of service between two
sheet files of the planner. Each edit makes a draft, which is a sheet that is
not yet accepted.
"""

from collections.abc import Mapping
from dataclasses import replace

from mustardshunt.base import ErrorCode, MustardshuntError, nearest_name
from mustardshunt.sheet._columns import is_digest
from mustardshunt.sheet._model import DataCentreState, Sheet, SheetDraft


def issue_key(sheet: Sheet, organisation: str, digest: str) -> SheetDraft:
    """Return a draft of the active sheet with one more key.

    Parameters
    ----------
    sheet : Sheet
        Active sheet.
    organisation : str
        Organisation of the new key.
    digest : str
        SHA-256 digest of the new key.

    Returns
    -------
    SheetDraft
        Draft with the new key. The key remains valid when a later export of the
        planner does not list the key.

    Raises
    ------
    MustardshuntError
        The organisation is unknown, or the digest is invalid or was used
        before.
    """
    if organisation not in sheet.organisation_by_name:
        nearest = nearest_name(organisation, sheet.organisation_by_name)
        hint = f', did you mean {nearest!r}?' if nearest else ''
        raise MustardshuntError(
            ErrorCode.NOT_FOUND,
            f'no organisation {organisation!r} in version '
            f'{sheet.version}{hint}',
        )
    draft = sheet.to_draft()
    used = {*draft.organisation_by_digest, *draft.edits.revoked}
    if not is_digest(digest) or digest in used:
        raise MustardshuntError(
            ErrorCode.BAD_PARAMETER,
            f'digest is {digest!r}, expected a SHA-256 digest that is not used '
            'by a listed or revoked key',
        )
    return replace(
        draft,
        organisation_by_digest={
            **draft.organisation_by_digest,
            digest: organisation,
        },
        edits=replace(draft.edits, issued=draft.edits.issued | {digest}),
    )


def revoke_key(sheet: Sheet, digest: str) -> SheetDraft:
    """Return a draft of the active sheet with one key permanently revoked.

    Parameters
    ----------
    sheet : Sheet
        Active sheet.
    digest : str
        SHA-256 digest of the key.

    Returns
    -------
    SheetDraft
        Draft without the key. Later exports of the planner cannot restore the
        key. The draft equals the active sheet when the key is already revoked.

    Raises
    ------
    MustardshuntError
        The active sheet has no key with this digest.
    """
    draft = sheet.to_draft()
    if digest in draft.edits.revoked:
        return draft
    if digest not in draft.organisation_by_digest:
        raise MustardshuntError(
            ErrorCode.NOT_FOUND,
            f'no key with digest {digest} in version {sheet.version}',
        )
    return _without_revoked(
        replace(
            draft,
            edits=replace(
                draft.edits,
                issued=draft.edits.issued - {digest},
                revoked=draft.edits.revoked | {digest},
            ),
        )
    )


def set_data_centre(
    sheet: Sheet,
    name: str,
    state: DataCentreState,
) -> SheetDraft:
    """Return a draft that takes a data centre out of or back into service.

    Parameters
    ----------
    sheet : Sheet
        Active sheet.
    name : str
        Name of the data centre, as in the settings of its nodes.
    state : DataCentreState
        New state of the data centre.

    Returns
    -------
    SheetDraft
        Draft with the new state. When operators have taken a data centre out of
        service, later exports of the planner cannot put the data centre back.

    Raises
    ------
    MustardshuntError
        The active sheet does not name the data centre.
    """
    draft = sheet.to_draft()
    known = {*draft.state_by_data_centre, *draft.edits.taken_out}
    if name not in known:
        nearest = nearest_name(name, known)
        hint = f', did you mean {nearest!r}?' if nearest else ''
        raise MustardshuntError(
            ErrorCode.NOT_FOUND,
            f'no data centre {name!r} in version {sheet.version}{hint}',
        )
    taken_out = draft.edits.taken_out - {name}
    if state is DataCentreState.OUT:
        taken_out |= {name}
    return replace(
        draft,
        state_by_data_centre={**draft.state_by_data_centre, name: state},
        edits=replace(draft.edits, taken_out=taken_out),
    )


def merge_export(draft: SheetDraft, sheet: Sheet) -> SheetDraft:
    """Merge a planner's export with the operators' edits of the active sheet.

    A planner's export (the sheet file that the planner exports) may be older
    than the latest edits. Without the merge, such an export would make a
    revoked key valid again, remove an issued key, or put a data centre back
    into service during maintenance.

    Parameters
    ----------
    draft : SheetDraft
        Draft that was parsed from the planner's export.
    sheet : Sheet
        Active sheet.

    Returns
    -------
    SheetDraft
        Draft of the next version. An issued key is dropped when its
        organisation is missing in the export.
    """
    edits = sheet.edits
    issued = {
        digest: organisation
        for digest, organisation in sheet.organisation_by_digest.items()
        if digest in edits.issued
        and digest not in draft.organisation_by_digest
        and organisation in draft.organisation_by_name
    }
    out_by_data_centre: Mapping[str, DataCentreState] = dict.fromkeys(
        edits.taken_out, DataCentreState.OUT
    )
    return _without_revoked(
        replace(
            draft,
            organisation_by_digest={**draft.organisation_by_digest, **issued},
            state_by_data_centre={
                **draft.state_by_data_centre,
                **out_by_data_centre,
            },
            edits=replace(edits, issued=frozenset(issued)),
        )
    )


def _without_revoked(draft: SheetDraft) -> SheetDraft:
    return replace(
        draft,
        organisation_by_digest={
            digest: organisation
            for digest, organisation in draft.organisation_by_digest.items()
            if digest not in draft.edits.revoked
        },
    )
