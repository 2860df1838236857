"""Token requests for one organisation, and calls that wait for tokens.

Nodes that hold shares of the organisation's rate (holders) grant tokens to the
nodes at which calls enter.
"""

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

# After a holder has granted fewer tokens than requested, no request is sent to
# that holder for this time.
_EMPTY_BACKOFF_SECONDS: Final = 0.02
# After a holder has not replied in time, no request is sent to that holder for
# this time.
_UNRESPONSIVE_BACKOFF_SECONDS: Final = 1.0
# Longest time for which a usage report is held back, so that the next token
# request can carry the report. Until a holder gets the report, spent tokens
# count as outstanding and take up room in the holder's bucket, so that no new
# tokens can accrue there.
_REPORT_DELAY_SECONDS: Final = 0.1
# Tokens are requested in advance for the expected demand of this period. The
# number of tokens is limited to a fraction of the organisation's burst, so that
# tokens are left for other nodes.
_PREFETCH_SECONDS: Final = 0.2
_MAX_PREFETCH_BURST_FRACTION: Final = 1 / 32
# Period over which the demand (calls per second that got a token) is averaged.
_DEMAND_WINDOW_SECONDS: Final = 1.0
# Burst per holder, in tokens. Below this value, tokens are requested from all
# holders in proportion to their shares; otherwise, from the nearest holders.
_PROPORTIONAL_BELOW_TOKENS: Final = 8


@dataclass(frozen=True, slots=True)
class _OpenRequest:
    holder: Incarnation
    wanted: int
    sent_at: float


class RequestSequence:
    """Sequence numbers for the token requests of one node.

    The requests for all organisations are numbered in one sequence.

    Parameters
    ----------
    node : Incarnation
        Node that sends the requests.
    timeout : float
        Seconds without a grant after which tokens are requested from another
        holder.
    """

    def __init__(self, node: Incarnation, timeout: float) -> None:
        self.node = node
        self.timeout = timeout
        self._last_number = 0

    def next_number(self) -> int:
        """Return the sequence number of the next token request, from 1 on."""
        self._last_number += 1
        return self._last_number


class Refiller:
    """Queues calls of one organisation that need a token, and requests tokens.

    Parameters
    ----------
    organisation : str
        Organisation of the tokens.
    sequence : RequestSequence
        Sequence of request numbers, shared with the refillers of other
        organisations.
    """

    def __init__(
        self,
        organisation: str,
        sequence: RequestSequence,
    ) -> None:
        self.organisation = organisation
        self.sequence = sequence
        self.granted = GrantedTokens()
        # Tickets of the waiting calls, in order of arrival. The dictionary
        # serves as an ordered set.
        self.waiting: dict[int, None] = {}
        self._rate = float(0)
        self._burst = float(0)
        self._candidates: Sequence[Candidate] = ()
        self._selection: HolderSelection = NearestFirst()
        # Token requests whose grants are still accepted, by sequence number.
        # These include requests that have timed out.
        self._request_by_number: dict[int, _OpenRequest] = {}
        # Sequence number of the open token request to each holder. Requests
        # that have timed out are not open.
        self._number_by_holder: dict[Incarnation, int] = {}
        self._empty_until: dict[Incarnation, float] = {}
        self._unresponsive_until: dict[Incarnation, float] = {}
        self._refuse_until = float('-inf')
        self._demand = float(0)
        self._last_tick_at = float('-inf')
        self._report_at = float('inf')
        self._report_delay = _REPORT_DELAY_SECONDS

    def set_candidates(
        self,
        rate: float,
        burst: float,
        candidates: Sequence[Candidate],
    ) -> None:
        """Set the organisation's limits and the holders of its shares.

        Parameters
        ----------
        rate : float
            Tokens per second of the organisation over all nodes.
        burst : float
            Most tokens of the organisation over all nodes.
        candidates : sequence of Candidate
            Holders to which token requests may go.
        """
        self._rate = rate
        self._burst = burst
        self._candidates = candidates
        self._refuse_until = float('-inf')
        is_small_burst = burst < _PROPORTIONAL_BELOW_TOKENS * len(candidates)
        self._selection = (
            ProportionalToShare() if is_small_burst else NearestFirst()
        )
        # Spent tokens take up room in the holder's bucket until they are
        # reported. In a small bucket, this room is a large part of the
        # capacity, so that spent tokens are reported at once.
        self._report_delay = (
            float(0) if is_small_burst else _REPORT_DELAY_SECONDS
        )

    def is_idle(self) -> bool:
        """Tell whether there is no work for ``tick`` until the next event."""
        return not (
            self.waiting
            or self._request_by_number
            or not self.granted.is_empty()
            or self._demand > 0
        )

    def enqueue(self, ticket: int, now: float) -> list[TokenCacheAction]:
        """Queue a call that found no token, or refuse the call at once.

        The call is refused at once while all holders are known to be empty or
        unresponsive.
        """
        if now < self._refuse_until:
            return [self._refuse(ticket, now)]
        self.waiting[ticket] = None
        return self._process_waiting(now)

    def cancel(self, ticket: int) -> None:
        """Remove a call from the queue, because it no longer needs a token."""
        self.waiting.pop(ticket, None)

    def take_grant(
        self, grant: TokenGrant, now: float
    ) -> list[TokenCacheAction]:
        """Store the tokens of a grant and admit waiting calls.

        A repeated grant, or a grant for an unknown request, is ignored.
        """
        request = self._request_by_number.get(grant.number)
        if request is None or request.holder != grant.holder:
            return []
        del self._request_by_number[grant.number]
        if self._number_by_holder.get(request.holder) == grant.number:
            del self._number_by_holder[request.holder]
        self._unresponsive_until.pop(request.holder, None)
        self._refuse_until = float('-inf')
        if grant.tokens and now < request.sent_at + grant.term:
            self.granted.add(ReceivedGrant(grant, request.sent_at))
        if grant.tokens < request.wanted:
            self._empty_until[request.holder] = now + _EMPTY_BACKOFF_SECONDS
        return self._process_waiting(now)

    def tick(self, now: float) -> list[TokenCacheAction]:
        """Do the periodic work of this organisation.

        This measures the demand, returns unspent tokens, times out requests,
        serves waiting calls, requests tokens and sends reports.
        """
        self._measure_demand(now)
        self.granted.return_half_expired(now)
        for number, request in list(self._request_by_number.items()):
            if now >= request.sent_at + GRANT_TERM_SECONDS:
                del self._request_by_number[number]
            if now < request.sent_at + self.sequence.timeout:
                continue
            if self._number_by_holder.get(request.holder) == number:
                del self._number_by_holder[request.holder]
                self._unresponsive_until[request.holder] = (
                    now + _UNRESPONSIVE_BACKOFF_SECONDS
                )
        return [*self._process_waiting(now), *self._report(now)]

    def _process_waiting(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = []
        while self.waiting and self.granted.spend(now):
            ticket = next(iter(self.waiting))
            del self.waiting[ticket]
            actions.append(AdmitWaitingCall(self.organisation, ticket))
        tokens_needed = self._tokens_needed(now)
        if tokens_needed > 0:
            actions.extend(self._request_tokens(tokens_needed, now))
        if self.waiting and not self._number_by_holder:
            actions.extend(self._refuse_all(now))
        if not self._report_delay and not self._number_by_holder:
            actions.extend(self._report(now))
        return actions

    def _tokens_needed(self, now: float) -> int:
        covered = (
            self.granted.left(now) - len(self.waiting) * MICROTOKENS_PER_TOKEN
        )
        covered += sum(
            self._request_by_number[number].wanted
            for number in self._number_by_holder.values()
        )
        prefetch_tokens = min(
            self._demand * _PREFETCH_SECONDS,
            self._burst * _MAX_PREFETCH_BURST_FRACTION,
        )
        prefetch_microtokens = int(prefetch_tokens) * MICROTOKENS_PER_TOKEN
        # Tokens are requested in advance only when less than half of the amount
        # for the period ahead is left. Otherwise, only missing tokens of
        # waiting calls are requested. Requests are therefore fewer and larger.
        if covered * 2 < prefetch_microtokens:
            return prefetch_microtokens - covered
        return -covered

    def _request_tokens(
        self, tokens_needed: int, now: float
    ) -> list[TokenCacheAction]:
        available = [
            candidate
            for candidate in self._candidates
            if self._is_available(candidate.holder, now)
        ]
        return [
            self._send_request(holder, wanted, now)
            for holder, wanted in split_request(
                tokens_needed, available, self._selection
            )
        ]

    def _is_available(self, holder: Incarnation, now: float) -> bool:
        return (
            holder not in self._number_by_holder
            and self._empty_until.get(holder, now) <= now
            and self._unresponsive_until.get(holder, now) <= now
        )

    def _send_request(
        self,
        holder: Incarnation,
        wanted: int,
        now: float,
    ) -> TokenCacheAction:
        number = self.sequence.next_number()
        self._request_by_number[number] = _OpenRequest(holder, wanted, now)
        self._number_by_holder[holder] = number
        request = TokenRequest(
            self.sequence.node,
            number,
            self.organisation,
            wanted,
            self.granted.take_reports(holder),
        )
        reason = 'calls wait' if self.waiting else 'ahead of need'
        return SendTokenRequest(holder, request, reason)

    def _refuse_all(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = [
            self._refuse(ticket, now) for ticket in self.waiting
        ]
        self.waiting.clear()
        backoffs = [
            *self._empty_until.values(),
            *self._unresponsive_until.values(),
        ]
        self._refuse_until = min(
            (until for until in backoffs if until > now),
            default=now,
        )
        # Less than one token is left here. This fraction is returned to the
        # holders, because other nodes may add it to their own fractions and so
        # get a whole token.
        self.granted.return_all()
        self._report_at = now
        return [*actions, *self._report(now)]

    def _refuse(self, ticket: int, now: float) -> TokenCacheAction:
        is_any_empty = any(until > now for until in self._empty_until.values())
        reason = (
            Reason.RATE_EXCEEDED if is_any_empty else Reason.RATE_UNAVAILABLE
        )
        retry_after = _UNRESPONSIVE_BACKOFF_SECONDS
        if is_any_empty:
            retry_after = max(
                _EMPTY_BACKOFF_SECONDS, 1 / self._rate if self._rate else 1
            )
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
        elapsed = min(now - self._last_tick_at, _DEMAND_WINDOW_SECONDS)
        self._last_tick_at = now
        if elapsed <= 0:
            return
        weight = elapsed / _DEMAND_WINDOW_SECONDS
        calls_per_second = self.granted.spent_since_reset / elapsed
        self.granted.spent_since_reset = 0
        self._demand += (calls_per_second - self._demand) * weight
        # A demand of less than one call per minute counts as zero, so that the
        # refiller can become idle.
        if self._demand * 60 < 1:
            self._demand = float(0)
