"""Events, questions and answers of the router."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import (
    Effect,
    Importance,
    Incarnation,
    MemberRecord,
    Reason,
    VmAddress,
)


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """A call that needs a target.

    Parameters
    ----------
    service : str
        Service that answers the call's route.
    importance : Importance
        Importance of the call.
    excluded : frozenset of Incarnation, default=frozenset()
        Members that this call has tried already.
    route : str, default=''
        Route of the call, whose acceptance level counts.
    is_own_full : bool, default=False
        Whether the call would have to wait at the own backend server, which
        is then preferred no more than its neighbours.
    """

    service: str
    importance: Importance
    excluded: frozenset[Incarnation] = frozenset()
    route: str = ''
    is_own_full: bool = False


@dataclass(frozen=True, slots=True)
class Target:
    """Member to which a call goes.

    Parameters
    ----------
    incarnation : Incarnation
        Member.
    address : VmAddress
        Where its node listens.
    is_own : bool
        Whether it is this node's own backend server.
    is_probe : bool
        Whether the call is let through to learn a new acceptance level.
    """

    incarnation: Incarnation
    address: VmAddress
    is_own: bool
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class MemberUpdated:
    """A member's record has changed.

    Parameters
    ----------
    record : MemberRecord
        New record; state ``GONE`` removes the member.
    """

    record: MemberRecord


@dataclass(frozen=True, slots=True)
class EvacuatedDataCentresChanged:
    """The set of data centres out of service has changed.

    Parameters
    ----------
    names : frozenset of str
        All data centres that are out.
    """

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class CallStarted:
    """A call has been sent to a member.

    Parameters
    ----------
    incarnation : Incarnation
        Member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has its result.

    Parameters
    ----------
    incarnation : Incarnation
        Member.
    shedding_threshold : int or None, default=None
        Lowest importance that the member's gate accepts; one above the
        highest importance when it accepts none. None when not stated.
    refusal : Reason or None, default=None
        Why the member refused the call.
    route : str, default=''
        Route of the call, for which the level holds.
    """

    incarnation: Incarnation
    shedding_threshold: int | None = None
    refusal: Reason | None = None
    route: str = ''


@dataclass(frozen=True, slots=True)
class MemberUnreachable:
    """The call link to a member does not answer.

    Parameters
    ----------
    incarnation : Incarnation
        Member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class MemberReachable:
    """The call link to a member answers again.

    Parameters
    ----------
    incarnation : Incarnation
        Member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that failed, with what a decision on a retry needs.

    Parameters
    ----------
    call : RoutingRequest
        The call; ``excluded`` holds all members tried, the failed one included.
    reason : Reason
        Why it failed.
    effect : Effect
        Whether it ran.
    idempotent : bool
        Whether the call may run more than once.
    retries_left : int
        What remains of the retry budget at this hop.
    is_within_retry_ratio : bool
        Whether the node's share of retries allows one more.
    failed_deeper : bool
        Whether the failure comes from deeper in the chain.
    deadline : float
        Time after which nobody waits, in seconds.
    """

    call: RoutingRequest
    reason: Reason
    effect: Effect
    idempotent: bool
    retries_left: int
    is_within_retry_ratio: bool
    failed_deeper: bool
    deadline: float


class RetryRule(enum.StrEnum):
    """Rule that decided on a retry; the same word in metrics."""

    RETRY = 'retry'
    REROUTE = 'reroute'
    NOT_RETRIABLE = 'not-retriable'
    FAILED_DEEPER = 'failed-deeper'
    MAY_HAVE_RUN = 'may-have-run'
    NO_BUDGET = 'no-budget'
    NO_RATIO = 'no-ratio'
    TOO_LATE = 'too-late'
    NO_OTHER_MEMBER = 'no-other-member'


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a failed attempt may be followed by another.

    Parameters
    ----------
    rule : RetryRule
        Rule that decided.
    """

    rule: RetryRule

    @property
    def is_allowed(self) -> bool:
        """Whether another attempt may be sent."""
        return self.rule in {RetryRule.RETRY, RetryRule.REROUTE}

    @property
    def spends_budget(self) -> bool:
        """Whether it spends from the budget and from the ratio."""
        return self.rule is RetryRule.RETRY


RoutingEvent: TypeAlias = (
    MemberUpdated
    | EvacuatedDataCentresChanged
    | CallStarted
    | CallEnded
    | MemberUnreachable
    | MemberReachable
)
