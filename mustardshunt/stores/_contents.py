"""Decodes the JSON contents of table rows."""

import json
from collections.abc import Callable
from typing import Any, TypeVar

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.stores._protocols import Row

RecordT = TypeVar('RecordT')

_BUILD_ERRORS = (AttributeError, LookupError, TypeError, ValueError)


def decode_content(
    row: Row,
    kind: str,
    build: Callable[[Any], RecordT],
) -> RecordT:
    """Decode the JSON content of a row into a record.

    Parameters
    ----------
    row : Row
        Row to decode.
    kind : str
        Expected kind of content for the error message, such as
        ``'a registration'``.
    build : callable
        Makes the record from the decoded JSON. To reject the JSON it raises
        ``LookupError``, ``TypeError``, ``ValueError`` or ``AttributeError``.

    Raises
    ------
    MustardshuntError
        The content is not JSON, or ``build`` rejected the JSON.
    """
    try:
        return build(json.loads(row.content))
    except _BUILD_ERRORS as error:
        raise MustardshuntError(
            ErrorCode.INTERNAL,
            f'row {row.key!r} does not hold {kind}: {error!r}',
        ) from error
