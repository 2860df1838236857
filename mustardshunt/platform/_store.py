"""Client of the platform's store."""

import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

import aiohttp

from mustardshunt.base import VmAddress
from mustardshunt.platform._values import (
    MalformedError,
    read_integer,
    read_json_object,
    read_text,
)
from mustardshunt.sidecar import HistoryLostError, PlatformError

# A slow store answers within a second; a silent connection is given up.
CALL_SECONDS: Final = 1.6
CONNECT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
_HISTORY_LOST: Final = 410
_ROWS_AT_ONCE: Final = 500


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    Parameters
    ----------
    key : str
        Key of the row.
    content : bytes
        Its value, empty when it was removed.
    revision : int
        Transaction that wrote or removed it.
    is_removed : bool
        Whether it was removed.
    """

    key: str
    content: bytes
    revision: int
    is_removed: bool


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one revision.

    Parameters
    ----------
    rows : tuple of Row
        Rows in the order of their keys or changes.
    revision : int
        Newest transaction that they include.
    """

    rows: tuple[Row, ...]
    revision: int


class StoreClient:
    """Calls of one node to the store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    address : VmAddress
        Where the store listens.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: VmAddress,
    ) -> None:
        self._session = session
        self._url = f'http://{address}'

    async def read(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        PlatformError
            The store does not answer as it should.
        """
        rows: list[Row] = []
        query = {'table': table, 'part': '', 'limit': str(_ROWS_AT_ONCE)}
        while True:
            found = await self._get('/rows-get', query, CALL_SECONDS)
            page = _decode_rows(found)
            rows.extend(page.rows)
            if found.get('has_more') is not True or not page.rows:
                return Rows(tuple(rows), page.revision)
            # The range begins with its first key, so a page ends before it.
            query['from'] = f'{page.rows[-1].key}\0'

    async def changes(self, table: str, revision: int, wait: float) -> Rows:
        """Return the rows that have changed, waiting for the first.

        Raises
        ------
        HistoryLostError
            The changes since the revision are no longer known.
        PlatformError
            The store does not answer as it should.
        """
        query = {
            'table': table,
            'after': str(revision),
            'wait_ms': str(int(wait * _MS_PER_SECOND)),
        }
        found = await self._get('/rows-feed', query, wait + CALL_SECONDS)
        return _decode_rows(found)

    async def put(self, table: str, key: str, content: bytes) -> None:
        """Write a row."""
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode(),
        }
        await self._transact({'writes': [row]})

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        row = {'table': table, 'part': '', 'key': key}
        await self._transact({'remove': [row]})

    async def _transact(self, entries: Mapping[str, Any]) -> None:
        body = {'precondition': [], 'writes': [], 'remove': [], **entries}
        await self._call('POST', '/rows-tx', CALL_SECONDS, json=body)

    async def _get(
        self,
        path: str,
        query: Mapping[str, str],
        seconds: float,
    ) -> dict[str, Any]:
        return await self._call('GET', path, seconds, params=query)

    async def _call(
        self,
        method: str,
        path: str,
        seconds: float,
        **options: Any,
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(
            total=seconds,
            sock_connect=CONNECT_SECONDS,
        )
        try:
            async with self._session.request(
                method,
                self._url + path,
                timeout=timeout,
                **options,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise PlatformError(f'{method} {path}: {error!r}') from error
        if response.status == _HISTORY_LOST:
            raise HistoryLostError(f'{method} {path}: status 410')
        if not response.ok:
            raise PlatformError(f'{method} {path}: status {response.status}')
        try:
            return read_json_object(json.loads(body))
        except ValueError as error:
            raise PlatformError(f'{method} {path}: {error}') from error


def _decode_rows(found: dict[str, Any]) -> Rows:
    try:
        revision = read_integer(found, 'ver', 0)
        entries = found.get('rows', [])
        if not isinstance(entries, list):
            raise MalformedError(f'rows: found {entries!r}')
        rows = [_decode_row(read_json_object(entry)) for entry in entries]
    except ValueError as error:
        raise PlatformError(f'unreadable rows: {error}') from error
    return Rows(tuple(rows), revision)


def _decode_row(entry: dict[str, Any]) -> Row:
    is_removed = bool(entry.get('removed'))
    content = b''
    if not is_removed:
        content = base64.b64decode(str(entry.get('value', '')))
    return Row(
        read_text(entry, 'key'),
        content,
        read_integer(entry, 'ver', 0),
        is_removed,
    )
