"""One request on its way through its attempts."""

from dataclasses import dataclass

from mustardshunt.base import Reason
from mustardshunt.policy import ActivePolicy, RoutePolicy
from mustardshunt.relay import Answered, HttpRequest
from mustardshunt.sidecar._ports import RequestMetadata
from mustardshunt.sidecar._refusals import RefusedError


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What stays the same over all attempts of one request.

    Parameters
    ----------
    request : HttpRequest
        The request.
    metadata : RequestMetadata
        What its headers say.
    route : RoutePolicy
        Its route.
    service : str
        Service that is to run it.
    organisation : str
        Organisation for which it runs, empty if there is none.
    priority_rank : int
        Position of its rank.
    is_child_call : bool
        Whether a request that already runs needs it.
    head : bytes
        Header lines that are passed on.
    started_at : float
        When it came, in seconds.
    deadline : float
        When nobody waits any more.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: RoutePolicy
    service: str
    organisation: str
    priority_rank: int
    is_child_call: bool
    head: bytes
    started_at: float
    deadline: float


@dataclass(slots=True)
class Progress:
    """What the attempts of one request have come to.

    Parameters
    ----------
    tried : set of str
        Names of the members that were tried.
    runs : int
        Attempts that have run or may have run.
    refusals : int
        Attempts that have not run.
    last_reason : Reason
        Why the last of these has not.
    last_answer : Answered or None
        Failure that a backend server has answered last.
    member : str
        Name of the member that was tried last.
    slowness : float
        Its latency relative to the other members, before this attempt.
    """

    tried: set[str]
    runs: int = 0
    refusals: int = 0
    last_reason: Reason = Reason.NO_BACKEND_SERVER
    last_answer: Answered | None = None
    member: str = ''
    slowness: float = 1.0


def find_organisation(
    route: RoutePolicy,
    metadata: RequestMetadata,
    in_force: ActivePolicy,
) -> str:
    """Return the organisation whose key came with a request.

    Raises
    ------
    RefusedError
        The key is unknown.
    """
    policy = in_force.policy
    if route.is_public or not policy.organisation_by_name:
        return ''
    organisation = policy.organisation_by_key.get(metadata.key or '')
    if organisation is None:
        raise RefusedError(Reason.UNKNOWN_KEY)
    return organisation


def priority_rank_of(
    route: RoutePolicy,
    organisation: str,
    in_force: ActivePolicy,
) -> int:
    """Return the position of a request's rank."""
    rank = route.priority
    known = in_force.policy.organisation_by_name.get(organisation)
    if known is not None and known.priority is not None:
        rank = known.priority
    return in_force.priority_ranking.rank(rank)
