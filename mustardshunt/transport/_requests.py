"""Requests of callers and backend servers, read and checked."""

import json
from dataclasses import dataclass
from typing import Final

from aiohttp import web
from loguru import logger
from multidict import CIMultiDictProxy

from mustardshunt.base import (
    CallRequest,
    Effect,
    Reason,
    Refusal,
    VmAddress,
)
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
    """A caller's request, its key already apart from the rest.

    Parameters
    ----------
    request : CallRequest
        What may be sent to a backend server.
    key : str or None
        Key that came with the request.
    timeout : float or None
        Seconds that the caller waits, None when it did not say.
    idempotency_key : str or None
        Key under which the caller repeats the same order.
    """

    request: CallRequest
    key: str | None
    timeout: float | None
    idempotency_key: str | None


@dataclass(frozen=True, slots=True)
class ChildRequest:
    """A request that the backend server makes while it serves a call.

    Parameters
    ----------
    request : CallRequest
        What may be sent to the other backend server.
    reference : str or None
        Reference of the call that is being served.
    """

    request: CallRequest
    reference: str | None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What the backend server says of itself.

    Parameters
    ----------
    service : str
        Service that it belongs to.
    address : VmAddress
        Where it listens.
    state : str
        ``cold``, ``ready`` or ``draining``.
    start_id : str
        Changes whenever the backend server starts.
    """

    service: str
    address: VmAddress
    state: str
    start_id: str


async def read_body(request: web.BaseRequest, limit: int) -> bytes | Refusal:
    """Return the whole body, or why it is not accepted."""
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
    chunks: list[bytes] = []
    size = 0
    try:
        while True:
            chunk = await request.content.readany()
            if not chunk:
                return b''.join(chunks)
            size += len(chunk)
            if size > limit:
                return too_large
            chunks.append(chunk)
    except (web.HTTPException, OSError, ValueError) as error:
        logger.debug('request body was cut: {!r}', error)
        return bad_request('the body ended early')


def has_unread_body(request: web.BaseRequest) -> bool:
    """Tell whether the connection cannot be used for another request."""
    return request.body_exists and not request.content.is_eof()


def make_request(request: web.BaseRequest, body: bytes) -> CallRequest:
    """Return what may be sent to a backend server."""
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
    """Return a caller's request, its key apart, or why it is refused."""
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
    if key is not None and _holds_key(outgoing, key):
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


def _holds_key(request: CallRequest, key: str) -> bool:
    if key in request.target or key.encode() in request.body:
        return True
    return any(key in text for _, text in request.headers)


def parse_heartbeat(body: bytes) -> Heartbeat | Refusal:
    """Return a heartbeat, or why it is not one."""
    try:
        found = json.loads(body)
        announcement = Heartbeat(
            str(found['service']),
            VmAddress(str(found['address']), int(found['port'])),
            str(found['state']),
            str(found['start_id']),
        )
    except (ValueError, KeyError, TypeError) as error:
        return bad_request(f'announcement is not valid: {error!r}')
    if announcement.state not in {'cold', 'ready', 'draining'}:
        return bad_request(f'state {announcement.state!r} is not known')
    return announcement
