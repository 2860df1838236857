"""Bounds the requests of one connection that are parsed and wait."""

from collections import deque
from typing import Final

from mustardshunt.relay._request_parser import ParsedRequest, RequestParser

# Complete requests of one connection that wait to be taken, and the memory of
# their heads. Above either of them, nothing more is parsed or read.
MAX_QUEUED_REQUESTS: Final = 32
MAX_QUEUED_HEAD_BYTES: Final = 256 * 1024
# Longest piece that is parsed at once, unless it belongs to one body.
MAX_PIECE_BYTES: Final = 4096
# Longest piece of a body in chunks that is parsed at once. The parser keeps an
# unfinished trailer of this length.
MAX_CHUNKED_PIECE_BYTES: Final = 16384
_HEAD_END: Final = b'\r\n\r\n'


class RequestIntake:
    r"""Feeds received bytes to a parser until enough requests wait.

    What follows is kept as it arrived, since a parsed request takes several
    times the memory of its bytes.

    Parameters
    ----------
    parser : RequestParser
        Parser of the connection.

    Examples
    --------
    >>> from mustardshunt.policy import RequestLimits
    >>> intake = RequestIntake(RequestParser(RequestLimits))
    >>> intake.feed(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n' * 99, now=1.0)
    >>> len(intake.parser.requests), intake.must_pause
    (32, True)
    >>> intake.take().request.target, len(intake.parser.requests)
    ('/a', 32)
    """

    __slots__ = ('_arrivals', '_offset', '_unparsed_bytes', 'parser')

    def __init__(self, parser: RequestParser) -> None:
        self.parser = parser
        # Bytes that are not parsed yet, with the times of their arrival, and
        # where the rest of the first ones starts.
        self._arrivals: deque[tuple[bytes, float]] = deque()
        self._offset = 0
        self._unparsed_bytes = 0

    @property
    def must_pause(self) -> bool:
        """Whether the connection must not be read now."""
        if self.parser.error_status:
            return False
        return self._unparsed_bytes > 0 or self._is_full()

    @property
    def waiting_requests(self) -> int:
        """Number of complete requests that wait to be taken."""
        return len(self.parser.requests)

    @property
    def waiting_bytes(self) -> int:
        """Memory of the heads that wait and of the bytes behind them."""
        return self.parser.queued_head_bytes + self._unparsed_bytes

    def feed(self, received: bytes, now: float) -> None:
        """Parse received bytes, or keep them.

        Parameters
        ----------
        received : bytes
            Bytes of the connection, in pieces of any size.
        now : float
            Time in seconds, recorded as the arrival of the requests.
        """
        if not self._unparsed_bytes and self._has_one_end(received):
            self.parser.feed(received, now)
            return
        self._arrivals.append((received, now))
        self._unparsed_bytes += len(received)
        self._parse()

    def take(self) -> ParsedRequest:
        """Remove and return the first complete request.

        Raises
        ------
        IndexError
            No complete request waits.
        """
        parsed = self.parser.take()
        if self._unparsed_bytes:
            self._parse()
        return parsed

    def drop_waiting(self) -> None:
        """Drop the complete requests and the bytes behind them."""
        while self.parser.requests:
            self.parser.drop_last()
        self._drop_unparsed()

    def close(self) -> None:
        """Drop everything: the connection has ended."""
        self.drop_waiting()
        self.parser.drop_arriving()

    def _parse(self) -> None:
        parser = self.parser
        while self._arrivals and not self._is_full():
            if parser.is_finished or parser.error_status:
                self._drop_unparsed()
                return
            received, arrived_at = self._arrivals[0]
            piece = received[self._offset : self._piece_end(received)]
            self._unparsed_bytes -= len(piece)
            self._offset += len(piece)
            if self._offset == len(received):
                self._arrivals.popleft()
                self._offset = 0
            parser.feed(piece, arrived_at)

    def _is_full(self) -> bool:
        return (
            len(self.parser.requests) >= MAX_QUEUED_REQUESTS
            or self.parser.queued_head_bytes > MAX_QUEUED_HEAD_BYTES
        )

    def _has_one_end(self, received: bytes) -> bool:
        """Tell whether the bytes end few requests, at most one in common."""
        if self.parser.missing_bytes:
            return len(received) <= self.parser.missing_bytes
        return (
            len(received) <= MAX_PIECE_BYTES and received.count(_HEAD_END) <= 1
        )

    def _piece_end(self, received: bytes) -> int:
        """Return where a piece ends that ends few requests."""
        if self.parser.missing_bytes:
            return min(len(received), self._offset + self.parser.missing_bytes)
        head_end = received.find(_HEAD_END, self._offset)
        end = len(received) if head_end < 0 else head_end + len(_HEAD_END)
        if self.parser.is_receiving and not self.parser.is_in_head:
            # A body in chunks ends with an empty line.
            return min(end, self._offset + MAX_CHUNKED_PIECE_BYTES)
        return min(end, self._offset + MAX_PIECE_BYTES)

    def _drop_unparsed(self) -> None:
        self._arrivals.clear()
        self._offset = 0
        self._unparsed_bytes = 0
