"""Messages, events and actions of token caches and holders.

A holder is a node that holds shares of organisations' rates and grants tokens
from them. A token cache stores granted tokens at the node that spends them.
"""

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
    """Number of spent and of returned tokens of one grant.

    The numbers are totals since the grant was made. Lost, repeated or late
    reports therefore cause no errors.

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
    """Request of a token cache for tokens of a holder (frame ``grant-ask``).

    Parameters
    ----------
    wallet : Incarnation
        Node that requests the tokens.
    number : int
        Sequence number, which increases by one with each request of the node.
        The number is 0 when the message carries only reports.
    organisation : str
        Organisation of the tokens.
    wanted : int
        Requested amount in millionths of a token; 0 when the message carries
        only reports.
    reports : tuple of GrantReport, default=()
        Reports on earlier grants of the same holder and organisation.
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
        Granted amount in millionths of a token. The amount is less than
        requested when the bucket of the holder has fewer tokens, and 0 when the
        holder has no share or no valid lease.
    term : float
        Seconds for which the tokens may be spent, counted from the sending of
        the request.
    """

    holder: Incarnation
    number: int
    organisation: str
    grant_id: int
    tokens: int
    term: float


class CommitOutcome(enum.StrEnum):
    """Result of a write by compare-and-set.

    The result is ``UNKNOWN`` when there was no reply. The write may then have
    taken effect.
    """

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class TokenRequestArrived:
    """A token request or usage report has reached this holder."""

    request: TokenRequest


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A grant has reached the token cache that requested tokens."""

    grant: TokenGrant


@dataclass(frozen=True, slots=True)
class ShareRowRead:
    """A share row was read from the table or came from another node."""

    row: ShareRow


@dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The write of ``CommitShares`` has ended, with or without a reply.

    Without a reply, the outcome is ``UNKNOWN``.
    """

    change: ShareChange
    outcome: CommitOutcome


@dataclass(frozen=True, slots=True)
class EligibleHoldersChanged:
    """Other nodes than before may hold shares of organisations' rates."""

    holders: EligibleHolders


@dataclass(frozen=True, slots=True)
class RateLimitsChanged:
    """A new sheet version, with the limits of organisations, is active."""

    organisation_by_name: Mapping[str, Organisation]


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease row of this holder was written, which extends its lease.

    Parameters
    ----------
    sent_at : float
        Seconds on this node's clock at which the write was sent.
    """

    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease row of this holder was deleted.

    The lease had expired, or operators have declared the holder gone. This
    holder must not grant any more tokens.
    """


@dataclass(frozen=True, slots=True)
class HolderGone:
    """A holder's lease row was deleted; its shares can be reclaimed.

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
    """Shares should now be moved to the nodes that are to hold them.

    The event is sent when the membership is stable or when this node is
    stopping.
    """


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
    """A waiting call needs no token: cancelled, or past its deadline."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer event for periodic work.

    The interval is a small part of the term of a grant.
    """


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to the node that requested the tokens."""

    requester: Incarnation
    grant: TokenGrant
    reason: str


@dataclass(frozen=True, slots=True)
class CommitShares:
    """Write a share row by compare-and-set, then send ``CommitAnswered``."""

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
    """Admit a waiting call; a token has been spent for the call."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class RefuseWaitingCall:
    """Refuse a waiting call, because no token could be obtained."""

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
