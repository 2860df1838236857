"""Messages between nodes."""

from dataclasses import dataclass
from typing import TypeAlias


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
class BackendServerStatusUpdate:
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
    own_cutoff : float
        The same as ``cutoff`` for calls that need no other service.
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
    own_cutoff: float
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
    route : str
        Name of its route.
    request_id : str
        Identity that the caller gave.
    remaining_ms : int
        Milliseconds until nobody waits for the answer.
    max_queue_wait_ms : int
        Milliseconds for which it may wait for a slot.
    priority_rank : int
        Position of its rank.
    is_child_call : bool
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
    route: str
    request_id: str
    remaining_ms: int
    max_queue_wait_ms: int
    priority_rank: int
    is_child_call: bool
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
    is_dependent : bool
        Whether calls of its route need other services.
    """

    number: int
    status: int
    head: bytes
    body: bytes
    in_flight: int
    cutoff_percent: int
    is_dependent: bool


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
class AnswerLost:
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
class CallStatusRequest:
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
class PolicyRequest:
    """Asks for the policy in force at the other node.

    Parameters
    ----------
    newer_than : int
        Version that the sender has already.
    """

    newer_than: int


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
class TokenRequestFrame:
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
class TokenGrantFrame:
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
    | BackendServerStatusUpdate
    | Call
    | Answered
    | NotRun
    | AnswerLost
    | Cancel
    | CallStatusRequest
    | Ping
    | Pong
    | PolicyRequest
    | PolicyDocument
    | TokenRequestFrame
    | TokenGrantFrame
)
