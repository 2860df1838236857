"""Events that the router handles, its requests and its decisions."""

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
    """A call for which the router is to choose a member.

    Parameters
    ----------
    service : str
        Service that serves the call's route.
    importance : Importance
        Importance of the call.
    excluded : frozenset of Incarnation, default=frozenset()
        Members to which this call has been sent already.
    route : str, default=''
        Route of the call. Shedding thresholds are kept by route.
    is_own_full : bool, default=False
        Whether the call would have to wait at this node's own backend server.
        If so, that backend server is not preferred to the other members in the
        data centre.
    """

    service: str
    importance: Importance
    excluded: frozenset[Incarnation] = frozenset()
    route: str = ''
    is_own_full: bool = False


@dataclass(frozen=True, slots=True)
class Target:
    """Member to which a call is sent.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the member.
    address : VmAddress
        Address at which the member's node listens.
    is_own : bool
        Whether the member is this node's own backend server.
    is_probe : bool
        Whether the call is a probe: it is sent although its importance is below
        the last known shedding threshold. The answer brings the present
        threshold.
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
        All data centres that are out of service.
    """

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class CallStarted:
    """A call has been sent to a member.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has ended with an answer, a refusal or a failure.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the member.
    shedding_threshold : int or None, default=None
        Lowest importance that the gate of the member accepts. The value 4, one
        above the highest importance, means that the gate accepts no call. None
        when the member has not reported a threshold.
    refusal : Reason or None, default=None
        Why the member refused the call; None when the member did not refuse the
        call.
    route : str, default=''
        Route of the call, to which the threshold applies.
    """

    incarnation: Incarnation
    shedding_threshold: int | None = None
    refusal: Reason | None = None
    route: str = ''


@dataclass(frozen=True, slots=True)
class MemberUnreachable:
    """The connection to a member no longer answers.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class MemberReachable:
    """The connection to a member answers again.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the member.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt, with the figures that decide on a retry.

    Parameters
    ----------
    call : RoutingRequest
        The call. Its ``excluded`` set holds all members that were tried,
        including the member that failed.
    reason : Reason
        Why the attempt failed.
    effect : Effect
        Whether the attempt ran at the backend server.
    idempotent : bool
        Whether the call may run more than once.
    retries_left : int
        Retries that remain in the retry budget of this hop.
    is_within_retry_ratio : bool
        Whether the node's retry throttle allows another retry.
    failed_deeper : bool
        Whether the cause of the failure is a failed child call.
    deadline : float
        Time after which the caller no longer waits, in seconds.
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
    """Rule that decided on a retry; metrics use the same values."""

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
    """Decision on whether a failed attempt is followed by another attempt.

    Parameters
    ----------
    rule : RetryRule
        First rule that applied.
    """

    rule: RetryRule

    @property
    def is_allowed(self) -> bool:
        """Whether another attempt may be sent."""
        return self.rule in {RetryRule.RETRY, RetryRule.REROUTE}

    @property
    def spends_budget(self) -> bool:
        """Whether the retry is charged.

        A charged retry counts against the hop retry budget of the request and
        against the retry throttle of the node.
        """
        return self.rule is RetryRule.RETRY


RoutingEvent: TypeAlias = (
    MemberUpdated
    | EvacuatedDataCentresChanged
    | CallStarted
    | CallEnded
    | MemberUnreachable
    | MemberReachable
)
