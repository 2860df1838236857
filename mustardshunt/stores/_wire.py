"""Codec of the JSON bodies of the table service's HTTP interface."""

import json
from collections.abc import Sequence
from typing import Any

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.stores._protocols import Row, Write


def encode_row(row: Row) -> dict[str, Any]:
    """Encode a row as a JSON object."""
    return {'key': row.key, 'version': row.version, 'content': row.content}


def decode_row(body: Any) -> Row:
    """Decode a JSON object into a row.

    Raises
    ------
    MustardshuntError
        A field is missing or has another type.
    """
    return Row(
        _read_string(body, 'key'),
        _read_integer(body, 'version'),
        _read_string(body, 'content'),
    )


def encode_rows(rows: Sequence[Row]) -> dict[str, Any]:
    """Encode rows as the body of an answer."""
    return {'rows': [encode_row(row) for row in rows]}


def decode_rows(body: Any) -> Sequence[Row]:
    """Decode the body of an answer into rows.

    Raises
    ------
    MustardshuntError
        A field is missing or has another type.
    """
    return [decode_row(item) for item in _read_list(body, 'rows')]


def encode_writes(writes: Sequence[Write]) -> dict[str, Any]:
    """Encode writes as the body of a transaction."""
    return {
        'writes': [
            {
                'key': write.key,
                'expected_version': write.expected_version,
                'content': write.content,
            }
            for write in writes
        ],
    }


def decode_writes(body: Any) -> Sequence[Write]:
    """Decode the body of a transaction into writes.

    Raises
    ------
    MustardshuntError
        A field is missing or has another type.
    """
    writes: list[Write] = []
    for item in _read_list(body, 'writes'):
        is_deletion = isinstance(item, dict) and item.get('content', '') is None
        writes.append(
            Write(
                _read_string(item, 'key'),
                _read_integer(item, 'expected_version'),
                None if is_deletion else _read_string(item, 'content'),
            ),
        )
    return writes


def parse_body(text: bytes) -> Any:
    """Parse a JSON body.

    Raises
    ------
    MustardshuntError
        The body is not JSON.
    """
    try:
        return json.loads(text)
    except ValueError as error:
        raise _body_error(f'invalid JSON: {error}') from error


def _read_list(body: Any, name: str) -> list[Any]:
    field = body.get(name) if isinstance(body, dict) else None
    if isinstance(field, list):
        return field
    raise _body_error(f'{name}: expected a list, found {field!r:.80}')


def _read_string(body: Any, name: str) -> str:
    field = body.get(name) if isinstance(body, dict) else None
    if isinstance(field, str):
        return field
    raise _body_error(f'{name}: expected a string, found {field!r:.80}')


def _read_integer(body: Any, name: str) -> int:
    field = body.get(name) if isinstance(body, dict) else None
    if isinstance(field, int) and field >= 0:
        return field
    raise _body_error(
        f'{name}: expected an integer of 0 or more, found {field!r:.80}'
    )


def _body_error(message: str) -> MustardshuntError:
    return MustardshuntError(
        ErrorCode.BAD_FRAME, f'body of the table service: {message}'
    )
