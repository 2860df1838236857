"""Heads of the responses to callers."""

import http
from typing import Final

from mustardshunt.relay._messages import STATUS_WITHOUT_BODY, HttpResponse

_STATUS_LINE: Final = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}


def render_response_head(response: HttpResponse, is_last: bool) -> bytes:
    """Return status line and header lines, up to the empty line.

    Parameters
    ----------
    response : HttpResponse
        The response.
    is_last : bool
        Whether the connection closes behind the response.
    """
    parts = [_status_line(response.status), response.head]
    if response.status not in STATUS_WITHOUT_BODY:
        parts.append(b'Content-Length: %d\r\n' % len(response.body))
    parts.append(b'Connection: close\r\n\r\n' if is_last else b'\r\n')
    return b''.join(parts)


def _status_line(status: int) -> bytes:
    line = _STATUS_LINE.get(status)
    return line or f'HTTP/1.1 {status} Status\r\n'.encode()
