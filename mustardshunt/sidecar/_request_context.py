"""State of a request at its entry node, over all attempts to run it."""

from dataclasses import dataclass

from mustardshunt.base import Reason
from mustardshunt.policy import ActivePolicy, RoutePolicy
from mustardshunt.quarantine import Fingerprint
from mustardshunt.relay import Answered, HttpRequest
from mustardshunt.sidecar._ports import RequestMetadata
from mustardshunt.sidecar._refusals import RefusedError


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Properties of a request that are the same for all attempts.

    Parameters
    ----------
    request : HttpRequest
        The request as the caller sent it.
    metadata : RequestMetadata
        Values read from the headers of the request.
    route : RoutePolicy
        Policy of the route of the request.
    service : str
        Service to which the request is sent.
    organisation : str
        Organisation that the request belongs to, empty if there is none.
    priority_rank : int
        Rank of the priority of the request; rank 0 is most important.
    is_child_call : bool
        Whether a request that already runs makes this call.
    head : bytes
        Header lines that are passed on to the backend server.
    started_at : float
        Time at which the request arrived, in seconds.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    fingerprint : Fingerprint
        Digest that is the same for all repeats of the request.
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
    fingerprint: Fingerprint


@dataclass(slots=True)
class Progress:
    """Results of the attempts of one request so far.

    Parameters
    ----------
    tried : set of str
        Names of the members to which the request was sent.
    runs : int
        Number of attempts that have run or may have run.
    refusals : int
        Number of attempts that were refused and have not run.
    rejections : int
        Number of these that the backend server itself rejected.
    is_from_repeat : bool
        Whether the request counts as a child call of a repeated run.
    last_reason : Reason
        Why the last refused attempt has not run.
    last_answer : Answered or None
        Last answer with which a backend server reported a failure.
    member : str
        Name of the member of the last attempt.
    slowness : float
        Latency of the member of the last attempt divided by the latency of the
        other members, as known before the attempt.
    """

    tried: set[str]
    runs: int = 0
    refusals: int = 0
    rejections: int = 0
    is_from_repeat: bool = False
    last_reason: Reason = Reason.NO_BACKEND_SERVER
    last_answer: Answered | None = None
    member: str = ''
    slowness: float = 1.0


def find_organisation(
    route: RoutePolicy,
    metadata: RequestMetadata,
    active_policy: ActivePolicy,
) -> str:
    """Return the organisation to which the key of a request belongs.

    The result is empty on public routes and in policies without
    organisations, which need no key.

    Raises
    ------
    RefusedError
        The key is missing or belongs to no organisation.
    """
    policy = active_policy.policy
    if route.is_public or not policy.organisation_by_name:
        return ''
    organisation = policy.organisation_by_key.get(metadata.key or '')
    if organisation is None:
        raise RefusedError(Reason.UNKNOWN_KEY)
    return organisation


def priority_rank_of(
    route: RoutePolicy,
    organisation: str,
    active_policy: ActivePolicy,
) -> int:
    """Return the rank of a request's priority; rank 0 is most important.

    The priority of the organisation, if it has one, replaces the priority
    of the route.
    """
    priority = route.priority
    organisation_policy = active_policy.policy.organisation_by_name.get(
        organisation
    )
    if (
        organisation_policy is not None
        and organisation_policy.priority is not None
    ):
        priority = organisation_policy.priority
    return active_policy.priority_ranking.rank(priority)
