"""Call that the backend server beside this node serves."""

from typing import Any, Final, Protocol

from mustardshunt.base import Clock
from mustardshunt.memory import Holding
from mustardshunt.relay import (
    AnswerHead,
    BackendOutcome,
    Call,
    LargeBody,
    LargeRequest,
)
from mustardshunt.sidecar._ports import HeaderCodec
from mustardshunt.sidecar._status_publisher import ResultSink
from mustardshunt.upstream import AdmissionRequest, BackendGate, ServerRun

MS_PER_SECOND: Final = 1000.0


class ServedCallOwner(Protocol):
    """Component that serves calls and is told when a call ends."""

    header_codec: HeaderCodec
    gate: BackendGate
    clock: Clock

    def complete(self, served: 'ServedCall', outcome: BackendOutcome) -> None:
        """Deliver the result of a call that ended at the backend server."""
        ...


class ServedCall:
    """Call that waits in the admission queue or runs at the backend server.

    Parameters
    ----------
    owner : ServedCallOwner
        Component that serves the call.
    call : Call
        The call.
    sink : ResultSink
        Receives the result.
    ticket : AdmissionRequest
        Handle of the call at the gate.
    deadline : float
        Time in seconds at which the caller stops waiting.
    body : Holding or None, default=None
        Memory of the call's body, None if the call has none.
    large_body : LargeBody or None, default=None
        Body of the call if it is a large one.
    """

    __slots__ = (
        '_owner',
        'body',
        'call',
        'connection',
        'deadline',
        'is_done',
        'large_body',
        'run',
        'sent_at',
        'sink',
        'ticket',
    )

    def __init__(
        self,
        owner: ServedCallOwner,
        call: Call,
        sink: ResultSink,
        ticket: AdmissionRequest,
        deadline: float,
        body: Holding | None = None,
        large_body: LargeBody | None = None,
    ) -> None:
        self.body = body
        self.large_body = large_body
        self._owner = owner
        self.call = call
        self.ticket = ticket
        self.sink = sink
        self.deadline = deadline
        self.connection: Any = None
        self.is_done = False
        self.run: ServerRun | None = None
        self.sent_at = 0.0

    @property
    def expects_body(self) -> bool:
        """Whether the answer may have a body; answers to HEAD have none."""
        return self.call.method != 'HEAD'

    def render(self) -> bytes | LargeRequest:
        """Return the HTTP request for the backend server."""
        call = self.call
        self.sent_at = self._owner.clock.now()
        self.run = self._owner.gate.liveness.run
        remaining = self.deadline - self.sent_at
        added_head = self._owner.header_codec.render_backend_headers(
            call,
            self._owner.gate.instance,
            max(1, int(remaining * MS_PER_SECOND)),
        )
        length = b''
        large_body = self.large_body
        if large_body is not None:
            length = b'Content-Length: %d\r\n' % len(large_body)
        elif call.body or call.method not in {'GET', 'HEAD', 'DELETE'}:
            length = b'Content-Length: %d\r\n' % len(call.body)
        request = b'%b %b HTTP/1.1\r\n%b%b%b\r\n%b' % (
            call.method.encode(),
            call.target.encode('utf-8', 'surrogateescape'),
            call.head,
            added_head,
            length,
            call.body,
        )
        if large_body is not None:
            return LargeRequest(request, large_body)
        return request

    def matches(self, head: AnswerHead) -> bool:
        """Tell whether an answer carries the identifier of this request."""
        return self._owner.header_codec.matches_request(
            head, self.call.request_id
        )

    def end(self) -> None:
        """Mark the call as ended, and return the memory of its body."""
        self.is_done = True
        if self.body is not None:
            self.body.clear()

    def finish(self, outcome: BackendOutcome) -> None:
        """Pass the outcome of the request to the owner of the call."""
        self._owner.complete(self, outcome)
