"""Codec of the platform's HTTP headers."""

import math
import re
from typing import Final

from mustardshunt.platform._names import (
    AUTHORIZATION_HEADER,
    BEARER_PREFIX,
    CALLER_SERVICE_HEADER,
    COLD_HEADER,
    DEADLINE_MS_HEADER,
    EXPECTED_INSTANCE_HEADER,
    INSTANCE_HEADER,
    LEAVING_HEADER,
    NOT_EXECUTED_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    REQUEST_LIMIT_HEADER,
    RESPONSE_STAMP_HEADER,
)
from mustardshunt.platform._values import MalformedError, parse_number
from mustardshunt.relay import (
    AnswerHead,
    Call,
    HttpRequest,
    RawHeaders,
    lower_name,
)
from mustardshunt.sidecar import (
    AnswerMetadata,
    RequestMetadata,
    ServerHealth,
)

# Longest part of a malformed header that an error message quotes.
MAX_QUOTED_BYTES: Final = 40
_DECIMAL_NUMBER: Final = re.compile(rb'[0-9]{1,20}(\.[0-9]{1,20})?')
_MS_PER_SECOND: Final = 1000.0
_OK: Final = 200
_MISDIRECTED_REQUEST: Final = 421
# Keys of the headers of a request or an answer.
_AUTHORIZATION: Final = AUTHORIZATION_HEADER.lower()
_DEADLINE_MS: Final = DEADLINE_MS_HEADER.lower()
_REQUEST_ID: Final = REQUEST_ID_HEADER.lower()
_RESPONSE_STAMP: Final = RESPONSE_STAMP_HEADER.lower().encode()
_NOT_EXECUTED: Final = NOT_EXECUTED_HEADER.lower().encode()
_CONTENT_ENCODING: Final = b'content-encoding'
_COLD: Final = COLD_HEADER.lower().encode()
_INSTANCE: Final = INSTANCE_HEADER.lower().encode()
_LEAVING: Final = LEAVING_HEADER.lower().encode()
_REQUEST_LIMIT: Final = REQUEST_LIMIT_HEADER.lower().encode()


class PlatformHeaderCodec:
    """Reads the platform's headers from requests and answers, and writes them.

    Attributes
    ----------
    reserved_headers : frozenset of bytes
        Lower-case names of the request headers that only nodes set. A caller's
        values for these headers are not passed on to the backend server.
    """

    reserved_headers = frozenset(
        name.lower().encode()
        for name in (
            DEADLINE_MS_HEADER,
            EXPECTED_INSTANCE_HEADER,
            ORGANISATION_HEADER,
            CALLER_SERVICE_HEADER,
            AUTHORIZATION_HEADER,
        )
    )

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return the request id, remaining seconds and API key of a request.

        A header that is absent or malformed counts as not set.
        """
        headers = request.headers
        authorization = headers.get(_AUTHORIZATION)
        key = None
        if authorization is not None:
            key = authorization.removeprefix(BEARER_PREFIX).strip()
        return RequestMetadata(
            headers.get(_REQUEST_ID, ''),
            _parse_milliseconds(headers.get(_DEADLINE_MS)),
            key,
        )

    def render_backend_headers(
        self, call: Call, instance: str, left_ms: int
    ) -> bytes:
        """Return the header lines that are added for the backend server.

        Parameters
        ----------
        call : Call
            Call to forward.
        instance : str
            Identifies the run of the backend server that must answer. Any other
            run refuses the call.
        left_ms : int
            Milliseconds until the deadline of the call.
        """
        organisation_line = ''
        if call.organisation:
            organisation_line = (
                f'{ORGANISATION_HEADER}: {call.organisation}\r\n'
            )
        return (
            f'{DEADLINE_MS_HEADER}: {left_ms}\r\n'
            f'{EXPECTED_INSTANCE_HEADER}: {instance}\r\n'
            f'{CALLER_SERVICE_HEADER}: {call.caller_service}\r\n'
            f'{organisation_line}'
        ).encode()

    def matches_request(self, head: AnswerHead, request_id: str) -> bool:
        """Return whether an answer carries the id of a request."""
        return head.headers.get(_REQUEST_ID) == request_id

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return what an answer's headers and status say about the request.

        They tell whether the backend server made the answer, whether the
        request was run, and whether the request reached the expected run of the
        backend server. They also tell whether the backend server leaves, and
        name its limit.
        """
        names = {lower_name(header[0]) for header in headers}
        is_leaving = False
        request_limit = None
        malformed = []
        if _LEAVING in names:
            try:
                is_leaving = _read_leaving(headers)
            except MalformedError as error:
                malformed.append(str(error))
        if _REQUEST_LIMIT in names:
            try:
                request_limit = _read_request_limit(headers)
            except MalformedError as error:
                malformed.append(str(error))
        return AnswerMetadata(
            is_stamped=_RESPONSE_STAMP in names,
            says_not_run=_NOT_EXECUTED in names,
            is_wrong_instance=status == _MISDIRECTED_REQUEST,
            is_encoded=_CONTENT_ENCODING in names,
            is_leaving=is_leaving,
            request_limit=request_limit,
            malformed='; '.join(malformed),
        )

    def read_health(
        self, status: int, headers: RawHeaders
    ) -> ServerHealth | None:
        """Return what the answer to a health check tells.

        Returns None when the backend server drains or fails, and when the
        answer does not name its process.
        """
        if status != _OK:
            return None
        # The name is sent in a header of each call to the backend server.
        instance = _join_values(headers, _INSTANCE).decode('latin-1')
        if not instance or not instance.isprintable():
            return None
        cold_ms = _parse_milliseconds(
            _join_values(headers, _COLD).decode('latin-1') or '0'
        )
        if cold_ms is None or cold_ms < 0:
            return None
        return ServerHealth(instance, cold_ms)


def _read_leaving(headers: RawHeaders) -> bool:
    found = _join_values(headers, _LEAVING)
    if found != b'1':
        raise MalformedError(
            f'{LEAVING_HEADER}: expected 1, found {found[:MAX_QUOTED_BYTES]!r}'
        )
    return True


def _read_request_limit(headers: RawHeaders) -> float:
    found = _join_values(headers, _REQUEST_LIMIT)
    if not _DECIMAL_NUMBER.fullmatch(found):
        raise MalformedError(
            f'{REQUEST_LIMIT_HEADER}: expected one decimal number, '
            f'found {found[:MAX_QUOTED_BYTES]!r}'
        )
    return parse_number(found.decode(), REQUEST_LIMIT_HEADER)


def _join_values(headers: RawHeaders, wanted: bytes) -> bytes:
    return b', '.join(
        text for name, text in headers if lower_name(name) == wanted
    )


def _parse_milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(milliseconds):
        return None
    return milliseconds / _MS_PER_SECOND
