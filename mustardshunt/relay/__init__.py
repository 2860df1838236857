"""Input and output of a node: callers, its backend server, its peers."""

from mustardshunt.relay._backend import (
    BackendAnswer,
    BackendFailure,
    BackendOutcome,
    BackendPool,
    FailureKind,
)
from mustardshunt.relay._frame_types import (
    Answered,
    Call,
    Cancel,
    FateAsk,
    Frame,
    Hello,
    Lost,
    NotRun,
    Ping,
    PolicyAsk,
    PolicyDocument,
    Pong,
    State,
    TokensGiven,
    TokensWanted,
)
from mustardshunt.relay._frames import (
    FrameError,
    FrameSplitter,
    decode_frame,
    encode_frame,
)
from mustardshunt.relay._loop import make_event_loop
from mustardshunt.relay._messages import (
    HOP_HEADERS,
    HttpReply,
    HttpRequest,
    RawHeaders,
    RequestHandler,
    lower_name,
    render_headers,
)
from mustardshunt.relay._server import HttpServer
from mustardshunt.relay._streams import FrameStream, dial, listen

__all__ = [
    'HOP_HEADERS',
    'Answered',
    'BackendAnswer',
    'BackendFailure',
    'BackendOutcome',
    'BackendPool',
    'Call',
    'Cancel',
    'FailureKind',
    'FateAsk',
    'Frame',
    'FrameError',
    'FrameSplitter',
    'FrameStream',
    'Hello',
    'HttpReply',
    'HttpRequest',
    'HttpServer',
    'Lost',
    'NotRun',
    'Ping',
    'PolicyAsk',
    'PolicyDocument',
    'Pong',
    'RawHeaders',
    'RequestHandler',
    'State',
    'TokensGiven',
    'TokensWanted',
    'decode_frame',
    'dial',
    'encode_frame',
    'listen',
    'lower_name',
    'make_event_loop',
    'render_headers',
]
