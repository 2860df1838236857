"""Incremental parser of HTTP/1.1 requests, over llhttp."""

import http
from collections import deque
from dataclasses import dataclass, replace
from typing import Any, Final, Protocol

import httptools

from mustardshunt.policy import RequestLimits
from mustardshunt.relay._arriving_request import (
    HEADER_LINE_BYTES,
    ArrivingRequest,
)
from mustardshunt.relay._large_body import LargeBody
from mustardshunt.relay._messages import (
    NO_HEADERS,
    HttpRequest,
    index_headers,
)

_CONNECT: Final = b'CONNECT'


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """Complete request of a caller, as parsed from a connection.

    Parameters
    ----------
    request : HttpRequest
        The request.
    should_close : bool
        Whether the connection ends with the response to this request. What
        the caller has sent behind the request is not read.
    head_bytes : int
        Memory that the request takes besides its body.
    """

    request: HttpRequest
    should_close: bool
    head_bytes: int


class LimitSource(Protocol):
    """Returns the limits on requests that apply now."""

    def __call__(self) -> RequestLimits:
        """Return the limits on the size and the duration of requests."""
        ...


class RequestParser:
    r"""Parses the bytes of one caller's connection into requests.

    The requests before a malformed request stay available: the error belongs
    to the request that the caller sent last.

    Parameters
    ----------
    limits : callable
        Returns the limits on the size of requests that apply now.

    Examples
    --------
    >>> parser = RequestParser(RequestLimits)
    >>> parser.feed(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b', now=1.0)
    >>> parser.requests[0].request.target, parser.is_receiving
    ('/a', True)
    """

    def __init__(self, limits: LimitSource) -> None:
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self.arriving = ArrivingRequest()
        self.requests: deque[ParsedRequest] = deque()
        self.error_status = 0
        self.is_receiving = False
        self.is_in_head = False
        self.expects_continue = False
        self.queued_bytes = 0
        self.queued_head_bytes = 0
        self.stated_bytes = 0
        # Whether the body being received is kept as a large one.
        self.has_large_body = False
        self.is_finished = False

    @property
    def arriving_bytes(self) -> int:
        """Memory of the request that is being received, 0 without one."""
        return self.arriving.held_bytes() if self.is_receiving else 0

    @property
    def missing_bytes(self) -> int:
        """Bytes of stated length that the body being received lacks."""
        if not self.is_receiving or self.is_in_head:
            return 0
        return max(0, self.stated_bytes - self.arriving.body.size)

    def keep_large(self, body: LargeBody) -> None:
        """Keep the body that is being received as a large one.

        Parameters
        ----------
        body : LargeBody
            Empty body with room for what has arrived.
        """
        self.arriving.body.keep_large(body)
        self.has_large_body = True

    def take(self) -> ParsedRequest:
        """Remove and return the first complete request.

        Raises
        ------
        IndexError
            No complete request waits.
        """
        parsed = self.requests.popleft()
        self.queued_head_bytes -= parsed.head_bytes
        return parsed

    def drop_last(self) -> None:
        """Drop the complete request that arrived last."""
        last = self.requests.pop()
        self.queued_bytes -= len(last.request.body)
        if last.request.large_body is not None:
            last.request.large_body.close()
        self.queued_head_bytes -= last.head_bytes

    def drop_arriving(self) -> None:
        """Drop the request that is being received; nothing more is parsed."""
        self.arriving.body.drop_large()
        self.arriving = ArrivingRequest()
        self.is_finished = True

    def refuse(self, status: http.HTTPStatus) -> None:
        """Refuse the request that is being received and drop its body."""
        self._fail(status)

    def refuse_last(self, status: http.HTTPStatus) -> bool:
        """Refuse the complete request that arrived last, if one waits."""
        if not self.requests:
            return False
        self.drop_last()
        self._fail(status)
        return True

    def feed(self, received: bytes, now: float) -> None:
        """Parse received bytes; bytes behind a closing request are ignored.

        Parameters
        ----------
        received : bytes
            Bytes of the connection, in pieces of any size.
        now : float
            Time in seconds, recorded as the arrival of the requests.
        """
        if self.is_finished or self.error_status:
            return
        start = self.arriving
        start.now = now
        body = start.body
        former_size = body.size
        was_in_head = self.is_in_head
        try:
            self._parse(received)
        except httptools.HttpParserError:
            if not self.is_finished:
                self._fail(http.HTTPStatus.BAD_REQUEST)
        if not self.is_receiving or self.arriving is not start:
            return
        if self.is_in_head:
            # All these bytes belong to the head. The bytes with which a head
            # begins are left out, since other requests may be before them.
            start.fed_bytes += len(received)
            self._check_head(start.fed_bytes)
        elif was_in_head or body.size > former_size:
            start.framing_bytes = 0
        else:
            # The parser keeps a trailer until its end. Trailers and extensions
            # may be as long as a head.
            start.framing_bytes += len(received)
            self._check_head(start.framing_bytes)

    def on_message_begin(self) -> None:
        """Start a request (callback of the parser)."""
        self.arriving = ArrivingRequest(self.arriving.now)
        self.is_receiving = True
        self.is_in_head = True
        self.expects_continue = False
        self.stated_bytes = 0
        self.has_large_body = False

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target (callback of the parser)."""
        self.arriving.url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (callback of the parser)."""
        if not self.is_in_head or self.error_status:
            # Trailers behind a chunked body are not passed on.
            return
        start = self.arriving
        start.head_bytes += len(name) + len(text) + HEADER_LINE_BYTES
        start.fields.append((name, text))

    def on_headers_complete(self) -> None:
        """Check the head (callback of the parser)."""
        start = self.arriving
        self.is_in_head = False
        self._check_head(start.head_bytes + len(start.url))
        if self.error_status:
            return
        start.headers = tuple(start.fields)
        start.by_name = index_headers(start.headers)
        hosts = [name for name, _ in start.headers if name.lower() == b'host']
        if len(hosts) > 1:
            self._fail(http.HTTPStatus.BAD_REQUEST)
        self.stated_bytes = int(start.by_name.get('content-length', '0'))
        if self.stated_bytes > self._limits().max_body_bytes:
            self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.expects_continue = 'expect' in start.by_name

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body (callback of the parser)."""
        if self.error_status:
            return
        pieces = self.arriving.body
        max_bytes = self._limits().max_body_bytes
        if pieces.size + len(body) > max_bytes or not pieces.append(body):
            self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Add the complete request to the requests (callback)."""
        if self.error_status or _offers_upgrade(self._parser):
            return
        start = self.arriving
        self.is_receiving = False
        self.expects_continue = False
        should_close = not self._parser.should_keep_alive()
        body = start.body.take()
        self.queued_bytes += len(body)
        request = HttpRequest(
            self._parser.get_method().decode(),
            start.url.decode('utf-8', 'surrogateescape'),
            start.headers,
            start.by_name,
            body,
            start.now,
            # What follows on the connection must not close the body.
            start.body.take_large(),
        )
        head_bytes = start.memory_of_head()
        # An idle connection keeps no fields of its last request.
        start.fields = []
        start.headers = ()
        start.by_name = NO_HEADERS
        self.queued_head_bytes += head_bytes
        self.requests.append(ParsedRequest(request, should_close, head_bytes))
        self.is_finished = should_close

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            if _offers_upgrade(self._parser):
                self._parse_without_offer(received[upgrade.args[0] :])
            else:
                # After CONNECT, what follows is for another server.
                self._close_after_last()

    def _parse_without_offer(self, received: bytes) -> None:
        """Parse the last head once more, as if it offered no upgrade.

        No protocol is switched to, so the body of the request follows the head
        (RFC 9110, 7.8); the parser takes a body behind an offer for the other
        protocol. The connection closes after the request, since the caller may
        send bytes of the other protocol behind it.

        Parameters
        ----------
        received : bytes
            Bytes behind the head.
        """
        if self.error_status:
            return
        start = self.arriving
        lines = [
            b'%b %b HTTP/%b'
            % (
                self._parser.get_method(),
                start.url,
                self._parser.get_http_version().encode(),
            )
        ]
        for name, text in start.headers:
            match name.lower():
                case b'upgrade':
                    continue
                case b'connection':
                    lines.append(b'%b: %b, close' % (name, text))
                case _:
                    lines.append(b'%b: %b' % (name, text))
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b'\r\n'.join([*lines, b'', b'']))
        self._parser.feed_data(received)

    def _check_head(self, head_bytes: int) -> None:
        if head_bytes > self._limits().max_header_bytes:
            self._fail(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _fail(self, status: http.HTTPStatus) -> None:
        self.error_status = self.error_status or status
        self.arriving.body.drop_large()
        # The connection stays open until its caller has read the refusal.
        self.arriving = ArrivingRequest(self.arriving.now)

    def _close_after_last(self) -> None:
        self.is_finished = True
        if self.requests:
            last = self.requests.pop()
            self.requests.append(replace(last, should_close=True))


def _offers_upgrade(parser: Any) -> bool:
    """Tell whether another protocol is expected behind the last head.

    CONNECT has no body, so its request is complete.
    """
    method: bytes = parser.get_method()
    return bool(parser.should_upgrade()) and method != _CONNECT
