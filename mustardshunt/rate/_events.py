"""Messages, events and actions of token caches and holders."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from mustardshunt.base import Incarnation, Refusal
from mustardshunt.rate._rows import ShareChange, ShareRow
from mustardshunt.rate._share_rules import EligibleHolders
from mustardshunt.sheet import Organisation


@dataclass(frozen=True, slots=True)
class GrantReport:
    """Tokens of a grant that were spent and returned since it was made.

    The report has totals instead of differences, so that lost, repeated and
    late reports cause no errors.

    Parameters
    ----------
    grant_id : int
        Number of the grant at its holder.
    spent, returned : int
        Totals in millionths of a token.
    """

    grant_id: int
    spent: int
    returned: int


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request of a token cache to a holder (frame ``grant-ask``).

    Parameters
    ----------
    wallet : Incarnation
        Node that requests the tokens.
    number : int
        Sequence number, which increases by one with each request of the node.
        It is 0 when the message only carries reports.
    organisation : str
        Organisation of the tokens.
    wanted : int
        Requested amount in millionths of a token; 0 with reports only.
    reports : tuple of GrantReport, default=()
        Reports on earlier grants of the holder for the organisation.
    """

    wallet: Incarnation
    number: int
    organisation: str
    wanted: int
    reports: tuple[GrantReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Reply of a holder to a token request (frame ``grant``).

    Parameters
    ----------
    holder : Incarnation
        Node that grants the tokens.
    number : int
        Number of the token request.
    organisation : str
        Organisation of the tokens.
    grant_id : int
        Number of the grant at the holder.
    tokens : int
        Granted amount in millionths of a token. Less than requested when the
        holder's bucket does not have enough.
    term : float
        Seconds for which the tokens may be spent, from the moment at which
        the request was sent.
    """

    holder: Incarnation
    number: int
    organisation: str
    grant_id: int
    tokens: int
    term: float


class CommitOutcome(enum.StrEnum):
    """Result of a compare-and-set; unknown when there was no reply."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class TokenRequestArrived:
    """A token request or usage report has reached the holder."""

    request: TokenRequest


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A grant has reached the token cache."""

    grant: TokenGrant


@dataclass(frozen=True, slots=True)
class ShareRowRead:
    """A share row was read from the table or came from another node."""

    row: ShareRow


@dataclass(frozen=True, slots=True)
class CommitAnswered:
    """``CommitShares`` has ended; without a reply, its outcome is unknown."""

    change: ShareChange
    outcome: CommitOutcome


@dataclass(frozen=True, slots=True)
class EligibleHoldersChanged:
    """The set of nodes that may hold shares has changed."""

    holders: EligibleHolders


@dataclass(frozen=True, slots=True)
class RateLimitsChanged:
    """A sheet with new rates and bursts is active on this node."""

    organisation_by_name: Mapping[str, Organisation]


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease row of this holder was written.

    Parameters
    ----------
    sent_at : float
        Seconds on this node's clock at which the write was sent.
    """

    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease row of this holder was deleted.

    Its lease had expired, or the holder was declared gone.
    """


@dataclass(frozen=True, slots=True)
class HolderGone:
    """The lease row of a holder was deleted, so its shares can be reclaimed.

    Parameters
    ----------
    holder : Incarnation
        Holder that can no longer renew its lease.
    successor : Incarnation, optional
        Node that has restarted in the same VM.
    """

    holder: Incarnation
    successor: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class RebalanceDue:
    """Shares may be handed over, as membership is stable or this node stops."""


@dataclass(frozen=True, slots=True)
class CallWaiting:
    """A call found no token in the token cache and waits for one.

    Parameters
    ----------
    organisation : str
        Organisation of the call.
    ticket : int
        Number of the waiting call.
    """

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class WaitingCallCancelled:
    """A waiting call was cancelled or its deadline has passed."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer event, which is sent several times within the term of a grant."""


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to the node that requested it."""

    requester: Incarnation
    grant: TokenGrant
    reason: str


@dataclass(frozen=True, slots=True)
class CommitShares:
    """Write a change by compare-and-set, then send ``CommitAnswered``."""

    change: ShareChange


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the share row of a partition, then send ``ShareRowRead``."""

    partition: int


@dataclass(frozen=True, slots=True)
class SendTokenRequest:
    """Send a token request or usage report to a holder."""

    holder: Incarnation
    request: TokenRequest
    reason: str


@dataclass(frozen=True, slots=True)
class AdmitWaitingCall:
    """Admit a waiting call, for which a token was spent."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class RefuseWaitingCall:
    """Refuse a waiting call, because no token is available."""

    organisation: str
    ticket: int
    refusal: Refusal


HolderEvent: TypeAlias = (
    TokenRequestArrived
    | ShareRowRead
    | CommitAnswered
    | EligibleHoldersChanged
    | RateLimitsChanged
    | LeaseRenewed
    | LeaseLost
    | HolderGone
    | RebalanceDue
    | Tick
)
HolderAction: TypeAlias = SendGrant | CommitShares | ReadRow
TokenCacheEvent: TypeAlias = (
    GrantArrived
    | CallWaiting
    | WaitingCallCancelled
    | ShareRowRead
    | EligibleHoldersChanged
    | RateLimitsChanged
    | Tick
)
TokenCacheAction: TypeAlias = (
    SendTokenRequest | AdmitWaitingCall | RefuseWaitingCall
)
