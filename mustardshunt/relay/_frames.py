"""Encoding of frames between nodes as length-prefixed CBOR arrays."""

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, Final, Protocol

import cbor2

from mustardshunt.base import ErrorCode, MustardshuntError, Revision
from mustardshunt.memory import SMALL_BYTES
from mustardshunt.relay._body_frames import BodyPart, LargeCall
from mustardshunt.relay._frame_items import (
    MAX_UNCHECKED_BYTES,
    has_simple_items,
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
from mustardshunt.relay._quarantine_frames import (
    CrashReportFrame,
    LiftFrame,
    VerdictFrame,
)
from mustardshunt.relay._rollout_frames import (
    RolloutReportFrame,
    RolloutStageFrame,
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
LENGTH_PREFIX_BYTES: Final = _LENGTH.size
# Bytes at the start of a frame that hold the type of the frame and the number
# of its call: the head of the array, a type below 24 and an integer.
_START_BYTES: Final = 11
_ARRAY_HEAD_MASK: Final = 0xE0
_ARRAY_HEAD: Final = 0x80

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
    LargeCall,
    BodyPart,
    RolloutStageFrame,
    RolloutReportFrame,
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
    >>> decode_frame(encode_frame(Cancel(7))[4:])
    Cancel(number=7)
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
    if len(encoded) > MAX_UNCHECKED_BYTES and not has_simple_items(encoded):
        raise FrameError('expected an array of simple items')
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


@dataclass(frozen=True, slots=True)
class DroppedFrame:
    """A frame that was not kept, since the memory had no room for it.

    Parameters
    ----------
    is_call : bool
        Whether it was a ``Call``; otherwise it was an ``Answered``.
    number : int
        Number of the call.
    """

    is_call: bool
    number: int


class FrameRoom(Protocol):
    """Memory for the frame that arrives on one connection."""

    def reserve(self, size: int) -> bool:
        """Reserve room for a frame of ``size`` bytes; False without room."""
        ...

    def clear(self) -> None:
        """Return the room: the frame has been read."""
        ...


class FrameSplitter:
    """Splits a byte stream, received in pieces of any size, into frames.

    A large call or answer for which there is no room is skipped as it arrives,
    so that the connection can be used further.

    Parameters
    ----------
    room : FrameRoom
        Memory for a large frame while it arrives.
    """

    def __init__(self, room: FrameRoom) -> None:
        self._room = room
        self._buffer = bytearray()
        # Length at which the frame in the buffer is complete.
        self._needed = 0
        self._skipped_bytes = 0
        self._dropped: DroppedFrame | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are kept of a frame that has not arrived completely."""
        return len(self._buffer)

    def feed(self, received: bytes) -> list[Frame | DroppedFrame]:
        """Add received bytes, and return the frames that are now complete.

        The bytes of an incomplete frame are kept until the next call.

        Raises
        ------
        FrameError
            A frame is longer than ``MAX_FRAME_BYTES`` or cannot be decoded.
        """
        frames: list[Frame | DroppedFrame] = []
        if self._dropped is not None:
            received = self._skip(received, frames)
        if not self._buffer:
            self._split(received, frames)
            return frames
        self._buffer += received
        if len(self._buffer) < self._needed:
            return frames
        buffered = bytes(self._buffer)
        self._buffer = bytearray()
        self._room.clear()
        self._split(buffered, frames)
        return frames

    def _split(self, buffer: bytes, frames: list[Frame | DroppedFrame]) -> None:
        """Append the frames in the buffer, and keep the bytes behind them."""
        start = 0
        end = 0
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
        rest = buffer[start:] if start else buffer
        if rest:
            self._keep(rest, max(end - start, _LENGTH.size))

    def _keep(self, rest: bytes, needed: int) -> None:
        """Keep the start of a frame, or begin to skip the frame."""
        self._needed = needed
        if needed > SMALL_BYTES:
            if len(rest) < _LENGTH.size + _START_BYTES:
                # The next bytes tell what the frame is.
                self._needed = _LENGTH.size + _START_BYTES
            elif not self._room.reserve(needed):
                self._dropped = _read_start(rest[_LENGTH.size :])
        if self._dropped is None:
            self._buffer += rest
        else:
            self._skipped_bytes = needed - len(rest)

    def _skip(
        self, received: bytes, frames: list[Frame | DroppedFrame]
    ) -> bytes:
        """Skip bytes of a dropped frame, and return the bytes behind it."""
        behind = received[self._skipped_bytes :]
        self._skipped_bytes -= len(received) - len(behind)
        if not self._skipped_bytes and self._dropped is not None:
            frames.append(self._dropped)
            self._dropped = None
        return behind


def _read_start(start: bytes) -> DroppedFrame:
    """Return what is dropped with a frame.

    Only calls and answers are dropped. Their first field is the number of the
    call.

    Raises
    ------
    FrameError
        Nothing can be dropped with a frame of this kind.
    """
    is_array = start[0] & _ARRAY_HEAD_MASK == _ARRAY_HEAD
    kinds = {_NUMBER_BY_TYPE[Call], _NUMBER_BY_TYPE[Answered]}
    if not is_array or start[1] not in kinds:
        raise FrameError('no room for a large frame')
    try:
        number = cbor2.loads(start[2:_START_BYTES])
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(number, int):
        raise FrameError(f'expected the number of a call, found {number!r:.80}')
    return DroppedFrame(start[1] == _NUMBER_BY_TYPE[Call], number)


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
