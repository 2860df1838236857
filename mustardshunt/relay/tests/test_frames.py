"""Tests of the encoding of frames and the splitting of byte streams."""

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


def test_frames_are_restored_from_chunks_of_any_size():
    # TCP may deliver bytes in other pieces than they were sent in. The same
    # frames must be restored: no frame may be lost or joined with another.
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
def test_malformed_frame_raises_frame_error(encoded: bytes):
    # Malformed bytes from a peer must raise FrameError. Any other exception
    # would end the task of the link unexpectedly.
    with pytest.raises(FrameError):
        decode_frame(encoded)


def test_length_above_limit_raises_frame_error():
    # A length prefix above the limit must raise an error at once. Otherwise the
    # node would buffer bytes without a bound.
    with pytest.raises(FrameError):
        FrameSplitter().feed(b'\xff\xff\xff\xff')
