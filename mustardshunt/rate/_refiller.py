"""Asking holders for the tokens of one organisation at one wallet."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import (
    Effect,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.rate._events import (
    AdmitWaitingCall,
    RefuseWaitingCall,
    SendTokenRequest,
    TokenCacheAction,
    TokenGrant,
    TokenRequest,
)
from mustardshunt.rate._granted_tokens import GrantedTokens, ReceivedGrant
from mustardshunt.rate._holder_selection import (
    Candidate,
    HolderSelection,
    NearestFirst,
    ProportionalToShare,
    split_request,
)
from mustardshunt.rate._units import GRANT_TERM_SECONDS, MICROTOKENS_PER_TOKEN

# Seconds for which a holder that granted too little is not asked again.
_DRY_PAUSE: Final = 0.02
# Seconds for which a holder that did not answer is not asked again.
_SILENT_PAUSE: Final = 1.0
# Seconds after which spent tokens are reported when no ask carries them;
# until then they keep the holder's bucket from filling.
_REPORT_DELAY: Final = 0.1
# Seconds of demand that are asked for ahead, and the part of the burst that
# this may take: tokens ahead of need are missing at other wallets.
_AHEAD: Final = 0.2
_AHEAD_OF_BURST: Final = 1 / 32
# Seconds over which the demand is averaged.
_DEMAND_WINDOW: Final = 1.0
# Below this burst part per holder, in tokens, holders are drawn on evenly.
_EVEN_BELOW: Final = 8


@dataclass(frozen=True, slots=True)
class _OpenAsk:
    holder: Incarnation
    wanted: int
    sent_at: float


class RequestSequence:
    """Numbers of a wallet's asks, over all organisations.

    Parameters
    ----------
    node : Incarnation
        The wallet's node.
    timeout : float
        Seconds after which another holder is asked.
    """

    def __init__(self, node: Incarnation, timeout: float) -> None:
        self.node = node
        self.timeout = timeout
        self._last = 0

    def next_number(self) -> int:
        """Return a number above all earlier ones."""
        self._last += 1
        return self._last


class Refiller:
    """Keeps prepaid tokens in stock and its waiting calls in order.

    Parameters
    ----------
    organisation : str
        Organisation of the tokens.
    sequence : RequestSequence
        Numbers shared by all refillers of a wallet.
    """

    def __init__(
        self,
        organisation: str,
        sequence: RequestSequence,
    ) -> None:
        self.organisation = organisation
        self.sequence = sequence
        self.granted = GrantedTokens()
        # Tickets of waiting calls, in order of arrival.
        self.waiting: dict[int, None] = {}
        self._rate = float(0)
        self._burst = float(0)
        self._candidates: Sequence[Candidate] = ()
        self._ordering: HolderSelection = NearestFirst()
        # Asks whose grant is still accepted, late ones included.
        self._ask_by_number: dict[int, _OpenAsk] = {}
        # Asks that are waited for, at most one per holder.
        self._number_by_holder: dict[Incarnation, int] = {}
        self._dry_until: dict[Incarnation, float] = {}
        self._silent_until: dict[Incarnation, float] = {}
        self._blocked_until = float('-inf')
        self._demand = float(0)
        self._ticked_at = float('-inf')
        self._report_at = float('inf')
        self._report_delay = _REPORT_DELAY

    def set_candidates(
        self,
        rate: float,
        burst: float,
        candidates: Sequence[Candidate],
    ) -> None:
        """Take the organisation's limits and who holds its shares."""
        self._rate = rate
        self._burst = burst
        self._candidates = candidates
        self._blocked_until = float('-inf')
        is_small = burst < _EVEN_BELOW * len(candidates)
        self._ordering = ProportionalToShare() if is_small else NearestFirst()
        # What is spent but not reported keeps a small bucket from filling.
        self._report_delay = float(0) if is_small else _REPORT_DELAY

    def is_idle(self) -> bool:
        """Tell whether no tick is needed until the next event."""
        return not (
            self.waiting
            or self._ask_by_number
            or not self.granted.is_empty()
            or self._demand > 0
        )

    def wait(self, ticket: int, now: float) -> list[TokenCacheAction]:
        """Take a call that found no token."""
        if now < self._blocked_until:
            return [self._refuse(ticket, now)]
        self.waiting[ticket] = None
        return self._advance(now)

    def leave(self, ticket: int) -> None:
        """Forget a waiting call whose caller went away."""
        self.waiting.pop(ticket, None)

    def take_grant(
        self, grant: TokenGrant, now: float
    ) -> list[TokenCacheAction]:
        """Take a grant; one that was not asked for or repeats is ignored."""
        ask = self._ask_by_number.get(grant.number)
        if ask is None or ask.holder != grant.holder:
            return []
        del self._ask_by_number[grant.number]
        if self._number_by_holder.get(ask.holder) == grant.number:
            del self._number_by_holder[ask.holder]
        self._silent_until.pop(ask.holder, None)
        self._blocked_until = float('-inf')
        if grant.tokens and now < ask.sent_at + grant.term:
            self.granted.add(ReceivedGrant(grant, ask.sent_at))
        if grant.tokens < ask.wanted:
            self._dry_until[ask.holder] = now + _DRY_PAUSE
        return self._advance(now)

    def tick(self, now: float) -> list[TokenCacheAction]:
        """Time out asks, return and report tokens, refill."""
        self._measure_demand(now)
        self.granted.return_half_expired(now)
        for number, ask in list(self._ask_by_number.items()):
            if now >= ask.sent_at + GRANT_TERM_SECONDS:
                del self._ask_by_number[number]
            if now < ask.sent_at + self.sequence.timeout:
                continue
            if self._number_by_holder.get(ask.holder) == number:
                del self._number_by_holder[ask.holder]
                self._silent_until[ask.holder] = now + _SILENT_PAUSE
        return [*self._advance(now), *self._report(now)]

    def _advance(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = []
        while self.waiting and self.granted.spend(now):
            ticket = next(iter(self.waiting))
            del self.waiting[ticket]
            actions.append(AdmitWaitingCall(self.organisation, ticket))
        need = self._need(now)
        if need > 0:
            actions.extend(self._ask(need, now))
        if self.waiting and not self._number_by_holder:
            actions.extend(self._refuse_all(now))
        if not self._report_delay and not self._number_by_holder:
            actions.extend(self._report(now))
        return actions

    def _need(self, now: float) -> int:
        covered = (
            self.granted.left(now) - len(self.waiting) * MICROTOKENS_PER_TOKEN
        )
        covered += sum(
            self._ask_by_number[number].wanted
            for number in self._number_by_holder.values()
        )
        ahead = min(self._demand * _AHEAD, self._burst * _AHEAD_OF_BURST)
        ahead_tokens = int(ahead) * MICROTOKENS_PER_TOKEN
        # Asked for again when half of it is used up.
        if covered * 2 < ahead_tokens:
            return ahead_tokens - covered
        return -covered

    def _ask(self, need: int, now: float) -> list[TokenCacheAction]:
        free = [
            candidate
            for candidate in self._candidates
            if self._is_free(candidate.holder, now)
        ]
        return [
            self._send(holder, wanted, now)
            for holder, wanted in split_request(need, free, self._ordering)
        ]

    def _is_free(self, holder: Incarnation, now: float) -> bool:
        return (
            holder not in self._number_by_holder
            and self._dry_until.get(holder, now) <= now
            and self._silent_until.get(holder, now) <= now
        )

    def _send(
        self,
        holder: Incarnation,
        wanted: int,
        now: float,
    ) -> TokenCacheAction:
        number = self.sequence.next_number()
        self._ask_by_number[number] = _OpenAsk(holder, wanted, now)
        self._number_by_holder[holder] = number
        ask = TokenRequest(
            self.sequence.node,
            number,
            self.organisation,
            wanted,
            self.granted.take_reports(holder),
        )
        reason = 'calls wait' if self.waiting else 'ahead of need'
        return SendTokenRequest(holder, ask, reason)

    def _refuse_all(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = [
            self._refuse(ticket, now) for ticket in self.waiting
        ]
        self.waiting.clear()
        pauses = [*self._dry_until.values(), *self._silent_until.values()]
        self._blocked_until = min(
            (until for until in pauses if until > now),
            default=now,
        )
        # Parts of a token that make no whole one are of use elsewhere.
        self.granted.return_all()
        self._report_at = now
        return [*actions, *self._report(now)]

    def _refuse(self, ticket: int, now: float) -> TokenCacheAction:
        is_dry = any(until > now for until in self._dry_until.values())
        reason = Reason.RATE_EXCEEDED if is_dry else Reason.RATE_UNAVAILABLE
        retry_after = _SILENT_PAUSE
        if is_dry:
            retry_after = max(_DRY_PAUSE, 1 / self._rate if self._rate else 1)
        refusal = Refusal(
            reason,
            Effect.NOT_RUN,
            f'organisation {self.organisation}',
            retry_after,
        )
        return RefuseWaitingCall(self.organisation, ticket, refusal)

    def _report(self, now: float) -> list[TokenCacheAction]:
        holders = list(self.granted.unreported_holders())
        if not holders:
            self._report_at = float('inf')
            return []
        self._report_at = min(self._report_at, now + self._report_delay)
        if now < self._report_at:
            return []
        self._report_at = float('inf')
        return [
            SendTokenRequest(
                holder,
                TokenRequest(
                    self.sequence.node,
                    0,
                    self.organisation,
                    0,
                    self.granted.take_reports(holder),
                ),
                'report',
            )
            for holder in holders
        ]

    def _measure_demand(self, now: float) -> None:
        elapsed = min(now - self._ticked_at, _DEMAND_WINDOW)
        self._ticked_at = now
        if elapsed <= 0:
            return
        weight = elapsed / _DEMAND_WINDOW
        seen = self.granted.spent_since_reset / elapsed
        self.granted.spent_since_reset = 0
        self._demand += (seen - self._demand) * weight
        # A demand of less than one call in a minute counts as none.
        if self._demand * 60 < 1:
            self._demand = float(0)
