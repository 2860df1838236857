"""Calls, their context, and the responses of backend servers."""

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from mustardshunt.base._identifiers import Incarnation
from mustardshunt.base._importance import Importance

# Most nested calls in a chain, including the request that started the chain.
MAX_DEPTH = 7
# Most retries of a request and of all its child calls together.
MAX_RETRIES_PER_REQUEST = 2
# Most child calls that one call may make. A faulty service may call other
# services in a loop; the limit stops such a loop.
MAX_CHILD_CALLS = 16

Headers: TypeAlias = tuple[tuple[str, str], ...]


class CallId(NamedTuple):
    """Identity of a call: the node that sent it and its number at that node.

    The number rises by one for each call that a node sends. A receiver can
    therefore delete its records of old calls. When a late duplicate of an old
    call arrives, the receiver still recognises the duplicate by its low number.
    """

    sender: Incarnation
    number: int

    def __str__(self) -> str:
        return f'{self.sender}-{self.number}'


@dataclass(frozen=True, slots=True)
class CallRequest:
    """HTTP request that a node sends to its backend server.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path and query.
    headers : tuple of (str, str)
        End-to-end headers, without the caller's API key.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP response that a node receives from its backend server.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class CallContext:
    """Metadata of a call, which nodes pass on together with the call.

    Parameters
    ----------
    call_id : CallId
        Identity of this call.
    root_id : CallId
        Identity of the caller's request that started the chain.
    organisation : str
        Organisation whose API key came with the caller's request.
    importance : Importance
        Importance of the route of the caller's request.
    route : str
        Name of the route that this call takes.
    idempotent : bool
        Whether the call may run more than once.
    depth : int
        Depth in the chain of calls, 1 for the caller's own request.
    retries_left : int
        Retries that are left for this call and its child calls together.
    deadline : float
        Time on this node's clock after which the caller no longer waits for
        the response, in seconds.
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
