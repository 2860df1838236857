"""HTTP headers and status codes of the servers and backend connections."""

import http
import json
from typing import Any, Final

from aiohttp import web
from multidict import CIMultiDictProxy

from mustardshunt.base import Answer, Effect, Headers, Reason, Refusal

HEADER_CALL: Final = 'Mustardshunt-Call'
HEADER_TIMEOUT: Final = 'Mustardshunt-Timeout-Ms'
HEADER_REASON: Final = 'Mustardshunt-Reason'
HEADER_EFFECT: Final = 'Mustardshunt-Effect'
HEADER_ORGANISATION: Final = 'Mustardshunt-Organisation'
HEADER_IDEMPOTENCY: Final = 'Idempotency-Key'
HEADER_AUTHORIZATION: Final = 'Authorization'

# Headers that are not passed on: headers that apply to one connection only, the
# header with the API key, and headers that the node or its HTTP server sets
# itself.
_DROPPED: Final = frozenset((
    'connection',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'expect',
    'host',
    'content-length',
    'authorization',
    'date',
    'server',
    'mustardshunt-call',
    'mustardshunt-timeout-ms',
    'mustardshunt-organisation',
    'mustardshunt-reason',
))
_HEADER_EFFECT_LOWER: Final = HEADER_EFFECT.lower()

_STATUS_WITHOUT_BODY: Final = frozenset((204, 304))

_STATUS_BY_REASON: Final = {
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.KEY_IN_REQUEST: 400,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.INTERNAL_ROUTE: 403,
    Reason.RATE_EXCEEDED: 429,
    Reason.RATE_UNAVAILABLE: 503,
    Reason.OVERLOADED: 503,
    Reason.REJECTED: 503,
    Reason.DRAINING: 503,
    Reason.NO_BACKEND_SERVER: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.UNKNOWN_CALL: 403,
    Reason.TOO_DEEP: 508,
    Reason.TOO_MANY_CALLS: 429,
    Reason.RETRY_BUDGET: 503,
    Reason.QUARANTINED: 503,
    Reason.DUPLICATE: 409,
    Reason.IDEMPOTENCY_CONFLICT: 409,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.NOT_READY: 503,
    Reason.BACKEND_SERVER_LOST: 502,
    Reason.LINK_LOST: 502,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}


def status_of(reason: Reason) -> int:
    """Return the HTTP status code that answers a refused request.

    Examples
    --------
    >>> from mustardshunt.base import Reason
    >>> status_of(Reason.RATE_EXCEEDED)
    429
    """
    return _STATUS_BY_REASON[reason]


def filter_headers(headers: CIMultiDictProxy[str]) -> Headers:
    """Return the end-to-end headers of a message, without the API key.

    Headers that apply to one connection only are left out, among them those
    that the ``Connection`` header names.

    Parameters
    ----------
    headers : CIMultiDictProxy of str
        Headers as received.

    Returns
    -------
    tuple of (str, str)
        Headers to pass on.
    """
    dropped: frozenset[str] | set[str] = _DROPPED
    connection = headers.get('Connection')
    if connection and connection.lower() not in {'close', 'keep-alive'}:
        named = {name.strip().lower() for name in connection.split(',')}
        dropped = _DROPPED | named
    # str() is needed because the codecs cannot encode the string type of
    # aiohttp's parser.
    return tuple([
        (str(name), text)
        for name, text in headers.items()
        if name.lower() not in dropped
    ])


def render_answer(answer: Answer, close: bool, method: str) -> bytes:
    """Return an answer as the bytes of an HTTP/1.1 response.

    Parameters
    ----------
    answer : Answer
        Complete answer.
    close : bool
        Whether the server closes the connection after the response.
    method : str
        Method of the request; a response to ``HEAD`` has no body.

    Returns
    -------
    bytes
        Head and body of the response.
    """
    lines = [f'HTTP/1.1 {answer.status} {_reason_phrase(answer.status)}']
    lines.extend([f'{name}: {text}' for name, text in answer.headers])
    has_body = method != 'HEAD' and answer.status not in _STATUS_WITHOUT_BODY
    if has_body:
        lines.append(f'Content-Length: {len(answer.body)}')
    if close:
        lines.append('Connection: close')
    lines.extend(('', ''))
    head = '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
    return head + answer.body if has_body else head


def refusal_answer(refusal: Refusal) -> Answer:
    """Return the HTTP response for a refusal.

    The reason and the effect are in the headers and in the JSON body.

    Parameters
    ----------
    refusal : Refusal
        Refusal of a request or a call.

    Returns
    -------
    Answer
        Status, headers and JSON body.

    Examples
    --------
    >>> from mustardshunt.base import Effect, Reason, Refusal
    >>> answer = refusal_answer(Refusal(Reason.NO_KEY, Effect.NOT_RUN))
    >>> answer.status, answer.body
    (401, b'{"reason": "no-key", "effect": "not-run", "detail": ""}')
    """
    headers = [
        ('Content-Type', 'application/json'),
        (HEADER_REASON, refusal.reason.value),
        (HEADER_EFFECT, refusal.effect.value),
    ]
    if refusal.retry_after > 0:
        headers.append(('Retry-After', str(_round_up_retry_after(refusal))))
    if refusal.reason in {Reason.NO_KEY, Reason.UNKNOWN_KEY}:
        headers.append(('WWW-Authenticate', 'Bearer'))
    content = {
        'reason': refusal.reason.value,
        'effect': refusal.effect.value,
        'detail': refusal.detail,
    }
    return Answer(
        status_of(refusal.reason),
        tuple(headers),
        json.dumps(content).encode(),
    )


def says_not_run(answer: Answer) -> bool:
    """Return whether an answer states that the call was not run."""
    for name, text in answer.headers:
        if name.lower() == _HEADER_EFFECT_LOWER:
            return text.strip().lower() == Effect.NOT_RUN
    return False


def bad_request(detail: str) -> Refusal:
    """Return the refusal that answers a malformed request."""
    return Refusal(Reason.BAD_REQUEST, Effect.NOT_RUN, detail)


class RenderedResponse(web.StreamResponse):
    """Response whose bytes are already rendered and are written at once.

    The response class of aiohttp would build and validate the headers of each
    response again. This class skips that step: the headers were validated when
    the backend connection parsed the answer.

    Parameters
    ----------
    content : bytes
        Head and body of the response.
    close : bool
        Whether the server closes the connection after the response.
    """

    def __init__(self, content: bytes, close: bool) -> None:
        super().__init__()
        self._content = content
        self._request: web.BaseRequest | None = None
        if close:
            self.force_close()
        else:
            self._keep_alive = True

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Store the request, whose connection the response is written to."""
        self._request = request
        if not request.keep_alive:
            self._keep_alive = False

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the rendered response; the parameter ``data`` is not used."""
        if self._request is not None:
            await self._request.writer.write(self._content)


def _round_up_retry_after(refusal: Refusal) -> int:
    return max(1, round(refusal.retry_after + 0.5))


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Status'
