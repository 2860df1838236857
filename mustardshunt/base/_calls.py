"""Calls, their context and their answers."""

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from mustardshunt.base._identifiers import Incarnation
from mustardshunt.base._importance import Importance

# Longest chain of calls that one request may cause.
MAX_DEPTH = 7
# Backend calls beyond the first attempts that one request may cause in all.
MAX_RETRIES_PER_REQUEST = 2
# Child calls that one call may make, so that a faulty loop is bounded.
MAX_CHILD_CALLS = 16

Headers: TypeAlias = tuple[tuple[str, str], ...]


class CallId(NamedTuple):
    """Identity of a call: who sent it and its number there.

    Numbers rise by one for each call that a node sends, so that the receiver
    can forget old ones and still know a late duplicate.
    """

    sender: Incarnation
    number: int

    def __str__(self) -> str:
        return f'{self.sender}-{self.number}'


@dataclass(frozen=True, slots=True)
class CallRequest:
    """What is sent to the backend server.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path and query.
    headers : tuple of (str, str)
        End-to-end headers; never the caller's key.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """What the backend server answered.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class CallContext:
    """What travels with a call down the chain.

    Parameters
    ----------
    call_id : CallId
        Identity of this call.
    root_id : CallId
        Identity of the caller's request that started the chain.
    organisation : str
        Organisation whose key came with the request.
    importance : Importance
        Importance of the route at which the request entered.
    route : str
        Name of the route that this call takes.
    idempotent : bool
        Whether the call may run more than once.
    depth : int
        1 for the caller's own request.
    retries_left : int
        Retries that this call and its children may still spend.
    deadline : float
        Time on this node's clock after which nobody waits, in seconds.
    """

    call_id: CallId
    root_id: CallId
    organisation: str
    importance: Importance
    route: str
    idempotent: bool
    depth: int
    retries_left: int
    deadline: float
