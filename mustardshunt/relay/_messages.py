"""HTTP requests and responses that a node receives and passes on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Protocol, TypeAlias, TypeVar

from mustardshunt.relay._large_body import LargeBody

RawHeaders: TypeAlias = tuple[tuple[bytes, bytes], ...]
NameT = TypeVar('NameT')

# Headers that apply to one connection only, and headers that the node sets.
HOP_BY_HOP_HEADERS: Final = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
    b'content-length',
    b'expect',
))
# Largest number of header names whose lower-case form is cached.
NAME_CACHE_SIZE: Final = 512
MAX_CACHED_NAME_BYTES: Final = 64
STATUS_WITHOUT_BODY: Final = frozenset((204, 304))
# Memory of each piece of a body besides its bytes. A body in tiny chunks takes
# many times its length.
PIECE_OVERHEAD_BYTES: Final = 64
NO_HEADERS: Final[Mapping[str, str]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete HTTP request of a caller.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as received.
    raw_headers : tuple of (bytes, bytes)
        Header names and values as received.
    headers : mapping of str to str
        Header values by lower-case name, the first one of each name.
    body : bytes
        Complete body, empty if there is a large one.
    received_at : float, default=0.0
        Time in seconds at which the last byte of the request arrived. The
        caller has waited since then, also while earlier requests on the same
        connection were served.
    large_body : LargeBody or None, default=None
        Complete body that is kept beside the memory account, None for other
        bodies.
    """

    method: str
    target: str
    raw_headers: RawHeaders
    headers: Mapping[str, str]
    body: bytes
    received_at: float = 0.0
    large_body: LargeBody | None = None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete HTTP response to a caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    head : bytes
        Header lines, each with a line end. Headers that apply to the
        connection, and headers that state the length, are left out.
    body : bytes
        Complete body.
    """

    status: int
    head: bytes
    body: bytes


class RequestHandler(Protocol):
    """Handles the requests that callers send to the node."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request.

        The server cancels this method when the caller disconnects.
        """
        ...

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Tell whether the effect of a request stays the same if it runs twice.

        Such a request may be handled while earlier requests on the same
        connection are still being handled.
        """
        ...


def _decode_lower(name: bytes) -> str:
    return name.lower().decode('latin-1')


class _NameCache(dict[bytes, NameT]):  # ruff: ignore[subclass-builtin]
    """Forms of header names, made once for each short name.

    A ``UserDict`` would look up each header of each request in Python. Only few
    different names occur. Long ones are not kept, since callers choose
    them: 512 names of 16 KB would take 16 MB as bytes and as much as text.

    Parameters
    ----------
    convert : callable
        Returns the form of a name.
    """

    def __init__(self, convert: Callable[[bytes], NameT]) -> None:
        super().__init__()
        self._convert = convert

    def __missing__(self, name: bytes) -> NameT:
        form = self._convert(name)
        if len(name) <= MAX_CACHED_NAME_BYTES:
            if len(self) >= NAME_CACHE_SIZE:
                self.clear()
            self[name] = form
        return form


_lower_name_cache: Final = _NameCache(bytes.lower)
_name_text_cache: Final = _NameCache(_decode_lower)
# Returns a header name in lower case.
lower_name: Final[Callable[[bytes], bytes]] = _lower_name_cache.__getitem__


def render_headers(raw_headers: RawHeaders, dropped: frozenset[bytes]) -> bytes:
    r"""Return the header lines that are passed on.

    Parameters
    ----------
    raw_headers : tuple of (bytes, bytes)
        Header names and values as received.
    dropped : frozenset of bytes
        Lower-case names of headers to leave out. Headers that are listed in a
        ``Connection`` header are left out too.

    Examples
    --------
    >>> headers = ((b'A', b'1'), (b'Connection', b'B'), (b'b', b'2'))
    >>> render_headers(headers, HOP_BY_HOP_HEADERS)
    b'A: 1\r\n'
    """
    for name, value in raw_headers:
        if lower_name(name) == b'connection':
            dropped |= _parse_connection_header(value)
    return b''.join([
        b'%b: %b\r\n' % header
        for header in raw_headers
        if lower_name(header[0]) not in dropped
    ])


def _parse_connection_header(value: bytes) -> frozenset[bytes]:
    names = {part.strip().lower() for part in value.split(b',')}
    return frozenset(names - {b'close', b'keep-alive', b''})


def index_headers(raw_headers: RawHeaders) -> Mapping[str, str]:
    """Return the headers by lower-case name, the first one of each name.

    Examples
    --------
    >>> dict(index_headers(((b'A', b'1'), (b'a', b'2'))))
    {'a': '1'}
    """
    if not raw_headers:
        return NO_HEADERS
    text_by_name: dict[str, str] = {}
    for name, text in raw_headers:
        text_by_name.setdefault(
            _name_text_cache[name], text.decode('utf-8', 'surrogateescape')
        )
    return text_by_name
