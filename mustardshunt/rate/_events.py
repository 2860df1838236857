"""Messages between wallets and holders, events and actions of both."""

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
    """What became of a grant, as totals since it was made.

    Totals instead of differences make a lost, repeated or late report
    harmless.

    Parameters
    ----------
    grant_id : int
        Number of the grant at its holder.
    spent, returned : int
        Millionths of a token.
    """

    grant_id: int
    spent: int
    returned: int


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """A wallet asks a holder for tokens (frame ``grant-ask``).

    Parameters
    ----------
    wallet : Incarnation
        Node that asks.
    number : int
        Rises by one for each ask of the wallet; 0 for a report only.
    organisation : str
        Organisation whose tokens are meant.
    wanted : int
        Millionths of a token; 0 for a report only.
    reports : tuple of GrantReport
        Earlier grants of the same holder and organisation.
    """

    wallet: Incarnation
    number: int
    organisation: str
    wanted: int
    reports: tuple[GrantReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """A holder's answer to an ask (frame ``grant``).

    Parameters
    ----------
    holder : Incarnation
        Node that grants.
    number : int
        Number of the ask.
    organisation : str
        Organisation whose tokens are meant.
    grant_id : int
        Number of the grant at the holder.
    tokens : int
        Millionths of a token; fewer than wanted when the holder is dry.
    term : float
        Seconds from when the ask was sent.
    """

    holder: Incarnation
    number: int
    organisation: str
    grant_id: int
    tokens: int
    term: float


class CommitOutcome(enum.StrEnum):
    """Result of a compare-and-set as far as it is known."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class TokenRequestArrived:
    """A wallet's ask or report reached the holder."""

    request: TokenRequest


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A holder's grant reached the wallet."""

    grant: TokenGrant


@dataclass(frozen=True, slots=True)
class ShareRowRead:
    """A row of the share table was read."""

    row: ShareRow


@dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The result of ``CommitShares`` is known, or known to be lost."""

    change: ShareChange
    outcome: CommitOutcome


@dataclass(frozen=True, slots=True)
class EligibleHoldersChanged:
    """The nodes that may hold shares changed."""

    holders: EligibleHolders


@dataclass(frozen=True, slots=True)
class RateLimitsChanged:
    """A new sheet is in force on this node."""

    organisation_by_name: Mapping[str, Organisation]


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease row was written; ``sent_at`` is when the write was sent."""

    sent_at: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease row is deleted: the holder was reclaimed or declared gone."""


@dataclass(frozen=True, slots=True)
class HolderGone:
    """A holder's lease row is deleted, so that its shares can be moved.

    Parameters
    ----------
    holder : Incarnation
        The holder that cannot renew any more.
    successor : Incarnation, optional
        Node that restarted in the same VM.
    """

    holder: Incarnation
    successor: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class RebalanceDue:
    """Shares may be given away now: the fleet was stable, or this stops."""


@dataclass(frozen=True, slots=True)
class CallWaiting:
    """A call found no token in the wallet; ``ticket`` names it."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class WaitingCallCancelled:
    """The caller of a waiting call went away."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; due several times per term."""


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Send a grant to a wallet."""

    requester: Incarnation
    grant: TokenGrant
    reason: str


@dataclass(frozen=True, slots=True)
class CommitShares:
    """Write a change by compare-and-set; answer with ``CommitAnswered``."""

    change: ShareChange


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read a partition's row; answer with ``ShareRowRead``."""

    partition: int


@dataclass(frozen=True, slots=True)
class SendTokenRequest:
    """Send an ask or report to a holder."""

    holder: Incarnation
    request: TokenRequest
    reason: str


@dataclass(frozen=True, slots=True)
class AdmitWaitingCall:
    """A waiting call got its token."""

    organisation: str
    ticket: int


@dataclass(frozen=True, slots=True)
class RefuseWaitingCall:
    """A waiting call gets no token."""

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
