"""Messages between nodes, as length-prefixed CBOR arrays."""

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, Final, TypeAlias

import cbor2

from mustardshunt.base import ErrorCode, MustardshuntError

# Larger than any message with a body of the largest size allowed.
MAX_FRAME_BYTES: Final = 80 * 1024 * 1024
_LENGTH: Final = struct.Struct('>I')


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of the node that dials.

    Parameters
    ----------
    incarnation : str
        Run of the dialling node.
    link : int
        Rises with each connection that the run opens.
    is_first : bool
        Whether no earlier connection carried calls that still wait.
    """

    incarnation: str
    link: int
    is_first: bool


@dataclass(frozen=True, slots=True)
class State:
    """What the called node tells of its backend server.

    Parameters
    ----------
    name : str
        Name of the called node.
    incarnation : str
        Run of the called node.
    phase : str
        Whether the backend server takes calls.
    is_cold : bool
        Whether it is in its cold start.
    in_flight : int
        Calls that run or wait.
    limit : int
        Calls that may run at the same time.
    cutoff : float
        Positions of ranks below this are accepted.
    hops : int
        Calls down the chain at which the cutoff arose.
    revision : int
        Newest operator change known at the node.
    """

    name: str
    incarnation: str
    phase: str
    is_cold: bool
    in_flight: int
    limit: int
    cutoff: float
    hops: int
    revision: int


@dataclass(frozen=True, slots=True)
class Call:
    """A request on its way to the node beside its backend server.

    Parameters
    ----------
    number : int
        Identity of the call among those of the sending run.
    service : str
        Service that is to run it.
    request_id : str
        Identity that the caller gave.
    remaining_ms : int
        Milliseconds until nobody waits for the answer.
    patience_ms : int
        Milliseconds for which it may wait for a slot.
    position : int
        Position of its rank.
    is_continuation : bool
        Whether a request that already runs needs it.
    organisation : str
        Organisation for which it runs, empty if there is none.
    caller_service : str
        Service beside the node at which it entered.
    method : str
        HTTP method.
    target : str
        Path and query.
    head : bytes
        Header lines that are passed on.
    body : bytes
        Whole body.
    """

    number: int
    service: str
    request_id: str
    remaining_ms: int
    patience_ms: int
    position: int
    is_continuation: bool
    organisation: str
    caller_service: str
    method: str
    target: str
    head: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server's answer to a call.

    Parameters
    ----------
    number : int
        The call.
    status : int
        HTTP status.
    head : bytes
        Header lines that are passed on.
    body : bytes
        Whole body.
    in_flight : int
        Calls at the backend server.
    cutoff_percent : int
        The cutoff times 100.
    """

    number: int
    status: int
    head: bytes
    body: bytes
    in_flight: int
    cutoff_percent: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """A call that has not run and never will.

    Parameters
    ----------
    number : int
        The call.
    reason : str
        Why.
    in_flight : int
        Calls at the backend server, -1 when that is not known.
    cutoff_percent : int
        The cutoff times 100.
    """

    number: int
    reason: str
    in_flight: int
    cutoff_percent: int


@dataclass(frozen=True, slots=True)
class Lost:
    """A call that may have run, and whose answer is lost.

    Parameters
    ----------
    number : int
        The call.
    reason : str
        How the answer was lost.
    """

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for a call any more.

    Parameters
    ----------
    number : int
        The call.
    """

    number: int


@dataclass(frozen=True, slots=True)
class FateAsk:
    """Asks on a new link what became of calls of an older one.

    Parameters
    ----------
    numbers : tuple of int
        The calls.
    """

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a sign of life.

    Parameters
    ----------
    revision : int
        Newest operator change known at the sender.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ping.

    Parameters
    ----------
    revision : int
        Newest operator change known at the sender.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class PolicyAsk:
    """Asks for the policy in force at the other node.

    Parameters
    ----------
    above : int
        Version that the sender has already.
    """

    above: int


@dataclass(frozen=True, slots=True)
class PolicyDocument:
    """The policy in force at the sender.

    Parameters
    ----------
    document : bytes
        Text as operators wrote it.
    """

    document: bytes


@dataclass(frozen=True, slots=True)
class TokensWanted:
    """Asks for tokens of an organisation's rate.

    Parameters
    ----------
    organisation : str
        Organisation whose tokens are short.
    wanted : int
        Tokens that could be used soon.
    """

    organisation: str
    wanted: int


@dataclass(frozen=True, slots=True)
class TokensGiven:
    """Tokens that the sender has taken out of its own share.

    Parameters
    ----------
    organisation : str
        Organisation that they belong to.
    amount : int
        Tokens that the receiver may add to its own.
    """

    organisation: str
    amount: int


Frame: TypeAlias = (
    Hello
    | State
    | Call
    | Answered
    | NotRun
    | Lost
    | Cancel
    | FateAsk
    | Ping
    | Pong
    | PolicyAsk
    | PolicyDocument
    | TokensWanted
    | TokensGiven
)

_FRAME_TYPES: Final[tuple[type[Any], ...]] = (
    Hello,
    State,
    Call,
    Answered,
    NotRun,
    Lost,
    Cancel,
    FateAsk,
    Ping,
    Pong,
    PolicyAsk,
    PolicyDocument,
    TokensWanted,
    TokensGiven,
)
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
    """Bytes of a peer are no frame.

    Parameters
    ----------
    message : str
        What was expected and what was found.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.BAD_FRAME, message)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length in front.

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
    encoded = cbor2.dumps((_NUMBER_BY_TYPE[frame_type], *content))
    return _LENGTH.pack(len(encoded)) + encoded


def decode_frame(encoded: bytes) -> Frame:
    """Turn the bytes after a length into a frame.

    Raises
    ------
    FrameError
        The bytes are no frame that this version knows.
    """
    try:
        items = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(items, list) or not items:
        raise FrameError('expected an array with the type first')
    number = items[0]
    if not isinstance(number, int) or not 0 <= number < len(_FRAME_TYPES):
        raise FrameError(f'unknown frame type {number!r}')
    frame: Frame = _FRAME_TYPES[number](*_check_fields(number, items[1:]))
    return frame


class FrameSplitter:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are complete now.

        Raises
        ------
        FrameError
            The stream is not one of frames.
        """
        rest = self._rest + received if self._rest else received
        frames = []
        start = 0
        while len(rest) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(rest, start)[0]
            if length > MAX_FRAME_BYTES:
                raise FrameError(f'a frame of {length} bytes')
            end = start + _LENGTH.size + length
            if end > len(rest):
                break
            frames.append(decode_frame(rest[start + _LENGTH.size : end]))
            start = end
        self._rest = rest[start:]
        return frames


def _check_fields(number: int, content: list[Any]) -> list[Any]:
    types = _FIELD_TYPES[number]
    found = tuple(map(type, content))
    if found != types:
        names = ', '.join(kind.__name__ for kind in found)
        raise FrameError(f'frame type {number} with fields {names}')
    if list in types:
        return [_whole_numbers(numbers) for numbers in content]
    return content


def _whole_numbers(found: list[Any]) -> tuple[int, ...]:
    for number in found:
        if not isinstance(number, int):
            raise FrameError(f'expected a number, found {number!r}')
    return tuple(found)
