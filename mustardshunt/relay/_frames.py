"""Encoding of frames between nodes as length-prefixed CBOR arrays."""

import struct
from collections.abc import Callable
from dataclasses import fields
from operator import attrgetter
from typing import Any, Final

import cbor2

from mustardshunt.base import ErrorCode, MustardshuntError, Revision
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
from mustardshunt.relay._quarantine_frames import (
    CrashReportFrame,
    LiftFrame,
    VerdictFrame,
)
from mustardshunt.relay._server_frames import (
    BackendServerStatusUpdate,
    ServerLeaving,
    ServerLimit,
)

# Longest frame that is accepted. A call or answer with the largest body that
# the settings allow still fits.
MAX_FRAME_BYTES: Final = 80 * 1024 * 1024
# Big-endian length prefix of a frame, in bytes.
_LENGTH: Final = struct.Struct('>I')

# The index of a frame type in this tuple is the type's number on the wire.
_FRAME_TYPES: Final[tuple[type[Any], ...]] = (
    Hello,
    BackendServerStatusUpdate,
    Call,
    Answered,
    NotRun,
    AnswerLost,
    Cancel,
    CallStatusRequest,
    Ping,
    Pong,
    StateRequest,
    OperatorState,
    MemberState,
    TokenRequestFrame,
    TokenGrantFrame,
    ServerLeaving,
    ServerLimit,
    CrashReportFrame,
    VerdictFrame,
    LiftFrame,
)
# Era and number of a revision.
_REVISION_LENGTH: Final = 2
_TYPE_BY_NAME: Final = {
    'str': str,
    'int': int,
    'bool': bool,
    'bytes': bytes,
    'float': float,
}


def _field_types(frame_type: type[Any]) -> tuple[Any, ...]:
    types = []
    for field in fields(frame_type):
        name = getattr(field.type, '__name__', str(field.type))
        types.append(_TYPE_BY_NAME.get(name, list))
    return tuple(types)


_NUMBER_BY_TYPE: Final = {
    frame_type: number for number, frame_type in enumerate(_FRAME_TYPES)
}
_GETTER_BY_TYPE: Final = {
    frame_type: attrgetter(*[field.name for field in fields(frame_type)])
    for frame_type in _FRAME_TYPES
}
_FIELD_TYPES: Final = tuple(
    _field_types(frame_type) for frame_type in _FRAME_TYPES
)


class FrameError(MustardshuntError):
    """Bytes of a peer that cannot be decoded as a frame.

    Parameters
    ----------
    message : str
        What was expected and what was found.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.BAD_FRAME, message)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, starting with the length prefix.

    Examples
    --------
    >>> splitter = FrameSplitter()
    >>> splitter.feed(encode_frame(Cancel(7)))
    [Cancel(number=7)]
    """
    frame_type = type(frame)
    content = _GETTER_BY_TYPE[frame_type](frame)
    if len(_FIELD_TYPES[_NUMBER_BY_TYPE[frame_type]]) == 1:
        content = (content,)
    encoded = cbor2.dumps(
        (_NUMBER_BY_TYPE[frame_type], *content), default=_encode_revision
    )
    return _LENGTH.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Frame:
    """Decode the bytes that follow a length prefix and return the frame.

    Raises
    ------
    FrameError
        The bytes are not CBOR, the frame type is unknown, or the fields do not
        match the frame type.
    """
    try:
        items = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(items, list) or not items:
        raise FrameError(
            'expected a non-empty array with the frame type first, '
            f'found {type(items).__name__}'
        )
    number = items[0]
    if not isinstance(number, int) or not 0 <= number < len(_FRAME_TYPES):
        raise FrameError(
            f'expected a frame type below {len(_FRAME_TYPES)}, found {number!r}'
        )
    frame: Frame = _FRAME_TYPES[number](*_check_fields(number, items[1:]))
    return frame


class FrameSplitter:
    """Splits a byte stream, received in pieces of any size, into frames."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, received: bytes) -> list[Frame]:
        """Add received bytes, and return the frames that are now complete.

        The bytes of an incomplete frame are kept until the next call.

        Raises
        ------
        FrameError
            A frame is longer than ``MAX_FRAME_BYTES`` or cannot be decoded.
        """
        buffer = self._buffer + received if self._buffer else received
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f'frame of {length} bytes exceeds the limit of '
                    f'{MAX_FRAME_BYTES} bytes'
                )
            end = start + _LENGTH.size + length
            if end > len(buffer):
                break
            frames.append(decode_frame(buffer[start + _LENGTH.size : end]))
            start = end
        self._buffer = buffer[start:]
        return frames


def _check_fields(number: int, content: list[Any]) -> list[Any]:
    types = _FIELD_TYPES[number]
    found = tuple(map(type, content))
    if found != types:
        names = ', '.join(kind.__name__ for kind in found)
        raise FrameError(
            f'{_FRAME_TYPES[number].__name__}: found fields of types {names}, '
            f'which do not match the {len(types)} declared fields'
        )
    readers = _LIST_READERS_BY_NUMBER.get(number)
    if readers is None:
        return content
    return [
        found_field if reader is None else reader(found_field)
        for reader, found_field in zip(readers, content, strict=True)
    ]


def _check_integers(found: list[Any]) -> tuple[int, ...]:
    for number in found:
        if not isinstance(number, int):
            raise FrameError(f'expected an integer, found {number!r}')
    return tuple(found)


def _read_revision(found: list[Any]) -> Revision:
    if len(found) != _REVISION_LENGTH:
        raise FrameError(f'expected a revision, found {found!r:.80}')
    return Revision(*_check_integers(found))


def _encode_revision(encoder: Any, revision: Any) -> None:
    if not isinstance(revision, Revision):
        raise TypeError(f'expected a field of a frame, found {revision!r:.80}')
    encoder.encode([revision.era, revision.number])


def _list_readers(
    frame_type: type[Any],
) -> tuple[Callable[[list[Any]], object] | None, ...] | None:
    readers: list[Callable[[list[Any]], object] | None] = []
    for field, kind in zip(
        fields(frame_type), _field_types(frame_type), strict=True
    ):
        if kind is not list:
            readers.append(None)
            continue
        readers.append(
            _read_revision if field.type is Revision else _check_integers
        )
    return tuple(readers) if any(readers) else None


# Functions that read the fields that are encoded as arrays, by frame type.
_LIST_READERS_BY_NUMBER: Final = {
    number: readers
    for number, frame_type in enumerate(_FRAME_TYPES)
    if (readers := _list_readers(frame_type)) is not None
}
