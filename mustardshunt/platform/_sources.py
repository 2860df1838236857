"""The store's tables as sources of policies and members."""

import json
from collections.abc import Iterable
from operator import attrgetter

from loguru import logger

from mustardshunt.base import VmAddress
from mustardshunt.load_balancing import Member
from mustardshunt.platform._names import (
    EVACUATION_PREFIX,
    MEMBER_TABLE,
    OPERATOR_TABLE,
    POLICY_KEY,
)
from mustardshunt.platform._policy import decode_policy
from mustardshunt.platform._store import Row, StoreClient
from mustardshunt.platform._values import (
    read_integer,
    read_json_object,
    read_text,
)
from mustardshunt.policy import Policy
from mustardshunt.sidecar import MemberUpdate, OperatorUpdate


class StoreOperatorSource:
    """What operators write into the store.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> OperatorUpdate:
        """Return all that is declared."""
        rows = await self._store.read(OPERATOR_TABLE)
        return _operator_news(rows.rows, rows.revision, is_whole=True)

    async def changes(self, revision: int, wait: float) -> OperatorUpdate:
        """Return what has changed since a revision, waiting for it."""
        rows = await self._store.changes(OPERATOR_TABLE, revision, wait)
        return _operator_news(rows.rows, rows.revision, is_whole=False)

    def parse(self, document: bytes) -> Policy | None:
        """Turn the text of a policy into a policy."""
        return decode_policy(document)


class StoreMemberDirectory:
    """The table in which nodes find each other.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def register(self, member: Member) -> None:
        """Write a node's entry."""
        entry = {
            'run': member.incarnation,
            'service': member.service,
            'zone': member.data_centre,
            'host': member.address.host,
            'port': member.address.port,
        }
        await self._store.put(
            MEMBER_TABLE,
            member.name,
            json.dumps(entry, separators=(',', ':')).encode(),
        )

    async def remove(self, name: str) -> None:
        """Remove a node's entry."""
        await self._store.remove(MEMBER_TABLE, name)

    async def read(self) -> MemberUpdate:
        """Return all entries."""
        rows = await self._store.read(MEMBER_TABLE)
        return _member_news(rows.rows, rows.revision, is_whole=True)

    async def changes(self, revision: int, wait: float) -> MemberUpdate:
        """Return the entries that have changed, waiting for one."""
        rows = await self._store.changes(MEMBER_TABLE, revision, wait)
        return _member_news(rows.rows, rows.revision, is_whole=False)


def _operator_news(
    rows: Iterable[Row],
    revision: int,
    is_whole: bool,
) -> OperatorUpdate:
    document = b''
    evacuated: list[tuple[str, int]] = []
    restored: list[tuple[str, int]] = []
    for row in rows:
        if row.key == POLICY_KEY and not row.is_removed:
            document = row.content
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        data_centre = row.key.removeprefix(EVACUATION_PREFIX)
        changes = restored if row.is_removed else evacuated
        changes.append((data_centre, row.revision))
    return OperatorUpdate(
        revision,
        decode_policy(document) if document else None,
        document,
        tuple(evacuated),
        tuple(restored),
        is_whole,
    )


def _member_news(
    rows: Iterable[Row],
    revision: int,
    is_whole: bool,
) -> MemberUpdate:
    changed = []
    removed = []
    for row in sorted(rows, key=attrgetter('revision')):
        if row.is_removed:
            removed.append(row.key)
            continue
        member = _decode_member(row)
        if member is not None:
            changed.append(member)
    return MemberUpdate(revision, tuple(changed), tuple(removed), is_whole)


def _decode_member(row: Row) -> Member | None:
    try:
        entry = read_json_object(json.loads(row.content))
        return Member(
            row.key,
            read_text(entry, 'run'),
            read_text(entry, 'service'),
            read_text(entry, 'zone'),
            VmAddress(
                read_text(entry, 'host'),
                read_integer(entry, 'port', 0),
            ),
        )
    except ValueError as error:
        # Another writer's entry names no node; the other entries hold.
        logger.bind(entry=row.key, error=str(error)).warning(
            'unreadable entry of a node',
        )
        return None
