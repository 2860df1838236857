"""Incremental parser of HTTP/1.1 answers, over llhttp."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, Protocol

import httptools

from mustardshunt.relay._messages import (
    PIECE_OVERHEAD_BYTES,
    STATUS_WITHOUT_BODY,
    RawHeaders,
    index_headers,
)

# Largest head of an answer, informational answers before it included. A
# backend server that sends a longer head does not answer the request.
MAX_ANSWER_HEAD_BYTES: Final = 65536
# Framing of chunks, in bytes, that an answer may have on top of a body of
# equal length. Chunk extensions and empty lines count as framing, so an answer
# of endless framing ends.
MIN_FRAMING_BYTES: Final = 65536
_FIRST_FINAL_STATUS: Final = 200
# Statuses that HTTP knows (RFC 9110, 15). The parser below accepts any three
# digits, and takes those under 200 for informational answers.
_VALID_STATUSES: Final = range(100, 600)
# Start of another answer inside a reason phrase or a header: the first answer
# has been cut short, and its status or headers would be taken for those of the
# answer behind it.
_STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d \d{3}')


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
        """Check the status line (callback of the parser)."""
        self._check_status()
        _check_no_status_line(reason)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header (callback of the parser)."""
        if self._head is None:
            _check_no_status_line(text)
            self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Report the head of a final answer (callback of the parser)."""
        # The parser reports a status line only if it has a reason phrase.
        status = self._check_status()
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

    def _check_status(self) -> int:
        status: int = self._parser.get_status_code()
        if status not in _VALID_STATUSES:
            raise ValueError(f'status {status:03} is outside 100 to 599')
        return status

    def _end(self, should_close: bool) -> None:
        self.is_idle = True
        body = b''.join(self._body)
        self._body = []
        self._events.end_answer(body, should_close)


def _check_no_status_line(text: bytes) -> None:
    if b'HTTP/' in text and _STATUS_LINE.search(text):
        raise ValueError(f'an answer begins inside the head of one: {text!r}')
