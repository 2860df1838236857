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

    ``CLAIMED``: the call that claimed the key may be running. ``FINISHED``: the
    answer is stored. ``UNKNOWN``: the call may have run, but its answer is
    lost. ``RELEASED``: the call has not run, and another call may claim the
    key.
    """

    CLAIMED = 'claimed'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Idempotency key that a caller of an organisation sent.

    Parameters
    ----------
    organisation : str
        Name of the organisation. Equal keys of two organisations are different.
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
        """Key of the table row; a ``/`` in either part becomes ``%2F``."""
        organisation = quote(self.organisation, safe='')
        return f'order/{organisation}/{quote(self.key, safe="")}'


@dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """Table record of a request that has an idempotency key.

    Parameters
    ----------
    key : IdempotencyKey
        Idempotency key and its organisation.
    request_digest : str
        Digest of the request's method, target and body.
    call_id : CallId
        Call that claimed the key. The sender in the call id is the node that
        wrote the claim.
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
    """Encode an idempotency record as the JSON content of a table row."""
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
        The row's content is not in the format of ``encode_record``.
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
