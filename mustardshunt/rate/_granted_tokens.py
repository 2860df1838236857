"""Granted tokens of one organisation in the token cache of a node.

A holder (a node that holds a share of the organisation's rate) grants the
tokens for a limited term.
"""

from collections.abc import Iterator

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import GrantReport, TokenGrant
from mustardshunt.rate._units import MICROTOKENS_PER_TOKEN


class ReceivedGrant:
    """Grant at the node that requested it; amounts in millionths of a token."""

    __slots__ = (
        'expires_at',
        'grant_id',
        'holder',
        'left',
        'reported',
        'return_at',
        'returned',
        'spent',
    )

    def __init__(self, grant: TokenGrant, sent_at: float) -> None:
        self.holder = grant.holder
        self.grant_id = grant.grant_id
        self.left = grant.tokens
        self.spent = 0
        self.returned = 0
        self.reported = 0
        # The term starts when this node sends the request, which is before the
        # holder makes the grant. The tokens therefore expire at this node
        # before they expire at the holder.
        self.expires_at = sent_at + grant.term
        self.return_at = sent_at + grant.term / 2

    def spend(self, tokens: int) -> None:
        """Record spent tokens; the amount must not exceed the tokens left."""
        self.left -= tokens
        self.spent += tokens

    def return_unspent(self) -> None:
        """Mark all unspent tokens as returned, so that they are reported."""
        self.returned += self.left
        self.left = 0

    def is_unreported(self) -> bool:
        """Tell whether spent or returned tokens have not been reported yet."""
        return self.spent + self.returned != self.reported


_NO_HOLDER = Incarnation('')
_NO_GRANT = ReceivedGrant(
    TokenGrant(_NO_HOLDER, 0, '', 0, 0, float(0)), float(0)
)


class GrantedTokens:
    """Grants of one organisation, spent in the order of their arrival.

    Fractions of a token from several holders can be spent together as one
    token. Tokens of holders whose part of the burst is below one token are
    therefore usable.
    """

    __slots__ = ('_grants', '_last_used_grant', 'spent_since_reset')

    def __init__(self) -> None:
        # Number of calls that got a token since the last measurement of the
        # demand.
        self.spent_since_reset = 0
        self._grants: list[ReceivedGrant] = []
        self._last_used_grant = _NO_GRANT

    def spend(self, now: float) -> bool:
        """Spend one token; return False if less than a valid token is left."""
        grant = self._last_used_grant
        if grant.left >= MICROTOKENS_PER_TOKEN and now < grant.expires_at:
            grant.left -= MICROTOKENS_PER_TOKEN
            grant.spent += MICROTOKENS_PER_TOKEN
            self.spent_since_reset += 1
            return True
        return self._spend_from_several(now)

    def add(self, grant: ReceivedGrant) -> None:
        """Add a new grant, to be spent after the existing grants."""
        self._grants.append(grant)

    def left(self, now: float) -> int:
        """Drop expired grants; return the tokens left, in millionths."""
        self._drop_expired(now)
        return sum(grant.left for grant in self._grants)

    def is_empty(self) -> bool:
        """Tell whether there is no grant with tokens to spend or to report."""
        return not self._grants

    def return_half_expired(self, now: float) -> None:
        """Mark unspent tokens of each grant as returned after half its term."""
        for grant in self._grants:
            if now >= grant.return_at:
                grant.return_unspent()

    def return_all(self) -> None:
        """Mark all unspent tokens as returned to their holders."""
        for grant in self._grants:
            grant.return_unspent()

    def unreported_holders(self) -> Iterator[Incarnation]:
        """Yield each holder with unreported spent or returned tokens."""
        yielded: set[Incarnation] = set()
        for grant in self._grants:
            if grant.is_unreported() and grant.holder not in yielded:
                yielded.add(grant.holder)
                yield grant.holder

    def take_reports(self, holder: Incarnation) -> tuple[GrantReport, ...]:
        """Return the reports for a holder and record that they were sent.

        Grants that are reported and have no tokens left are dropped.
        """
        reports = []
        for grant in self._grants:
            if grant.holder != holder or not grant.is_unreported():
                continue
            grant.reported = grant.spent + grant.returned
            reports.append(
                GrantReport(grant.grant_id, grant.spent, grant.returned),
            )
        self._grants = [
            kept for kept in self._grants if kept.left or kept.is_unreported()
        ]
        return tuple(reports)

    def _spend_from_several(self, now: float) -> bool:
        if self.left(now) < MICROTOKENS_PER_TOKEN:
            return False
        lacking = MICROTOKENS_PER_TOKEN
        for grant in self._grants:
            part = min(lacking, grant.left)
            grant.spend(part)
            lacking -= part
            self._last_used_grant = grant
            if not lacking:
                break
        self.spent_since_reset += 1
        return True

    def _drop_expired(self, now: float) -> None:
        if any(now >= grant.expires_at for grant in self._grants):
            self._grants = [
                grant for grant in self._grants if now < grant.expires_at
            ]
