"""Reads policies, evacuations and registered nodes from the store.

An evacuation is the entry of a data centre that operators have taken out of
service.
"""

import json
from collections.abc import Collection, Iterable
from operator import attrgetter

from loguru import logger

from mustardshunt.base import NO_REVISION, Revision
from mustardshunt.load_balancing import Member
from mustardshunt.platform._names import (
    EVACUATION_PREFIX,
    MEMBER_TABLE,
    OPERATOR_TABLE,
    POLICY_KEY,
    ROLLOUT_PREFIX,
    VERDICT_PREFIX,
)
from mustardshunt.platform._policy import decode_policy
from mustardshunt.platform._rollouts import decode_orders
from mustardshunt.platform._store import Row, StoreClient
from mustardshunt.platform._values import (
    MalformedError,
    parse_json,
    read_address,
    read_integer,
    read_json_object,
    read_names,
    read_number,
    read_printable,
    read_text,
)
from mustardshunt.policy import Policy
from mustardshunt.sidecar import MemberUpdate, OperatorUpdate, VerdictRecord


class StoreOperatorSource:
    """Reads the policy and the evacuations that operators wrote to the store.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> OperatorUpdate:
        """Return a snapshot of the policy and of all evacuations.

        Raises
        ------
        PlatformError
            The store cannot be reached, or the store's answer is malformed.
        """
        rows = await self._store.read(OPERATOR_TABLE)
        return _decode_operator_update(
            rows.rows, rows.revision, is_snapshot=True
        )

    async def changes(self, revision: Revision, wait: float) -> OperatorUpdate:
        """Return the changes that operators have made since a revision.

        Parameters
        ----------
        revision : Revision
            Revision of the last update.
        wait : float
            Seconds to wait for a change.

        Raises
        ------
        HistoryLostError
            The store no longer has all changes since the revision, or has come
            back from a copy.
        PlatformError
            The store cannot be reached, or the store's answer is malformed.
        """
        rows = await self._store.changes(OPERATOR_TABLE, revision, wait)
        return _decode_operator_update(
            rows.rows, rows.revision, is_snapshot=False
        )

    def parse(self, document: bytes) -> Policy | None:
        """Return the decoded policy document, None when it is malformed."""
        return decode_policy(document)


class StoreMemberDirectory:
    """Table in which nodes register themselves and find the other nodes.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def register(self, member: Member, replaces: bool) -> bool:
        """Register a node: write the node's row.

        Parameters
        ----------
        member : Member
            Entry of the node.
        replaces : bool
            Whether a row of another process of the node is replaced.

        Returns
        -------
        bool
            Whether there was a row of another process of the node.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been written.
        """
        entry = {
            'run': member.incarnation,
            'service': member.service,
            'zone': member.data_centre,
            'host': member.address.host,
            'port': member.address.port,
        }
        content = json.dumps(entry, separators=(',', ':')).encode()
        former = await self._store.put_new(MEMBER_TABLE, member.name, content)
        if former is None or former == content:
            return False
        if replaces:
            await self._store.put(MEMBER_TABLE, member.name, content)
        return True

    async def remove(self, member: Member) -> None:
        """Deregister a node, unless another process of it has registered.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been removed.
        """
        row = await self._store.find(MEMBER_TABLE, member.name)
        stored = None if row is None else _decode_member(row)
        if row is None or stored is None:
            return
        if stored.incarnation == member.incarnation:
            await self._store.remove(MEMBER_TABLE, row)

    async def read(self) -> MemberUpdate:
        """Return a snapshot of all registered nodes.

        Raises
        ------
        PlatformError
            The store cannot be reached, or the store's answer is malformed.
        """
        rows = await self._store.read(MEMBER_TABLE)
        return _decode_member_update(rows.rows, rows.revision, is_snapshot=True)

    async def changes(self, revision: Revision, wait: float) -> MemberUpdate:
        """Return the nodes whose rows have changed since a revision.

        Parameters
        ----------
        revision : Revision
            Revision of the last update.
        wait : float
            Seconds to wait for a change.

        Raises
        ------
        HistoryLostError
            The store no longer has all changes since the revision, or has come
            back from a copy.
        PlatformError
            The store cannot be reached, or the store's answer is malformed.
        """
        rows = await self._store.changes(MEMBER_TABLE, revision, wait)
        return _decode_member_update(
            rows.rows, rows.revision, is_snapshot=False
        )


class StoreVerdictDirectory:
    """Keeps verdicts in the table of the nodes, which each node reads at first.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def write(self, record: VerdictRecord) -> None:
        """Write the row of a verdict.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been written.
        """
        entry = {
            'level': record.level,
            'ends_at': record.ends_at,
            'crashes': list(record.crashes),
        }
        content = json.dumps(entry, separators=(',', ':')).encode()
        key = f'{VERDICT_PREFIX}{record.fingerprint}'
        await self._store.put(MEMBER_TABLE, key, content)

    async def remove(self, fingerprint: str) -> None:
        """Remove the row of a verdict.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been removed.
        """
        key = f'{VERDICT_PREFIX}{fingerprint}'
        row = await self._store.find(MEMBER_TABLE, key)
        if row is not None:
            await self._store.remove(MEMBER_TABLE, row)


def _decode_operator_update(
    rows: Collection[Row],
    revision: Revision,
    is_snapshot: bool,
) -> OperatorUpdate:
    document = b''
    evacuated: list[tuple[str, Revision]] = []
    restored: list[tuple[str, Revision]] = []
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
        is_snapshot,
        _newest_change(rows, revision, is_snapshot),
        decode_orders(rows),
    )


def _decode_member_update(
    rows: Collection[Row],
    revision: Revision,
    is_snapshot: bool,
) -> MemberUpdate:
    changed = []
    removed = []
    verdicts = []
    for row in sorted(_without_rollouts(rows), key=attrgetter('revision')):
        if row.key.startswith(VERDICT_PREFIX):
            record = _decode_verdict(row)
            if record is not None:
                verdicts.append(record)
            continue
        if row.is_removed:
            removed.append(row.key)
            continue
        member = _decode_member(row)
        if member is not None:
            changed.append(member)
    return MemberUpdate(
        revision,
        tuple(changed),
        tuple(removed),
        is_snapshot,
        _newest_change(rows, revision, is_snapshot),
        tuple(verdicts),
    )


def _without_rollouts(rows: Iterable[Row]) -> Iterable[Row]:
    # They are read by the node that decides on the rollout.
    return (row for row in rows if not row.key.startswith(ROLLOUT_PREFIX))


def _newest_change(
    rows: Collection[Row], revision: Revision, is_snapshot: bool
) -> Revision:
    # A snapshot without rows must tell the era to nodes of a former one.
    oldest = Revision(revision.era, 0) if is_snapshot else NO_REVISION
    return max((row.revision for row in rows), default=oldest)


def _decode_member(row: Row) -> Member | None:
    try:
        entry = read_json_object(parse_json(row.content))
        return Member(
            read_printable(row.key, 'key'),
            read_printable(read_text(entry, 'run'), 'run'),
            read_printable(read_text(entry, 'service'), 'service'),
            read_printable(read_text(entry, 'zone'), 'zone'),
            read_address(entry),
        )
    except MalformedError as error:
        # A malformed row is skipped, so that it does not hide the other nodes.
        logger.bind(entry=row.key, error=str(error)).warning(
            'malformed row of a node left out',
        )
        return None


def _decode_verdict(row: Row) -> VerdictRecord | None:
    if row.is_removed:
        return None
    try:
        entry = read_json_object(parse_json(row.content))
        return VerdictRecord(
            read_printable(row.key.removeprefix(VERDICT_PREFIX), 'key'),
            read_integer(entry, 'level', 0),
            read_number(entry, 'ends_at', 0),
            tuple(read_names(entry, 'crashes')),
        )
    except MalformedError as error:
        # A malformed row is skipped, so that it does not hide the other rows.
        logger.bind(entry=row.key, error=str(error)).warning(
            'malformed row of a verdict left out',
        )
        return None
