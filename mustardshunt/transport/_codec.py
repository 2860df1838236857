"""CBOR encoding of frames; decoding checks the types of the fields."""

from typing import Any, Final, Protocol, TypeVar

import cbor2
import msgspec

from mustardshunt.base import ErrorCode, MustardshuntError

_BYTES: Final = (bytes,)

FrameT = TypeVar('FrameT')


class FrameError(MustardshuntError):
    """Bytes of a peer that cannot be decoded as a frame.

    Parameters
    ----------
    message : str
        What was expected and what was found.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.BAD_FRAME, message)


class Codec(Protocol):
    """Encodes frames as bytes and decodes them."""

    def encode(self, frame: object) -> bytes:
        """Return the bytes of a frame."""
        ...

    def decode(self, content: bytes) -> object:
        """Decode the bytes of one frame and return the frame.

        Raises
        ------
        FrameError
            The bytes cannot be decoded as a frame.
        """
        ...


class CborCodec:
    """Encodes a frame as a CBOR array of a frame number and a map of fields.

    Parameters
    ----------
    type_by_number : dict of int to type
        Frozen data classes of the frames, by their number on the wire.

    Examples
    --------
    >>> from mustardshunt.transport import PingFrame
    >>> codec = CborCodec({1: PingFrame})
    >>> codec.decode(codec.encode(PingFrame(7)))
    PingFrame(number=7)
    """

    def __init__(self, type_by_number: dict[int, type]) -> None:
        self._type_by_number = type_by_number
        self._number_by_type = {
            frame_type: number for number, frame_type in type_by_number.items()
        }

    def encode(self, frame: object) -> bytes:
        """Return the bytes of a frame.

        Parameters
        ----------
        frame : object
            Instance of a registered data class.

        Returns
        -------
        bytes
            CBOR of the frame.
        """
        number = self._number_by_type[type(frame)]
        fields = msgspec.to_builtins(frame, builtin_types=_BYTES)
        return cbor2.dumps((number, fields))

    def decode(self, content: bytes) -> object:
        """Decode the bytes of one frame and return the frame.

        Parameters
        ----------
        content : bytes
            CBOR of one frame.

        Returns
        -------
        object
            Instance of a registered data class.

        Raises
        ------
        FrameError
            The bytes are not CBOR, the number of the frame type is unknown, or
            a field is missing or of another type.
        """
        try:
            found = cbor2.loads(content)
        except (cbor2.CBORDecodeError, RecursionError) as error:
            raise FrameError(f'not CBOR: {error}') from error
        if not _is_numbered_map(found):
            raise FrameError(
                'expected an array of a frame number and a map of fields, '
                f'found {type(found).__name__}'
            )
        number, fields = found
        frame_type = self._type_by_number.get(number)
        if frame_type is None:
            raise FrameError(f'expected a known frame number, found {number}')
        return self._decode_fields(fields, frame_type)

    def _decode_fields(
        self, fields: object, frame_type: type[FrameT]
    ) -> FrameT:
        try:
            return msgspec.convert(
                fields,
                frame_type,
                builtin_types=_BYTES,
            )
        except (msgspec.ValidationError, ValueError) as error:
            raise FrameError(f'{frame_type.__name__}: {error}') from error


def _is_numbered_map(found: Any) -> bool:
    if not isinstance(found, list) or len(found) != 2:
        return False
    return isinstance(found[0], int) and isinstance(found[1], dict)
