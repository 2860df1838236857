"""A call on its way through the node beside the backend server."""

from typing import Any, Final, Protocol

from aiohttp.http_parser import RawResponseMessage

from mustardshunt.base import Clock
from mustardshunt.relay import BackendOutcome, Call
from mustardshunt.sidecar._ports import HeaderCodec
from mustardshunt.sidecar._status_publisher import ResultSink
from mustardshunt.upstream import AdmissionRequest, BackendGate

MS_PER_SECOND: Final = 1000.0


class ServedCallOwner(Protocol):
    """Serves calls; takes back those that have ended."""

    header_codec: HeaderCodec
    gate: BackendGate
    clock: Clock

    def complete(self, served: 'ServedCall', outcome: BackendOutcome) -> None:
        """Take what became of a call."""
        ...


class ServedCall:
    """A call that waits for the backend server or runs there."""

    __slots__ = (
        '_callee',
        'call',
        'connection',
        'deadline',
        'is_done',
        'sink',
        'ticket',
    )

    def __init__(
        self,
        callee: ServedCallOwner,
        call: Call,
        sink: ResultSink,
        ticket: AdmissionRequest,
        deadline: float,
    ) -> None:
        self._callee = callee
        self.call = call
        self.ticket = ticket
        self.sink = sink
        self.deadline = deadline
        self.connection: Any = None
        self.is_done = False

    @property
    def expects_body(self) -> bool:
        """Whether the answer may have a body."""
        return self.call.method != 'HEAD'

    def render(self) -> bytes:
        """Return the request for the backend server."""
        call = self.call
        left = self.deadline - self._callee.clock.now()
        set_head = self._callee.header_codec.render_backend_headers(
            call,
            self._callee.gate.instance,
            max(1, int(left * MS_PER_SECOND)),
        )
        length = b''
        if call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
            length = b'Content-Length: %d\r\n' % len(call.body)
        return b'%b %b HTTP/1.1\r\n%b%b%b\r\n%b' % (
            call.method.encode(),
            call.target.encode('utf-8', 'surrogateescape'),
            call.head,
            set_head,
            length,
            call.body,
        )

    def matches(self, message: RawResponseMessage) -> bool:
        """Tell whether an answer belongs to this call."""
        return self._callee.header_codec.matches_request(
            message, self.call.request_id
        )

    def finish(self, outcome: BackendOutcome) -> None:
        """Take what became of the request."""
        self._callee.complete(self, outcome)
