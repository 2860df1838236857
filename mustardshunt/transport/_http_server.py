"""HTTP server on aiohttp that answers invalid requests with refusals."""

from typing import Final

from aiohttp import web
from loguru import logger

from mustardshunt.base import Effect, Reason, Refusal
from mustardshunt.transport._http import (
    RenderedResponse,
    bad_request,
    refusal_answer,
    render_answer,
)

_FIRST_SERVER_ERROR_STATUS: Final = 500


class HttpServer(web.Server):
    """Server that handles each connection with an ``HttpConnection``."""

    def __call__(self) -> web.RequestHandler:
        """Return the protocol object for a new connection."""
        return HttpConnection(self, loop=self._loop, **self._kwargs)


class HttpConnection(web.RequestHandler):
    """Answers a request that is not valid HTTP with a refusal.

    aiohttp quotes the request in its error texts and in its log. The request
    may contain an API key, so neither the texts nor the log of aiohttp are used
    here.
    """

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a refusal of the request; the connection is then closed.

        Raises
        ------
        ConnectionError
            A part of another response was already sent on the connection.
        """
        logger.debug(
            'HTTP request failed with {}, status {}; closing the connection',
            type(exc).__name__,
            status,
        )
        if request.writer.output_size > 0:
            raise ConnectionError(
                'cannot send a refusal: a part of another response was sent'
            )
        refusal = Refusal(Reason.INTERNAL, Effect.UNKNOWN)
        if status < _FIRST_SERVER_ERROR_STATUS:
            refusal = bad_request('the request is not valid HTTP')
        content = render_answer(
            refusal_answer(refusal),
            close=True,
            method=request.method,
        )
        return RenderedResponse(content, close=True)
