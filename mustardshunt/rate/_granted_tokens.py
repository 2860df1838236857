"""Prepaid tokens of one organisation at one wallet."""

from collections.abc import Iterator

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import GrantReport, TokenGrant
from mustardshunt.rate._units import MICROTOKENS_PER_TOKEN


class ReceivedGrant:
    """One grant and what became of it; amounts in millionths of a token."""

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
        # The term counts from the ask, which left before the grant was made.
        self.expires_at = sent_at + grant.term
        self.return_at = sent_at + grant.term / 2

    def spend(self, tokens: int) -> None:
        """Spend an amount that is left."""
        self.left -= tokens
        self.spent += tokens

    def return_unspent(self) -> None:
        """Stop spending and return the rest."""
        self.returned += self.left
        self.left = 0

    def is_unreported(self) -> bool:
        """Tell whether the holder lacks the latest totals."""
        return self.spent + self.returned != self.reported


_NO_HOLDER = Incarnation('')
_NO_BATCH = ReceivedGrant(
    TokenGrant(_NO_HOLDER, 0, '', 0, 0, float(0)), float(0)
)


class GrantedTokens:
    """Batches of one organisation, spent in the order of their arrival.

    Parts of a token from several holders are spent together, so that holders
    whose burst part is below one token still serve calls.
    """

    __slots__ = ('_batches', '_current', 'spent_since_reset')

    def __init__(self) -> None:
        # Calls served since the wallet last reset it, for the demand.
        self.spent_since_reset = 0
        self._batches: list[ReceivedGrant] = []
        self._current = _NO_BATCH

    def spend(self, now: float) -> bool:
        """Spend one token if there is one that has not expired."""
        batch = self._current
        if batch.left >= MICROTOKENS_PER_TOKEN and now < batch.expires_at:
            batch.left -= MICROTOKENS_PER_TOKEN
            batch.spent += MICROTOKENS_PER_TOKEN
            self.spent_since_reset += 1
            return True
        return self._spend_parts(now)

    def add(self, batch: ReceivedGrant) -> None:
        """Take a new batch."""
        self._batches.append(batch)

    def left(self, now: float) -> int:
        """Return what can be spent now, in millionths of a token."""
        self._drop_expired(now)
        return sum(batch.left for batch in self._batches)

    def is_empty(self) -> bool:
        """Tell whether no batch is kept, spent or not."""
        return not self._batches

    def return_half_expired(self, now: float) -> None:
        """Return unspent tokens after half their term."""
        for batch in self._batches:
            if now >= batch.return_at:
                batch.return_unspent()

    def return_all(self) -> None:
        """Return all unspent tokens at once."""
        for batch in self._batches:
            batch.return_unspent()

    def unreported_holders(self) -> Iterator[Incarnation]:
        """Yield each holder that lacks totals, once."""
        seen: set[Incarnation] = set()
        for batch in self._batches:
            if batch.is_unreported() and batch.holder not in seen:
                seen.add(batch.holder)
                yield batch.holder

    def take_reports(self, holder: Incarnation) -> tuple[GrantReport, ...]:
        """Return the totals that a holder lacks and count them reported."""
        reports = []
        for batch in self._batches:
            if batch.holder != holder or not batch.is_unreported():
                continue
            batch.reported = batch.spent + batch.returned
            reports.append(
                GrantReport(batch.grant_id, batch.spent, batch.returned),
            )
        self._batches = [
            kept for kept in self._batches if kept.left or kept.is_unreported()
        ]
        return tuple(reports)

    def _spend_parts(self, now: float) -> bool:
        if self.left(now) < MICROTOKENS_PER_TOKEN:
            return False
        lacking = MICROTOKENS_PER_TOKEN
        for batch in self._batches:
            part = min(lacking, batch.left)
            batch.spend(part)
            lacking -= part
            self._current = batch
            if not lacking:
                break
        self.spent_since_reset += 1
        return True

    def _drop_expired(self, now: float) -> None:
        if any(now >= batch.expires_at for batch in self._batches):
            self._batches = [
                batch for batch in self._batches if now < batch.expires_at
            ]
