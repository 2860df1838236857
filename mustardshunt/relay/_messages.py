"""HTTP requests and replies as the relay passes them on."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

RawHeaders: TypeAlias = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only, and those that the relay sets.
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
# Names of headers whose lower case is kept.
NAMES_KEPT: Final = 512
STATUS_WITHOUT_BODY: Final = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request of a caller.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as sent.
    raw_headers : tuple of (bytes, bytes)
        Headers as sent.
    headers : mapping of str to str
        The same by name, whatever the case.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    raw_headers: RawHeaders
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole reply to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    head : bytes
        Header lines, each with its line end, without those that concern
        the connection or the length.
    body : bytes
        Whole body.
    """

    status: int
    head: bytes
    body: bytes


class RequestHandler(Protocol):
    """Answers the requests of callers."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the reply; cancelled when the caller goes away."""
        ...


@functools.lru_cache(maxsize=NAMES_KEPT)
def lower_name(name: bytes) -> bytes:
    """Return the name of a header in lower case; names recur all the time."""
    return name.lower()


def render_headers(raw_headers: RawHeaders, dropped: frozenset[bytes]) -> bytes:
    r"""Return header lines without those that are not passed on.

    Parameters
    ----------
    raw_headers : tuple of (bytes, bytes)
        Headers as received.
    dropped : frozenset of bytes
        Names in lower case; those that ``Connection`` lists are added.

    Examples
    --------
    >>> headers = ((b'A', b'1'), (b'Connection', b'B'), (b'b', b'2'))
    >>> render_headers(headers, HOP_BY_HOP_HEADERS)
    b'A: 1\r\n'
    """
    for name, text in raw_headers:
        if lower_name(name) == b'connection':
            dropped |= _listed_names(text)
    return b''.join([
        b'%b: %b\r\n' % header
        for header in raw_headers
        if lower_name(header[0]) not in dropped
    ])


def _listed_names(text: bytes) -> frozenset[bytes]:
    names = {part.strip().lower() for part in text.split(b',')}
    return frozenset(names - {b'close', b'keep-alive', b''})
