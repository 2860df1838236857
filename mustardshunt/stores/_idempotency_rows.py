"""Encoding of idempotency records as table rows."""

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
    """State of a keyed request.

    ``CLAIMED``: its call may be running. ``FINISHED``: its answer is stored.
    ``UNKNOWN``: its call may have run, but the answer is lost. ``RELEASED``:
    its call has not run, and another one may claim the key.
    """

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Idempotency key of an organisation's caller.

    Parameters
    ----------
    organisation : str
        Name of the organisation; each has its own keys.
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
        """Key of the row; a ``/`` in either part is percent-encoded."""
        organisation = quote(self.organisation, safe='')
        return f'order/{organisation}/{quote(self.key, safe="")}'


@dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """Record of a keyed request in the table.

    Parameters
    ----------
    key : IdempotencyKey
        Organisation and key.
    request_digest : str
        Digest of method, target and body.
    call_id : CallId
        Call that claimed the key; its sender is the node that sent the
        claim.
    state : IdempotencyState
        State of the request.
    answer : Answer or None
        Stored answer, None unless the state is ``FINISHED``.
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
    """Encode a record as the content of its row."""
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


def decode_record(key: IdempotencyKey, row: Row) -> IdempotencyRecord:
    """Decode a row into a record.

    Raises
    ------
    MustardshuntError
        The row was not written by ``encode_record``.
    """
    return decode_content(
        row,
        'an idempotency record',
        lambda body: IdempotencyRecord(
            key,
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
