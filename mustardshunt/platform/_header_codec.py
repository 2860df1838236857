"""Headers of the platform."""

from typing import Final

from aiohttp.http_parser import RawResponseMessage

from mustardshunt.platform._names import (
    CALLER_SERVICE,
    EXPECTED_INSTANCE,
    KEY,
    KEY_SCHEME,
    NOT_RUN,
    ORGANISATION,
    REQUEST_ID,
    STAMP,
    TIME_LEFT,
)
from mustardshunt.relay import Call, HttpRequest, RawHeaders, lower_name
from mustardshunt.sidecar import AnswerMetadata, RequestMetadata

_MS_PER_SECOND: Final = 1000.0
_OTHER_SERVER_STATUS: Final = 421
_STAMP: Final = STAMP.lower().encode()
_NOT_RUN: Final = NOT_RUN.lower().encode()
_ENCODING: Final = b'content-encoding'


class PlatformHeaderCodec:
    """Reads and writes the platform's headers."""

    reserved_headers = frozenset(
        name.lower().encode()
        for name in (
            TIME_LEFT,
            EXPECTED_INSTANCE,
            ORGANISATION,
            CALLER_SERVICE,
            KEY,
        )
    )

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say."""
        headers = request.headers
        credentials = headers.get(KEY)
        key = None
        if credentials is not None:
            key = credentials.removeprefix(KEY_SCHEME).strip()
        return RequestMetadata(
            headers.get(REQUEST_ID, ''),
            _seconds(headers.get(TIME_LEFT)),
            key,
        )

    def render_backend_headers(
        self, call: Call, instance: str, left_ms: int
    ) -> bytes:
        """Return the header lines that are set for the backend server."""
        tenant = ''
        if call.organisation:
            tenant = f'{ORGANISATION}: {call.organisation}\r\n'
        return (
            f'{TIME_LEFT}: {left_ms}\r\n'
            f'{EXPECTED_INSTANCE}: {instance}\r\n'
            f'{CALLER_SERVICE}: {call.caller_service}\r\n'
            f'{tenant}'
        ).encode()

    def matches_request(
        self, message: RawResponseMessage, request_id: str
    ) -> bool:
        """Tell whether an answer echoes the identity of a request."""
        return message.headers.get(REQUEST_ID) == request_id

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return what an answer's headers say."""
        names = {lower_name(header[0]) for header in headers}
        return AnswerMetadata(
            is_stamped=_STAMP in names,
            says_not_run=_NOT_RUN in names,
            is_wrong_instance=status == _OTHER_SERVER_STATUS,
            is_encoded=_ENCODING in names,
        )


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text) / _MS_PER_SECOND
    except ValueError:
        return None
