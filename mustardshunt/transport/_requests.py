"""Parsing of requests of callers and of the backend server."""

import json
from dataclasses import dataclass
from functools import partial
from typing import Final

from aiohttp import StreamReader, web
from loguru import logger
from multidict import CIMultiDictProxy

from mustardshunt.base import (
    CallRequest,
    Effect,
    Reason,
    Refusal,
    VmAddress,
)
from mustardshunt.memory import Holding
from mustardshunt.transport._http import (
    HEADER_AUTHORIZATION,
    HEADER_IDEMPOTENCY,
    HEADER_TIMEOUT,
    bad_request,
    filter_headers,
)

_BEARER: Final = 'bearer '
_MS_PER_SECOND: Final = 1000
_EXPECT_CONTINUE: Final = '100-continue'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, from which the API key has been removed.

    Parameters
    ----------
    request : CallRequest
        Request as it may be sent to a backend server.
    key : str or None
        API key of the caller, None if there is none.
    timeout : float or None
        Seconds for which the caller waits, None if the request does not say.
    idempotency_key : str or None
        Key shared by repetitions of one request, which must run once only.
    """

    request: CallRequest
    key: str | None
    timeout: float | None
    idempotency_key: str | None


@dataclass(frozen=True, slots=True)
class ChildRequest:
    """Child call that the backend server makes while it runs a call.

    Parameters
    ----------
    request : CallRequest
        Request for another backend server. Some received headers are removed:
        headers that apply to one connection only, ``Authorization``, and
        headers that a node or its HTTP server sets itself, among them the
        header with the reference.
    reference : str or None
        Reference of the call that is running, None if there is none.
    """

    request: CallRequest
    reference: str | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of the backend server.

    Parameters
    ----------
    service : str
        Service of the backend server.
    address : VmAddress
        Address at which the backend server listens.
    state : str
        ``cold``, ``ready`` or ``draining``.
    start_id : str
        Identifies the run of the backend server; changes at each start.
    """

    service: str
    address: VmAddress
    state: str
    start_id: str


class _NoRoomError(Exception):
    """A body had to give way to others."""


async def read_body(
    request: web.BaseRequest, limit: int, holding: Holding
) -> bytes | Refusal:
    """Return the complete body of a request, or the refusal of the request.

    Parameters
    ----------
    request : web.BaseRequest
        Request whose body is read.
    limit : int
        Largest body that is accepted, in bytes.
    holding : Holding
        Charged with the body. While the body is incomplete, it can give way.
    """
    too_large = Refusal(
        Reason.TOO_LARGE,
        Effect.NOT_RUN,
        f'body is larger than {limit} bytes',
    )
    if (request.content_length or 0) > limit:
        return too_large
    if not request.body_exists:
        return b''
    if request.headers.get('Expect', '').lower() == _EXPECT_CONTINUE:
        await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    # Joined as it arrives: a body may come in chunks of one byte.
    body = bytearray()
    holding.give_up = partial(_give_up, request.content, body)
    try:
        while True:
            chunk = await request.content.readany()
            if not chunk:
                return bytes(body)
            body += chunk
            if len(body) > limit:
                return too_large
            holding.resize(len(body))
    except _NoRoomError as error:
        # The reader of the body keeps the error, and the traceback would keep
        # the reader until the next full garbage collection.
        error.__traceback__ = None
        return Refusal(
            Reason.OVERLOADED,
            Effect.NOT_RUN,
            'no memory for the body',
        )
    except (web.HTTPException, OSError, ValueError) as error:
        logger.debug(
            'request body broke off after {} bytes: {!r}; refusing the request',
            len(body),
            error,
        )
        error.__traceback__ = None
        return bad_request('the body ended early')
    finally:
        holding.give_up = None


def _give_up(content: StreamReader, body: bytearray) -> None:
    body.clear()
    content.set_exception(_NoRoomError())


def has_unread_body(request: web.BaseRequest) -> bool:
    """Return whether a part of the request's body is unread.

    The connection can then not be used for another request.
    """
    return request.body_exists and not request.content.is_eof()


def make_request(request: web.BaseRequest, body: bytes) -> CallRequest:
    """Return a request as it may be sent to a backend server."""
    return CallRequest(
        request.method,
        request.raw_path,
        filter_headers(request.headers),
        body,
    )


def parse_caller_request(
    request: web.BaseRequest,
    body: bytes,
) -> CallerRequest | Refusal:
    """Return a caller's request without the API key, or a refusal."""
    headers = request.headers
    fault = _find_header_fault(headers, request.raw_path)
    if fault is not None:
        return fault
    key = None
    authorization = headers.get(HEADER_AUTHORIZATION, '')
    if authorization[: len(_BEARER)].lower() == _BEARER:
        key = authorization[len(_BEARER) :].strip() or None
    timeout_text = headers.get(HEADER_TIMEOUT)
    timeout = None
    if timeout_text is not None:
        if not timeout_text.isascii() or not timeout_text.isdigit():
            return bad_request(f'{HEADER_TIMEOUT} must be whole milliseconds')
        timeout = int(timeout_text[:9]) / _MS_PER_SECOND
    outgoing = make_request(request, body)
    if key is not None and _contains_key(outgoing, key):
        return Refusal(
            Reason.KEY_IN_REQUEST,
            Effect.NOT_RUN,
            f'send the key in {HEADER_AUTHORIZATION} only',
        )
    return CallerRequest(
        outgoing,
        key,
        timeout,
        headers.get(HEADER_IDEMPOTENCY),
    )


def _find_header_fault(
    headers: CIMultiDictProxy[str],
    target: str,
) -> Refusal | None:
    for name in (HEADER_AUTHORIZATION, HEADER_IDEMPOTENCY, HEADER_TIMEOUT):
        if len(headers.getall(name, ())) > 1:
            return bad_request(f'{name} was sent more than once')
    if not target.startswith('/'):
        return bad_request('the target must be a path')
    return None


def _contains_key(request: CallRequest, key: str) -> bool:
    if key in request.target or key.encode() in request.body:
        return True
    return any(key in text for _, text in request.headers)


def parse_heartbeat(body: bytes) -> Heartbeat | Refusal:
    """Return the heartbeat that a JSON body holds, or a refusal."""
    try:
        found = json.loads(body)
        heartbeat = Heartbeat(
            str(found['service']),
            VmAddress(str(found['address']), int(found['port'])),
            str(found['state']),
            str(found['start_id']),
        )
    except (ValueError, KeyError, TypeError) as error:
        return bad_request(f'announcement is not valid: {error!r}')
    if heartbeat.state not in {'cold', 'ready', 'draining'}:
        return bad_request(f'state {heartbeat.state!r} is not known')
    return heartbeat
