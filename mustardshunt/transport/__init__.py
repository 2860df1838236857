"""Links between nodes, and HTTP to callers and to the backend server."""

from mustardshunt.transport._backend_pool import (
    BackendConnectionPool,
    BackendFailure,
    BackendJob,
)
from mustardshunt.transport._codec import CborCodec, Codec, FrameError
from mustardshunt.transport._connection_guard import make_metrics_guard
from mustardshunt.transport._frames import (
    PROTOCOL_VERSION,
    AnswerFrame,
    CallFrame,
    CallStatusFrame,
    CallStatusRequestFrame,
    CancelFrame,
    Hello,
    PingFrame,
    PongFrame,
    Proof,
    RefusalFrame,
)
from mustardshunt.transport._handshake import LinkParameters
from mustardshunt.transport._http import refusal_answer, says_not_run, status_of
from mustardshunt.transport._http_server import HttpServer
from mustardshunt.transport._link import Link, LinkHandler
from mustardshunt.transport._link_pool import LinkPool
from mustardshunt.transport._proof import HandshakeError
from mustardshunt.transport._requests import (
    CallerRequest,
    ChildRequest,
    Heartbeat,
)
from mustardshunt.transport._servers import (
    BackendListener,
    BackendService,
    CallerServer,
    CallerService,
    Reply,
)

__all__ = [
    'PROTOCOL_VERSION',
    'AnswerFrame',
    'BackendConnectionPool',
    'BackendFailure',
    'BackendJob',
    'BackendListener',
    'BackendService',
    'CallFrame',
    'CallStatusFrame',
    'CallStatusRequestFrame',
    'CallerRequest',
    'CallerServer',
    'CallerService',
    'CancelFrame',
    'CborCodec',
    'ChildRequest',
    'Codec',
    'FrameError',
    'HandshakeError',
    'Heartbeat',
    'Hello',
    'HttpServer',
    'Link',
    'LinkHandler',
    'LinkParameters',
    'LinkPool',
    'PingFrame',
    'PongFrame',
    'Proof',
    'RefusalFrame',
    'Reply',
    'make_metrics_guard',
    'refusal_answer',
    'says_not_run',
    'status_of',
]
