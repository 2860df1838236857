"""Connections of a node to callers, its backend server and other nodes."""

from mustardshunt.relay._acceptor import Acceptor
from mustardshunt.relay._answer_parser import AnswerHead
from mustardshunt.relay._backend_job import (
    BackendAnswer,
    BackendFailure,
    BackendOutcome,
    FailureKind,
)
from mustardshunt.relay._backend_pool import BackendConnectionPool
from mustardshunt.relay._body_frames import (
    BODY_PART_BYTES,
    BodyPart,
    LargeCall,
)
from mustardshunt.relay._body_upload import LargeRequest
from mustardshunt.relay._descriptors import (
    descriptor_limit,
    raise_descriptor_limit,
)
from mustardshunt.relay._frame_types import (
    Answered,
    AnswerLost,
    Call,
    CallStatusRequest,
    Cancel,
    Frame,
    Hello,
    MemberState,
    NotRun,
    OperatorState,
    Ping,
    Pong,
    StateRequest,
    TokenGrantFrame,
    TokenRequestFrame,
)
from mustardshunt.relay._frames import (
    DroppedFrame,
    FrameError,
    FrameSplitter,
    decode_frame,
    encode_frame,
)
from mustardshunt.relay._large_body import LargeBody, take_large_body
from mustardshunt.relay._large_calls import unwrap_large_call, wrap_large_call
from mustardshunt.relay._listening import is_listening
from mustardshunt.relay._listening_sockets import (
    AddressTakenError,
    ListeningSockets,
    listen_at,
)
from mustardshunt.relay._loop import make_event_loop
from mustardshunt.relay._messages import (
    HOP_BY_HOP_HEADERS,
    HttpRequest,
    HttpResponse,
    RawHeaders,
    RequestHandler,
    lower_name,
    render_headers,
)
from mustardshunt.relay._quarantine_frames import (
    CrashReportFrame,
    LiftFrame,
    VerdictFrame,
)
from mustardshunt.relay._rollout_frames import (
    RolloutReportFrame,
    RolloutStageFrame,
)
from mustardshunt.relay._server import HttpServer
from mustardshunt.relay._server_frames import (
    BackendServerStatusUpdate,
    ServerLeaving,
    ServerLimit,
)
from mustardshunt.relay._streams import FrameStream, dial

__all__ = [
    'BODY_PART_BYTES',
    'HOP_BY_HOP_HEADERS',
    'Acceptor',
    'AddressTakenError',
    'AnswerHead',
    'AnswerLost',
    'Answered',
    'BackendAnswer',
    'BackendConnectionPool',
    'BackendFailure',
    'BackendOutcome',
    'BackendServerStatusUpdate',
    'BodyPart',
    'Call',
    'CallStatusRequest',
    'Cancel',
    'CrashReportFrame',
    'DroppedFrame',
    'FailureKind',
    'Frame',
    'FrameError',
    'FrameSplitter',
    'FrameStream',
    'Hello',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'LargeBody',
    'LargeCall',
    'LargeRequest',
    'LiftFrame',
    'ListeningSockets',
    'MemberState',
    'NotRun',
    'OperatorState',
    'Ping',
    'Pong',
    'RawHeaders',
    'RequestHandler',
    'RolloutReportFrame',
    'RolloutStageFrame',
    'ServerLeaving',
    'ServerLimit',
    'StateRequest',
    'TokenGrantFrame',
    'TokenRequestFrame',
    'VerdictFrame',
    'decode_frame',
    'descriptor_limit',
    'dial',
    'encode_frame',
    'is_listening',
    'listen_at',
    'lower_name',
    'make_event_loop',
    'raise_descriptor_limit',
    'render_headers',
    'take_large_body',
    'unwrap_large_call',
    'wrap_large_call',
]
