"""Frames between nodes."""

import pytest

from mustardshunt.relay import (
    Call,
    CallStatusRequest,
    Cancel,
    FrameError,
    FrameSplitter,
    decode_frame,
    encode_frame,
)

CALL = Call(
    7,
    's',
    'r',
    'id',
    900,
    50,
    1,
    True,
    'o',
    'c',
    'POST',
    '/x',
    b'A: b\r\n',
    b'x',
)


def test_frames_survive_any_cut_of_the_stream():
    frames = [CALL, CallStatusRequest((1, 2)), Cancel(3)]
    stream = b''.join(encode_frame(frame) for frame in frames)
    for size in (1, 3, 50, len(stream)):
        splitter = FrameSplitter()
        found = []
        for start in range(0, len(stream), size):
            found.extend(splitter.feed(stream[start : start + size]))
        assert found == frames


@pytest.mark.parametrize(
    'encoded',
    [b'', b'\x00', b'\x81\x18\xff', b'\x82\x06\x61a', b'\x81\x06', b'\xff'],
)
def test_what_is_no_frame_is_an_error(encoded: bytes):
    with pytest.raises(FrameError):
        decode_frame(encoded)


def test_length_beyond_the_limit_is_an_error():
    with pytest.raises(FrameError):
        FrameSplitter().feed(b'\xff\xff\xff\xff')
