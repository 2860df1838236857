"""HTTP clients of the platform's table service and object store."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from mustardshunt.base import MustardshuntError, check_range
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Write,
)
from mustardshunt.stores._wire import (
    decode_row,
    decode_rows,
    encode_writes,
    parse_body,
)

_OK = 200
_NO_CONTENT = 204
_CLIENT_ERROR = 400
_NOT_FOUND = 404
_CONFLICT = 409
_SERVER_ERROR = 500
_UNAVAILABLE = 503
# Errors that are raised before any byte of the request is sent.
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes


class PlatformSession:
    """HTTP session that all platform clients of one process share.

    Parameters
    ----------
    base_url : str
        Scheme, host and port, such as ``http://127.0.0.1:7100``.
    timeout : float
        Seconds until a request without a complete answer fails.
    connect_timeout : float
        Seconds until an attempt to open a connection fails.
    """

    def __init__(
        self,
        base_url: str,
        timeout: float,
        connect_timeout: float,
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout = timeout
        self._connect_timeout = connect_timeout
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections to the platform."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    async def read(self, path: str, query: Mapping[str, str]) -> bytes | None:
        """Send a GET request.

        Returns
        -------
        bytes or None
            Body of the answer, None for status 404.

        Raises
        ------
        PlatformUnavailableError
            There was no complete answer, or the answer's status is neither 200
            nor 404.
        """
        try:
            response = await self._request('GET', path, query, None)
        except _REQUEST_ERRORS as error:
            raise PlatformUnavailableError(_describe(path, error)) from error
        if response.status == _OK:
            return response.body
        if response.status == _NOT_FOUND:
            return None
        raise PlatformUnavailableError(
            f'platform request {path}: status {response.status}',
        )

    async def write(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Any,
    ) -> None:
        """Send a request that writes rows or an object.

        Raises
        ------
        ConflictError
            The condition of a write was not met; nothing was written.
        PlatformUnavailableError
            The request was not sent, or the platform rejected it; nothing was
            written.
        OutcomeUnknownError
            The answer is missing or does not tell whether the write took
            effect.
        """
        try:
            response = await self._request(method, path, query, body)
        except _NOT_SENT_ERRORS as error:
            raise PlatformUnavailableError(_describe(path, error)) from error
        except _REQUEST_ERRORS as error:
            raise OutcomeUnknownError(_describe(path, error)) from error
        _check_write(path, response)

    async def _request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Any,
    ) -> _Response:
        is_raw = isinstance(body, bytes)
        async with self._get_session().request(
            method,
            f'{self._base_url}{path}',
            params=query,
            data=body if is_raw else None,
            json=None if is_raw else body,
            allow_redirects=False,
        ) as response:
            return _Response(response.status, await response.read())

    def _get_session(self) -> aiohttp.ClientSession:
        # aiohttp binds a session to the running event loop, so the session is
        # made on first use.
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=self._timeout,
                    sock_connect=self._connect_timeout,
                ),
            )
        return self._session


class HttpTableService:
    """Client of the table service over HTTP.

    Parameters
    ----------
    session : PlatformSession
        Session that the clients of this process share.
    """

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        body = await self._session.read('/v1/row', {'key': key})
        if body is None:
            return None
        try:
            return decode_row(parse_body(body))
        except MustardshuntError as error:
            raise PlatformUnavailableError(error.message) from error

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, sorted by key."""
        body = await self._session.read('/v1/rows', {'prefix': prefix})
        try:
            return decode_rows(parse_body(body or b''))
        except MustardshuntError as error:
            raise PlatformUnavailableError(error.message) from error

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none.

        Raises
        ------
        ConflictError
            A row had another version than its write expected.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the rows were written.
        """
        body = encode_writes(writes)
        await self._session.write('POST', '/v1/commit', {}, body)


class HttpObjectStore:
    """Client of the object store over HTTP.

    Parameters
    ----------
    session : PlatformSession
        Session that the clients of this process share.
    """

    def __init__(self, session: PlatformSession) -> None:
        self._session = session

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, None when it is absent."""
        return await self._session.read('/v1/object', {'key': key})

    async def write_object(self, key: str, content: bytes) -> None:
        """Write an object to the store."""
        query = {'key': key}
        await self._session.write('PUT', '/v1/object', query, content)


def make_platform_session(
    base_url: str,
    timeout: float = 2.0,
    connect_timeout: float = 0.5,
) -> PlatformSession:
    """Make the session that all platform clients of one process share.

    Parameters
    ----------
    base_url : str
        Scheme, host and port of the platform.
    timeout : float, default=2.0
        Seconds until a request without a complete answer fails.
    connect_timeout : float, default=0.5
        Seconds until an attempt to open a connection fails.

    Raises
    ------
    ParameterError
        A time-out is below 0.001 s, ``timeout`` is above 60 s, or
        ``connect_timeout`` is above ``timeout``.
    """
    check_range('timeout', timeout, 0.001, 60.0)
    check_range('connect_timeout', connect_timeout, 0.001, timeout)
    return PlatformSession(base_url, timeout, connect_timeout)


def _check_write(path: str, response: _Response) -> None:
    status = response.status
    if status in {_OK, _NO_CONTENT}:
        return
    message = f'platform request {path}: status {status}'
    if status == _CONFLICT:
        detail = response.body.decode(errors='replace')
        raise ConflictError(f'{message}: {detail}')
    is_rejected = _CLIENT_ERROR <= status < _SERVER_ERROR
    if is_rejected or status == _UNAVAILABLE:
        raise PlatformUnavailableError(message)
    raise OutcomeUnknownError(message)


def _describe(path: str, error: BaseException) -> str:
    return f'platform request {path} failed: {type(error).__name__}: {error}'
