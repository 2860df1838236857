"""Granted tokens of one organisation in a token cache."""

from collections.abc import Iterator

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import GrantReport, TokenGrant
from mustardshunt.rate._units import MICROTOKENS_PER_TOKEN


class ReceivedGrant:
    """Grant as stored by its requester; amounts in millionths of a token."""

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
        # The term starts when this node sent the request, before the holder
        # made the grant. The tokens therefore expire here before they expire at
        # the holder.
        self.expires_at = sent_at + grant.term
        self.return_at = sent_at + grant.term / 2

    def spend(self, tokens: int) -> None:
        """Spend tokens, at most those that are left."""
        self.left -= tokens
        self.spent += tokens

    def return_unspent(self) -> None:
        """Mark all unspent tokens as returned to the holder."""
        self.returned += self.left
        self.left = 0

    def is_unreported(self) -> bool:
        """Tell whether spent or returned tokens are not reported yet."""
        return self.spent + self.returned != self.reported


_NO_HOLDER = Incarnation('')
_NO_GRANT = ReceivedGrant(
    TokenGrant(_NO_HOLDER, 0, '', 0, 0, float(0)), float(0)
)


class GrantedTokens:
    """Grants of one organisation, spent in the order of their arrival.

    Fractions of a token from several holders are spent together, so that
    holders whose part of the burst is below one token still serve calls.
    """

    __slots__ = ('_grants', '_last_used_grant', 'spent_since_reset')

    def __init__(self) -> None:
        # Number of calls that got a token since the demand was last measured.
        self.spent_since_reset = 0
        self._grants: list[ReceivedGrant] = []
        self._last_used_grant = _NO_GRANT

    def spend(self, now: float) -> bool:
        """Spend one token; return False if no whole, valid token is left."""
        grant = self._last_used_grant
        if grant.left >= MICROTOKENS_PER_TOKEN and now < grant.expires_at:
            grant.left -= MICROTOKENS_PER_TOKEN
            grant.spent += MICROTOKENS_PER_TOKEN
            self.spent_since_reset += 1
            return True
        return self._spend_from_several(now)

    def add(self, grant: ReceivedGrant) -> None:
        """Add a new grant after the existing ones."""
        self._grants.append(grant)

    def left(self, now: float) -> int:
        """Return the amount that can be spent, in millionths of a token."""
        self._drop_expired(now)
        return sum(grant.left for grant in self._grants)

    def is_empty(self) -> bool:
        """Tell whether no grant is left to be spent or reported."""
        return not self._grants

    def return_half_expired(self, now: float) -> None:
        """Return the unspent tokens of each grant after half its term."""
        for grant in self._grants:
            if now >= grant.return_at:
                grant.return_unspent()

    def return_all(self) -> None:
        """Return all unspent tokens to their holders."""
        for grant in self._grants:
            grant.return_unspent()

    def unreported_holders(self) -> Iterator[Incarnation]:
        """Yield each holder that lacks a report on tokens spent or returned."""
        yielded: set[Incarnation] = set()
        for grant in self._grants:
            if grant.is_unreported() and grant.holder not in yielded:
                yielded.add(grant.holder)
                yield grant.holder

    def take_reports(self, holder: Incarnation) -> tuple[GrantReport, ...]:
        """Return the reports due to a holder and mark them as sent."""
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
