"""Content of idempotency records."""

import base64
import enum
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from mustardshunt.base import Answer, CallId, Incarnation
from mustardshunt.stores._contents import decode_content
from mustardshunt.stores._protocols import Row


class IdempotencyState(enum.StrEnum):
    """What is known of a keyed order."""

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """An organisation's idempotency key.

    Parameters
    ----------
    organisation : str
        Organisation.
    key : str
        Key as the caller sent it, 1 to 255 characters.

    Examples
    --------
    >>> IdempotencyKey('a/b', 'c d').row_key
    'order/a%2Fb/c%20d'
    """

    organisation: str
    key: str

    @property
    def row_key(self) -> str:
        """Key of the row; the parts are quoted so that none runs over."""
        organisation = quote(self.organisation, safe='')
        return f'order/{organisation}/{quote(self.key, safe="")}'


@dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """A keyed order as the table has it.

    Parameters
    ----------
    key : IdempotencyKey
        Organisation and key.
    request_digest : str
        Digest of method, target and body.
    call_id : CallId
        Call that claimed the key; its sender is the claimant's node.
    state : IdempotencyState
        What is known.
    answer : Answer or None
        Answer of a finished order.
    version : int
        Version of the row.
    """

    key: IdempotencyKey
    request_digest: str
    call_id: CallId
    state: IdempotencyState
    answer: Answer | None
    version: int


def encode_record(record: IdempotencyRecord) -> str:
    """Turn a record into the row's content."""
    body: dict[str, Any] = {
        'state': record.state,
        'digest': record.request_digest,
        'sender': record.call_id.sender,
        'number': record.call_id.number,
    }
    if record.answer is not None:
        body['answer'] = {
            'status': record.answer.status,
            'headers': record.answer.headers,
            'body': base64.b64encode(record.answer.body).decode(),
        }
    return json.dumps(body)


def decode_record(order: IdempotencyKey, row: Row) -> IdempotencyRecord:
    """Turn a row into a record.

    Raises
    ------
    MustardshuntError
        The row was not written by ``encode_record``.
    """
    return decode_content(
        row,
        'an idempotency record',
        lambda body: IdempotencyRecord(
            order,
            body['digest'],
            CallId(Incarnation(body['sender']), body['number']),
            IdempotencyState(body['state']),
            _decode_answer(body.get('answer')),
            row.version,
        ),
    )


def _decode_answer(body: Any) -> Answer | None:
    if body is None:
        return None
    return Answer(
        body['status'],
        tuple((name, text) for name, text in body['headers']),
        base64.b64decode(body['body']),
    )
