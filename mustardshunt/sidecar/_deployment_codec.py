"""Frames in which nodes tell each other the state of the deployment."""

from collections.abc import Iterable
from typing import Any, Final

import cbor2

from mustardshunt.base import NO_REVISION, Revision, make_vm_address
from mustardshunt.load_balancing import Member
from mustardshunt.relay import FrameError, MemberState, OperatorState
from mustardshunt.sidecar._ports import (
    MemberUpdate,
    OperatorSource,
    OperatorUpdate,
)

# Types of the fields of an encoded entry, in order.
_ENTRY_TYPES: Final = (str, str, str, str, str, int)


def encode_evacuated(
    revision_by_name: Iterable[tuple[str, Revision]],
) -> bytes:
    """Return evacuated data centres with their revisions as CBOR."""
    return cbor2.dumps([
        [name, revision.era, revision.number]
        for name, revision in revision_by_name
    ])


def decode_operator_state(
    frame: OperatorState, source: OperatorSource
) -> OperatorUpdate:
    """Return the update that a peer's operator state stands for.

    Raises
    ------
    FrameError
        The evacuated data centres cannot be decoded.
    """
    evacuated = []
    for entry in _decode_list(frame.evacuated):
        if not _has_types(entry, (str, int, int)):
            raise FrameError(f'expected a data centre, found {entry!r}')
        evacuated.append((entry[0], Revision(entry[1], entry[2])))
    policy = source.parse(frame.document) if frame.document else None
    return OperatorUpdate(
        frame.revision,
        policy,
        frame.document,
        tuple(evacuated),
        (),
        is_snapshot=True,
        newest_change=frame.newest_change,
    )


def encode_member_state(update: MemberUpdate, base: Revision) -> MemberState:
    """Return the frame for changed entries.

    Parameters
    ----------
    update : MemberUpdate
        Changed entries, or all entries.
    base : Revision
        Revision that the receiver must know, ignored for a snapshot.
    """
    entries = [
        [
            member.name,
            member.incarnation,
            member.service,
            member.data_centre,
            member.address.host,
            member.address.port,
        ]
        for member in update.changed
    ]
    return MemberState(
        NO_REVISION if update.is_snapshot else base,
        update.revision,
        update.newest_change,
        cbor2.dumps([entries, list(update.removed)]),
    )


def decode_member_state(frame: MemberState) -> MemberUpdate:
    """Return the update that a peer's entries stand for.

    Raises
    ------
    FrameError
        The entries cannot be decoded.
    """
    parts = _decode_list(frame.entries)
    if not _has_types(parts, (list, list)):
        raise FrameError('expected changed entries and removed names')
    changed = []
    for entry in parts[0]:
        if not _has_types(entry, _ENTRY_TYPES):
            raise FrameError(f'expected an entry of a node, found {entry!r}')
        member = _make_member(*entry)
        if member is not None:
            changed.append(member)
    for name in parts[1]:
        if not isinstance(name, str):
            raise FrameError(f'expected the name of a node, found {name!r}')
    return MemberUpdate(
        frame.revision,
        tuple(changed),
        tuple(parts[1]),
        frame.base == NO_REVISION,
        frame.newest_change,
    )


def _make_member(
    name: str,
    incarnation: str,
    service: str,
    data_centre: str,
    host: str,
    port: int,
) -> Member | None:
    try:
        address = make_vm_address(host, port)
    except ValueError:
        # The peer has passed on an odd entry of another writer, which must not
        # hide the others.
        return None
    return Member(name, incarnation, service, data_centre, address)


def _decode_list(encoded: bytes) -> list[Any]:
    try:
        items = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(items, list):
        raise FrameError(f'expected an array, found {type(items).__name__}')
    return items


def _has_types(found: Any, types: tuple[type[Any], ...]) -> bool:
    return isinstance(found, list) and tuple(map(type, found)) == types
