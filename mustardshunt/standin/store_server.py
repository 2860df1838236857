"""Stand-in for the row store of the platform.

The server speaks the published protocol of the row store.
"""

import asyncio
import base64
import contextlib
import json
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import web
from aiohttp.typedefs import Handler

from mustardshunt.base import VmAddress

_MAX_WAIT_MS: Final = 30000
_MS_PER_SECOND: Final = 1000


# Interval at which waiting requests notice that the store goes away.
_DOWN_CHECK_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class _Change:
    table: str
    key: str
    value: str
    version: int
    is_removed: bool

    def as_row(self) -> dict[str, Any]:
        row: dict[str, Any] = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'ver': self.version,
        }
        if self.is_removed:
            row['removed'] = True
        else:
            row['value'] = self.value
        return row


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the store, from which it can come back.

    Parameters
    ----------
    version : int
        Version of the newest change in the copy.
    row_by_key : dict
        Rows by table and key.
    changes : tuple
        Recorded changes, in order.
    compacted_version : int
        Version up to which the recorded changes have been discarded.
    """

    version: int
    row_by_key: dict[tuple[str, str], _Change]
    changes: tuple[_Change, ...]
    compacted_version: int


class StoreServer:
    """Serves rows in memory and a feed of their changes.

    Attributes
    ----------
    is_down : bool
        Whether all requests are refused with 503.
    era : int
        Number of times that the store has come back from a copy.
    names_era : bool
        Whether the answers name the era.
    request_count : int
        Number of requests received so far.
    silent_ports : set of int
        Ports at which answers are lost; the connection of a lost answer
        delivers nothing further.
    rewrite_value : callable
        Called with the table, the key and the value of a write by a node;
        returns the value to store.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.era = 0
        self.names_era = True
        self.request_count = 0
        self.silent_ports: set[int] = set()
        self._transports: weakref.WeakSet[asyncio.BaseTransport] = (
            weakref.WeakSet()
        )
        self._silent_transports: weakref.WeakSet[asyncio.BaseTransport] = (
            weakref.WeakSet()
        )
        self.rewrite_value: Callable[[str, str, str], str] = _keep_value
        self._version = 0
        self._row_by_key: dict[tuple[str, str], _Change] = {}
        self._changes: list[_Change] = []
        self._compacted_version = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, address: VmAddress) -> None:
        """Start listening for requests on an address."""
        application = web.Application(middlewares=[self._lose_answers])
        application.add_routes([
            web.post('/rows-tx', self._transact),
            web.get('/rows-get', self._get),
            web.get('/rows-feed', self._feed),
        ])
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def listen(self, address: VmAddress) -> None:
        """Listen on a further address, so that its users can be told apart."""
        if self._runner is None:
            raise RuntimeError('expected a store that has been started')
        await web.TCPSite(self._runner, address.host, address.port).start()

    def silence_open_connections(self) -> None:
        """Lose all answers on the connections that are open now."""
        self._silent_transports.update(self._transports)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row with JSON content, as an operator or a node does."""
        text = json.dumps(content).encode()
        self._apply(table, key, base64.b64encode(text).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row, and add the removal to the feed of changes."""
        self._apply(table, key, None)

    def compact_feed(self) -> None:
        """Discard the changes that the feed has recorded so far.

        A reader that continues from an earlier version gets status 410 and must
        read the whole table again.
        """
        self._compacted_version = self._version
        self._changes.clear()

    def take_copy(self) -> StoreCopy:
        """Return a copy of the rows and of the recorded changes."""
        return StoreCopy(
            self._version,
            dict(self._row_by_key),
            tuple(self._changes),
            self._compacted_version,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy, and begin a new era."""
        self.era += 1
        self._version = copy.version
        self._row_by_key = dict(copy.row_by_key)
        self._changes = list(copy.changes)
        self._compacted_version = copy.compacted_version

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table in sorted order."""
        return sorted(
            key for row_table, key in self._row_by_key if row_table == table
        )

    def _apply(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        change = _Change(table, key, value or '', self._version, value is None)
        if value is None:
            self._row_by_key.pop((table, key), None)
        else:
            self._row_by_key[table, key] = change
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _lose_answers(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        transport = request.transport
        response = await handler(request)
        if transport is None:
            return response
        self._transports.add(transport)
        port = transport.get_extra_info('sockname')[1]
        if port in self.silent_ports:
            self._silent_transports.add(transport)
        if transport in self._silent_transports:
            await asyncio.Event().wait()
        return response

    async def _transact(self, request: web.Request) -> web.Response:
        self.request_count += 1
        if self.is_down:
            return self._refuse()
        entries = await request.json()
        for row in entries.get('precondition', []):
            stored = self._row_by_key.get((row['table'], row['key']))
            version = stored.version if stored else 0
            if version != row['ver']:
                rows = [stored.as_row()] if stored else []
                return web.json_response(
                    {'rows': rows}, status=412, headers=self._headers()
                )
        for row in entries.get('writes', []):
            table, key = row['table'], row['key']
            self._apply(
                table, key, self.rewrite_value(table, key, row['value'])
            )
        for row in entries.get('remove', []):
            self._apply(row['table'], row['key'], None)
        return self._respond({})

    async def _get(self, request: web.Request) -> web.Response:
        self.request_count += 1
        if self.is_down:
            return self._refuse()
        table = request.query['table']
        rows = [
            self._row_by_key[row_table, key].as_row()
            for row_table, key in sorted(self._row_by_key)
            if row_table == table
        ]
        return self._respond({'rows': rows, 'has_more': False})

    async def _feed(self, request: web.Request) -> web.Response:
        self.request_count += 1
        if self.is_down:
            return self._refuse()
        after = int(request.query['after'])
        if not self._compacted_version <= after <= self._version:
            return web.Response(status=410, headers=self._headers())
        table = request.query['table']
        era = self.era
        wait_ms = min(_MAX_WAIT_MS, int(request.query['wait_ms']))
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_SECOND):
                while not self._changes_since(table, after):
                    await self._wait_for_change()
                    if self.is_down or self.era != era:
                        return self._refuse()
        except TimeoutError:
            return self._respond({'rows': []})
        return self._respond({'rows': self._changes_since(table, after)})

    def _changes_since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            change.as_row()
            for change in self._changes
            if change.table == table and change.version > after
        ]

    async def _wait_for_change(self) -> None:
        # A store that goes away ends the requests that wait.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DOWN_CHECK_SECONDS):
                await self._changed.wait()

    def _respond(self, content: dict[str, Any]) -> web.Response:
        return web.json_response(
            {**content, 'ver': self._version}, headers=self._headers()
        )

    def _refuse(self) -> web.Response:
        return web.Response(status=503, headers=self._headers())

    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.era)} if self.names_era else {}


def _keep_value(table: str, key: str, value: str) -> str:
    return value
