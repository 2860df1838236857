"""Incremental parsers of HTTP/1.1 requests and answers, over llhttp."""

import functools
import http
import re
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final, Protocol

import httptools

from mustardshunt.policy import RequestLimits
from mustardshunt.relay._messages import (
    STATUS_WITHOUT_BODY,
    HttpRequest,
    RawHeaders,
)

# Largest head of an answer, informational answers before it included. A
# backend server that sends a longer head does not answer the request.
MAX_ANSWER_HEAD_BYTES: Final = 65536
# Framing of chunks, in bytes, that an answer may have on top of a body of
# equal length. Chunk extensions and empty lines count as framing, so an answer
# of endless framing ends.
MIN_FRAMING_BYTES: Final = 65536
# Memory of each piece of a body besides its bytes. A body in tiny chunks takes
# many times its length.
PIECE_OVERHEAD_BYTES: Final = 64
# Largest number of header names whose lower-case text is cached.
NAME_CACHE_SIZE: Final = 512
_FIRST_FINAL_STATUS: Final = 200
_CONNECT: Final = b'CONNECT'
# Start of another answer inside a reason phrase or a header: the first answer
# has been cut short, and its status or headers would be taken for those of the
# answer behind it.
_STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d \d{3}')
_NO_HEADERS: Final[Mapping[str, str]] = MappingProxyType({})


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
    """

    request: HttpRequest
    should_close: bool


class _RequestStart:
    """Parts of a request that is still being received."""

    __slots__ = (
        'body',
        'body_bytes',
        'by_name',
        'fed_bytes',
        'head_bytes',
        'headers',
        'now',
        'url',
    )

    def __init__(self, now: float = 0.0) -> None:
        self.url = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.by_name: Mapping[str, str] = _NO_HEADERS
        self.body: list[bytes] = []
        self.head_bytes = 0
        self.fed_bytes = 0
        self.body_bytes = 0
        self.now = now

    def held_bytes(self) -> int:
        """Return the memory that the parts take."""
        return (
            max(self.fed_bytes, self.head_bytes)
            + self.body_bytes
            + PIECE_OVERHEAD_BYTES * len(self.body)
        )


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
        self._start = _RequestStart()
        self.requests: deque[ParsedRequest] = deque()
        self.error_status = 0
        self.is_receiving = False
        self.is_in_head = False
        self.expects_continue = False
        self.queued_bytes = 0
        self.stated_bytes = 0
        self._is_finished = False

    @property
    def arriving_bytes(self) -> int:
        """Memory of the request that is being received, 0 without one."""
        return self._start.held_bytes() if self.is_receiving else 0

    def refuse(self, status: http.HTTPStatus) -> None:
        """Refuse the request that is being received and drop its body."""
        self._fail(status)

    def refuse_last(self, status: http.HTTPStatus) -> bool:
        """Refuse the complete request that arrived last, if one waits."""
        if not self.requests:
            return False
        self.queued_bytes -= len(self.requests.pop().request.body)
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
        if self._is_finished or self.error_status:
            return
        start = self._start
        start.now = now
        try:
            self._parse(received)
        except httptools.HttpParserError:
            if not self._is_finished:
                self._fail(http.HTTPStatus.BAD_REQUEST)
        if self.is_in_head and self._start is start:
            # All these bytes belong to the head. The bytes with which a head
            # begins are left out, since other requests may be before them.
            start.fed_bytes += len(received)
            self._check_head(start.fed_bytes)

    def on_message_begin(self) -> None:
        """Start a request (callback of the parser)."""
        self._start = _RequestStart(self._start.now)
        self.is_receiving = True
        self.is_in_head = True
        self.expects_continue = False
        self.stated_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target (callback of the parser)."""
        self._start.url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (callback of the parser)."""
        if not self.is_in_head:
            # Trailers behind a chunked body are not passed on.
            return
        start = self._start
        start.head_bytes += len(name) + len(text) + 4
        start.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Check the head (callback of the parser)."""
        start = self._start
        self.is_in_head = False
        self._check_head(start.head_bytes + len(start.url))
        start.by_name = index_headers(tuple(start.headers))
        hosts = [name for name, _ in start.headers if name.lower() == b'host']
        if len(hosts) > 1:
            self._fail(http.HTTPStatus.BAD_REQUEST)
        self.stated_bytes = int(start.by_name.get('content-length', '0'))
        if self.stated_bytes > self._limits().max_body_bytes:
            self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.expects_continue = 'expect' in start.by_name

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body (callback of the parser)."""
        start = self._start
        start.body_bytes += len(body)
        if start.body_bytes > self._limits().max_body_bytes:
            self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self.error_status:
            start.body.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request to the requests (callback)."""
        if self.error_status or self._offers_upgrade():
            return
        start = self._start
        self.is_receiving = False
        self.expects_continue = False
        should_close = not self._parser.should_keep_alive()
        body = b''.join(start.body)
        start.body.clear()
        self.queued_bytes += len(body)
        request = HttpRequest(
            self._parser.get_method().decode(),
            start.url.decode('utf-8', 'surrogateescape'),
            tuple(start.headers),
            start.by_name,
            body,
            start.now,
        )
        self.requests.append(ParsedRequest(request, should_close))
        self._is_finished = should_close

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            if self._offers_upgrade():
                self._parse_without_offer(received[upgrade.args[0] :])
            else:
                # After CONNECT, what follows is for another server.
                self._close_after_last()

    def _offers_upgrade(self) -> bool:
        """Whether the parser expects another protocol behind the last head.

        CONNECT has no body, so its request is complete.
        """
        method: bytes = self._parser.get_method()
        return bool(self._parser.should_upgrade()) and method != _CONNECT

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
        start = self._start
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
        self._start.body.clear()

    def _close_after_last(self) -> None:
        self._is_finished = True
        if self.requests:
            last = self.requests.pop()
            self.requests.append(ParsedRequest(last.request, True))


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an HTTP answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    raw_headers : tuple of (bytes, bytes)
        Header names and values as received.
    headers : mapping of str to str
        Header values by lower-case name.
    """

    status: int
    raw_headers: RawHeaders
    headers: Mapping[str, str]


class AnswerEvents(Protocol):
    """Receives the answers that a parser finds on a connection."""

    def begin_answer(self, head: AnswerHead) -> None:
        """Receive the head of a final answer."""
        ...

    def end_answer(self, body: bytes, should_close: bool) -> None:
        """Receive the body of the answer whose head came last."""
        ...


class AnswerParser:
    """Parses the bytes of a connection into HTTP answers.

    Parameters
    ----------
    events : AnswerEvents
        Receives the answers.
    max_body_bytes : int
        Largest body that is accepted.
    has_bodies : bool
        Whether answers may have bodies; False for the method ``HEAD``.
    """

    def __init__(
        self,
        events: AnswerEvents,
        max_body_bytes: int,
        has_bodies: bool = True,
    ) -> None:
        self._events = events
        self._max_body_bytes = max_body_bytes
        self._has_bodies = has_bodies
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0
        self._head: AnswerHead | None = None
        self.is_idle = True
        self.stated_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory of the answer that is being received."""
        return self._received_bytes + PIECE_OVERHEAD_BYTES * len(self._body)

    def expect_answer(self) -> None:
        """Start to count the bytes of the next answer."""
        self._received_bytes = 0
        self._body_bytes = 0
        self.stated_bytes = 0

    def drop(self) -> None:
        """Drop the body of an answer that is not wanted any more."""
        self._body.clear()

    def feed(self, received: bytes) -> None:
        """Parse received bytes and report the answers in them.

        Raises
        ------
        ValueError
            The bytes are not an answer, or the answer is too large.
        """
        self._received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise ValueError(f'malformed answer: {error}') from error
        framing_bytes = self._received_bytes - self._body_bytes
        if self._head is None and framing_bytes > MAX_ANSWER_HEAD_BYTES:
            raise ValueError(f'head of {framing_bytes} bytes is too large')
        if framing_bytes > self._body_bytes + MIN_FRAMING_BYTES * 2:
            raise ValueError(f'{framing_bytes} bytes beside the body')
        if max(self._body_bytes, self.stated_bytes) > self._max_body_bytes:
            raise ValueError(f'body is above {self._max_body_bytes} bytes')

    def feed_end(self) -> None:
        """Report the answer that ends with the connection, if there is one.

        An answer with a stated length, or in chunks, has been cut short.
        """
        head = self._head
        if head is None or self.is_idle:
            return
        if not head.headers.keys() & {'content-length', 'transfer-encoding'}:
            self._end(should_close=True)

    def on_message_begin(self) -> None:
        """Start an answer (callback of the parser)."""
        self._headers = []
        self._body = []
        self._head = None
        self.is_idle = False

    def on_status(self, reason: bytes) -> None:
        """Check the reason phrase (callback of the parser)."""
        _check_no_status_line(reason)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (callback of the parser)."""
        if self._head is None:
            _check_no_status_line(text)
            self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Report the head of a final answer (callback of the parser)."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        raw_headers = tuple(self._headers)
        self._head = AnswerHead(status, raw_headers, index_headers(raw_headers))
        if self._has_bodies and status not in STATUS_WITHOUT_BODY:
            length = self._head.headers.get('content-length', '0')
            self.stated_bytes = int(length)
        self._events.begin_answer(self._head)
        if not self._has_bodies:
            self._end(should_close=True)

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body (callback of the parser)."""
        self._body_bytes += len(body)
        if self._body_bytes <= self._max_body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Report the end of a final answer (callback of the parser)."""
        if self._head is None:
            self.is_idle = True
            return
        if not self.is_idle:
            self._end(not self._parser.should_keep_alive())

    def _end(self, should_close: bool) -> None:
        self.is_idle = True
        body = b''.join(self._body)
        self._body = []
        self._events.end_answer(body, should_close)


def _check_no_status_line(text: bytes) -> None:
    if b'HTTP/' in text and _STATUS_LINE.search(text):
        raise ValueError(f'an answer begins inside the head of one: {text!r}')


@functools.lru_cache(maxsize=NAME_CACHE_SIZE)
def _name_text(name: bytes) -> str:
    return name.lower().decode('latin-1')


def index_headers(raw_headers: RawHeaders) -> Mapping[str, str]:
    """Return the headers by lower-case name, the first one of each name.

    Examples
    --------
    >>> dict(index_headers(((b'A', b'1'), (b'a', b'2'))))
    {'a': '1'}
    """
    if not raw_headers:
        return _NO_HEADERS
    text_by_name: dict[str, str] = {}
    for name, text in raw_headers:
        text_by_name.setdefault(
            _name_text(name), text.decode('utf-8', 'surrogateescape')
        )
    return text_by_name
