"""Calls to the backend server, and their outcomes."""

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from mustardshunt.relay._answer_parser import AnswerHead
from mustardshunt.relay._body_upload import LargeRequest
from mustardshunt.relay._messages import RawHeaders


class FailureKind(enum.StrEnum):
    """Why a call got no answer from the backend server."""

    REFUSED = 'refused'
    LOST = 'lost'
    INVALID = 'invalid'
    CANCELLED = 'cancelled'
    NO_MEMORY = 'no-memory'


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Complete HTTP response of the backend server to a call.

    Parameters
    ----------
    status : int
        HTTP status code.
    raw_headers : tuple of (bytes, bytes)
        Header names and values as received.
    body : bytes
        Complete body.
    """

    status: int
    raw_headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """Describes why a call got no answer from the backend server.

    Parameters
    ----------
    kind : FailureKind
        Why there is no answer.
    has_begun : bool
        Whether any byte of the request may have reached the backend server.
    """

    kind: FailureKind
    has_begun: bool


BackendOutcome: TypeAlias = BackendAnswer | BackendFailure


class BackendJob(Protocol):
    """An admitted call that is to be sent to the backend server."""

    @property
    def expects_body(self) -> bool:
        """Whether the answer may have a body; False for the method ``HEAD``."""
        ...

    def render(self) -> bytes | LargeRequest:
        """Return the HTTP/1.1 request: head and body."""
        ...

    def matches(self, head: AnswerHead) -> bool:
        """Return whether an answer belongs to this call.

        On a reused connection, a late answer may belong to an earlier call.
        """
        ...

    def finish(self, outcome: BackendOutcome) -> None:
        """Report the outcome of the call; the pool does this exactly once."""
        ...
