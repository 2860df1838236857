"""Orders and states of rollouts in the store."""

import json
from collections.abc import Iterable
from typing import Any, Final

from loguru import logger

from mustardshunt.platform._names import (
    MEMBER_TABLE,
    ROLLOUT_PREFIX,
    STATUS_TABLE,
)
from mustardshunt.platform._store import Row, StoreClient
from mustardshunt.platform._values import (
    MalformedError,
    parse_json,
    read_json_object,
    read_number,
    read_printable,
    read_seconds,
    read_text,
)
from mustardshunt.rollouts import RolloutOrder, RolloutPhase
from mustardshunt.sidecar import PlatformError, RolloutRecord, RolloutStatus

# Longest duration of an order. Longer ones are taken for mistakes.
MAX_DURATION_SECONDS: Final = 86400.0
# Longest name of a service or version, which is sent between nodes.
MAX_NAME_LENGTH: Final = 200
_RUNNING: Final = 'running'
_FINAL_STATES: Final = {
    phase.value: phase
    for phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)
}
# Attempts to write a status that another node changes at the same time.
_ATTEMPTS: Final = 4


def decode_order(row: Row) -> RolloutOrder:
    """Return the order in a row; a malformed one says what is wrong.

    Parameters
    ----------
    row : Row
        Row of the operators' table. The service is part of its key.
    """
    service = row.key.removeprefix(ROLLOUT_PREFIX)
    target = ''
    duration = 0.0
    fault = ''
    try:
        entry = read_json_object(parse_json(row.content))
        target = _check_name(read_text(entry, 'target'), 'target')
        duration = _read_duration(entry)
        _check_service(entry, service)
    except MalformedError as error:
        fault = str(error)
    if len(service) > MAX_NAME_LENGTH or not service.isprintable():
        # The name cannot be sent to other nodes, nor be a service's.
        service = ''
    return RolloutOrder(service, target, duration, row.revision, fault)


def decode_orders(rows: Iterable[Row]) -> tuple[RolloutOrder, ...]:
    """Return the orders among the rows of the operators' table."""
    return tuple(
        decode_order(row)
        for row in rows
        if row.key.startswith(ROLLOUT_PREFIX) and not row.is_removed
    )


class StoreRolloutDirectory:
    """Keeps the states of rollouts in a table of the store for operators.

    The start of a rollout is kept in the table of the nodes.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def begin(self, record: RolloutRecord) -> RolloutStatus:
        """Write that a rollout runs, unless its target is known already.

        Raises
        ------
        PlatformError
            The store cannot be reached; the rows may have been written.
        """
        key = f'{ROLLOUT_PREFIX}{record.service}'
        entry = {
            'target': record.target,
            'started_at': record.started_at,
            'duration': record.duration,
        }
        contents = {
            (MEMBER_TABLE, key): _encode(entry),
            (STATUS_TABLE, key): _encode_status(_RUNNING, record.target),
        }
        for _ in range(_ATTEMPTS):
            row = await self._store.find(STATUS_TABLE, key)
            state, target = _decode_status(row)
            if state and target == record.target:
                found = await self._store.find(MEMBER_TABLE, key)
                known = _decode_record(found, record)
                # An order that was refused has no record, and may be corrected.
                if known is not None:
                    return RolloutStatus(_FINAL_STATES.get(state), known)
            if await self._store.put_unchanged(
                STATUS_TABLE, key, row, contents
            ):
                return RolloutStatus(None, record)
        raise PlatformError(f'{key}: the status changes with each attempt')

    async def end(
        self, service: str, target: str, state: RolloutPhase
    ) -> RolloutPhase:
        """Write the end of a rollout, unless another end is known.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been written.
        """
        key = f'{ROLLOUT_PREFIX}{service}'
        content = _encode_status(state.value, target)
        for _ in range(_ATTEMPTS):
            row = await self._store.find(STATUS_TABLE, key)
            known, known_target = _decode_status(row)
            if known in _FINAL_STATES and known_target == target:
                return _FINAL_STATES[known]
            if await self._store.put_unchanged(
                STATUS_TABLE, key, row, {(STATUS_TABLE, key): content}
            ):
                return state
        raise PlatformError(f'{key}: the status changes with each attempt')

    async def refuse(self, service: str, target: str) -> None:
        """Answer an order that cannot be followed.

        Raises
        ------
        PlatformError
            The store cannot be reached; the row may have been written.
        """
        key = f'{ROLLOUT_PREFIX}{service}'
        row = await self._store.find(STATUS_TABLE, key)
        state, known_target = _decode_status(row)
        if state == _RUNNING or (state and known_target == target):
            return
        content = _encode_status(RolloutPhase.ROLLED_BACK.value, target)
        await self._store.put_unchanged(
            STATUS_TABLE, key, row, {(STATUS_TABLE, key): content}
        )


def _check_service(entry: dict[str, Any], service: str) -> None:
    if read_text(entry, 'service') != service:
        raise MalformedError('service: expected the service of the key')


def _read_duration(entry: dict[str, Any]) -> float:
    duration = read_seconds(entry, 'duration', 0.0)
    if not 0 < duration <= MAX_DURATION_SECONDS:
        raise MalformedError(
            f'duration: expected more than 0 s and at most '
            f'{MAX_DURATION_SECONDS:.0f} s, found {duration} s'
        )
    return duration


def _check_name(found: str, name: str) -> str:
    if not found or len(found) > MAX_NAME_LENGTH:
        raise MalformedError(
            f'{name}: expected 1 to {MAX_NAME_LENGTH} characters'
        )
    return read_printable(found, name)


def _encode(entry: dict[str, object]) -> bytes:
    return json.dumps(entry, separators=(',', ':')).encode()


def _encode_status(state: str, target: str) -> bytes:
    return _encode({'state': state, 'target': target})


def _decode_status(row: Row | None) -> tuple[str, str]:
    """Return state and target in a row, empty ones without a usable row."""
    if row is None:
        return '', ''
    try:
        entry = read_json_object(parse_json(row.content))
        # A refused order may have named no target.
        return read_text(entry, 'state'), str(entry.get('target', ''))
    except MalformedError as error:
        # The row of another writer, which the next state replaces.
        logger.bind(entry=row.key, error=str(error)).warning(
            'malformed status of a rollout left out',
        )
        return '', ''


def _decode_record(
    row: Row | None, default: RolloutRecord
) -> RolloutRecord | None:
    if row is None:
        return None
    try:
        entry = read_json_object(parse_json(row.content))
        if read_text(entry, 'target') != default.target:
            return None
        return RolloutRecord(
            default.service,
            default.target,
            read_number(entry, 'started_at', default.started_at),
            read_number(entry, 'duration', default.duration),
        )
    except MalformedError as error:
        logger.bind(entry=row.key, error=str(error)).warning(
            'malformed record of a rollout left out',
        )
        return None
