"""Wraps a call and the length of its body in one frame."""

from mustardshunt.relay._body_frames import LargeCall
from mustardshunt.relay._frame_types import Call
from mustardshunt.relay._frames import (
    LENGTH_PREFIX_BYTES,
    FrameError,
    decode_frame,
    encode_frame,
)


def wrap_large_call(call: Call, body_bytes: int) -> LargeCall:
    """Return the frame that announces a call with a large body.

    Parameters
    ----------
    call : Call
        The call, without its body.
    body_bytes : int
        Length of the body.
    """
    encoded = encode_frame(call)[LENGTH_PREFIX_BYTES:]
    return LargeCall(call.number, body_bytes, encoded)


def unwrap_large_call(frame: LargeCall) -> Call:
    """Return the call of a frame, without its body.

    Raises
    ------
    FrameError
        The frame contains no such call, or no length of a body.
    """
    call = decode_frame(frame.call)
    if not isinstance(call, Call) or call.number != frame.number or call.body:
        raise FrameError('expected a call without a body in a LargeCall')
    if frame.body_bytes <= 0:
        raise FrameError(f'expected a length, found {frame.body_bytes}')
    return call
