"""Stand-in for the platform: an HTTP server with an in-memory store."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, Final, TypeAlias

import cappa
from aiohttp import web

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.standin._serving import serve_until_stopped
from mustardshunt.stores import (
    ConflictError,
    MemoryPlatform,
    OutcomeUnknownError,
    PlatformMode,
    PlatformUnavailableError,
    decode_writes,
    encode_row,
    encode_rows,
    parse_body,
)

_MAX_BODY_BYTES: Final = 16 * 1024 * 1024

_Handler: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Runs a stand-in of the platform that keeps its data in memory.

    Parameters
    ----------
    host : str, default='127.0.0.1'
        Address to listen on.
    port : int, default=0
        Port to listen on; 0 lets the system choose a free port.
    """

    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    port: Annotated[int, cappa.Arg(long=True)] = 0


class PlatformServer:
    """Serves the HTTP interface of the platform and a control endpoint.

    Parameters
    ----------
    platform : MemoryPlatform
        Holds the rows and objects, and decides which calls fail.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    def make_app(self) -> web.Application:
        """Return the HTTP application with all its routes."""
        app = web.Application(
            client_max_size=_MAX_BODY_BYTES,
            middlewares=[self._handle_errors],
        )
        app.add_routes([
            web.get('/v1/row', self._read_row),
            web.get('/v1/rows', self._list_rows),
            web.post('/v1/commit', self._commit),
            web.get('/v1/object', self._read_object),
            web.put('/v1/object', self._write_object),
            web.get('/control', self._read_control),
            web.put('/control', self._write_control),
        ])
        return app

    @web.middleware
    async def _handle_errors(
        self,
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except MustardshuntError as error:
            return self._respond_to_error(request, error)

    def _respond_to_error(
        self,
        request: web.Request,
        error: MustardshuntError,
    ) -> web.StreamResponse:
        if isinstance(error, OutcomeUnknownError):
            return _drop_connection(request)
        if isinstance(error, PlatformUnavailableError):
            if self._platform.behaviour.mode is PlatformMode.CLOSED:
                return _drop_connection(request)
            return _error_response(error, 503)
        is_conflict = isinstance(error, ConflictError)
        return _error_response(error, 409 if is_conflict else 400)

    async def _read_row(self, request: web.Request) -> web.StreamResponse:
        row = await self._platform.read_row(_required_parameter(request, 'key'))
        if row is None:
            return web.Response(status=404)
        return web.json_response(encode_row(row))

    async def _list_rows(self, request: web.Request) -> web.StreamResponse:
        rows = await self._platform.list_rows(request.query.get('prefix', ''))
        return web.json_response(encode_rows(rows))

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        writes = decode_writes(parse_body(await request.read()))
        await self._platform.commit(writes)
        return web.Response(status=204)

    async def _read_object(self, request: web.Request) -> web.StreamResponse:
        content = await self._platform.read_object(
            _required_parameter(request, 'key')
        )
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _write_object(self, request: web.Request) -> web.StreamResponse:
        content = await request.read()
        await self._platform.write_object(
            _required_parameter(request, 'key'), content
        )
        return web.Response(status=204)

    async def _read_control(self, request: web.Request) -> web.StreamResponse:
        platform = self._platform
        return web.json_response({
            **dataclasses.asdict(platform.behaviour),
            'counters': dataclasses.asdict(platform.counters()),
        })

    async def _write_control(self, request: web.Request) -> web.StreamResponse:
        try:
            self._apply_control(parse_body(await request.read()))
        except (AttributeError, TypeError, ValueError) as error:
            return _error_response(error, 400)
        return await self._read_control(request)

    def _apply_control(self, body: Any) -> None:
        platform = self._platform
        current = platform.behaviour
        mode = PlatformMode(body.get('mode', current.mode))
        platform.set_mode(mode, float(body.get('delay', current.delay)))
        platform.lose_answers(
            int(body.get('lose_answers', current.lose_answers))
        )


async def run_platform(options: PlatformOptions) -> None:
    """Serve requests until SIGTERM or SIGINT."""
    app = PlatformServer(MemoryPlatform()).make_app()
    await serve_until_stopped(app, options.host, options.port, 'platform')


def main() -> None:
    """Run the platform with the options of the command line."""
    asyncio.run(run_platform(cappa.parse(PlatformOptions)))


def _required_parameter(request: web.Request, name: str) -> str:
    text = request.query.get(name, '')
    if text:
        return text
    raise MustardshuntError(
        ErrorCode.BAD_PARAMETER,
        f'query parameter {name} is missing or empty',
    )


def _drop_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _error_response(error: Exception, status: int) -> web.StreamResponse:
    return web.json_response({'error': str(error)}, status=status)
