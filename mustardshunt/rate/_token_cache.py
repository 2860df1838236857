"""Token cache: granted tokens of all organisations at an entry node.

Nodes that hold shares of an organisation's rate (holders) grant the tokens. The
entry node is the node at which a request enters.
"""

from collections.abc import Mapping
from typing import Final

from mustardshunt.base import (
    Effect,
    Incarnation,
    Reason,
    Refusal,
    check_range,
    rendezvous_order,
)
from mustardshunt.rate._events import (
    CallWaiting,
    EligibleHoldersChanged,
    GrantArrived,
    RateLimitsChanged,
    RefuseWaitingCall,
    ShareRowRead,
    TokenCacheAction,
    TokenCacheEvent,
    TokenGrant,
    WaitingCallCancelled,
)
from mustardshunt.rate._holder_selection import Candidate
from mustardshunt.rate._refiller import Refiller, RequestSequence
from mustardshunt.rate._rows import ShareRow
from mustardshunt.rate._share_rules import EligibleHolders
from mustardshunt.rate._units import partition_of
from mustardshunt.sheet import Organisation

# Time without a grant after which tokens are requested from another holder.
_REQUEST_TIMEOUT_SECONDS: Final = 0.05


class TokenCache:
    """Stores the granted tokens of an entry node, and requests new ones.

    Parameters
    ----------
    node : Incarnation
        Entry node at which the tokens are stored and spent.
    data_centre : str
        Data centre of the node.
    ask_timeout : float, default=0.05
        Seconds without a grant after which tokens are requested from another
        holder.
    """

    def __init__(
        self,
        node: Incarnation,
        data_centre: str,
        ask_timeout: float = _REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.ask_timeout = ask_timeout
        self._sequence = RequestSequence(node, ask_timeout)
        self._eligible_holders = EligibleHolders({})
        self._organisation_by_name: Mapping[str, Organisation] = {}
        self._row_by_partition: dict[int, ShareRow] = {}
        self._refiller_by_organisation: dict[str, Refiller] = {}

    def spend(self, organisation: str, now: float) -> bool:
        """Spend one token of an organisation.

        Parameters
        ----------
        organisation : str
            Organisation of the call.
        now : float
            Seconds on this node's clock. The clock must be read for this call:
            with an earlier time, expired tokens could be spent after a pause of
            the process.

        Returns
        -------
        bool
            True when a token was spent. False when there is no valid token, or
            when other calls already wait for tokens. After False, the caller
            sends a ``CallWaiting`` event.
        """
        refiller = self._refiller_by_organisation.get(organisation)
        if refiller is None or refiller.waiting:
            return False
        return refiller.granted.spend(now)

    def handle(
        self, event: TokenCacheEvent, now: float
    ) -> list[TokenCacheAction]:
        """Apply one event to the stored tokens; return the resulting actions.

        Parameters
        ----------
        event : TokenCacheEvent
            Message, waiting call or other change.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        list of TokenCacheAction
            Actions to be performed, in order.
        """
        match event:
            case CallWaiting(organisation, ticket):
                return self._enqueue_call(organisation, ticket, now)
            case WaitingCallCancelled(organisation, ticket):
                refiller = self._refiller_by_organisation.get(organisation)
                if refiller is not None:
                    refiller.cancel(ticket)
            case GrantArrived(grant):
                return self._take_grant(grant, now)
            case ShareRowRead(row):
                self._store_row(row)
            case EligibleHoldersChanged(holders):
                self._eligible_holders = holders
                self._update_all_candidates()
            case RateLimitsChanged(organisation_by_name):
                self._organisation_by_name = organisation_by_name
                self._update_all_candidates()
            case _:
                return self._tick(now)
        return []

    def is_idle(self) -> bool:
        """Tell whether ``Tick`` events can stop until another event arrives."""
        return all(
            refiller.is_idle()
            for refiller in self._refiller_by_organisation.values()
        )

    def _enqueue_call(
        self,
        organisation: str,
        ticket: int,
        now: float,
    ) -> list[TokenCacheAction]:
        refiller = self._refiller_by_organisation.get(organisation)
        if refiller is not None:
            return refiller.enqueue(ticket, now)
        if organisation in self._organisation_by_name:
            refiller = Refiller(organisation, self._sequence)
            self._refiller_by_organisation[organisation] = refiller
            self._update_candidates(refiller)
            return refiller.enqueue(ticket, now)
        refusal = Refusal(
            Reason.RATE_UNAVAILABLE,
            Effect.NOT_RUN,
            'organisation is not in the sheet',
        )
        return [RefuseWaitingCall(organisation, ticket, refusal)]

    def _take_grant(
        self, grant: TokenGrant, now: float
    ) -> list[TokenCacheAction]:
        refiller = self._refiller_by_organisation.get(grant.organisation)
        return refiller.take_grant(grant, now) if refiller else []

    def _store_row(self, row: ShareRow) -> None:
        known = self._row_by_partition.get(row.partition)
        if known is not None and known.version >= row.version:
            return
        self._row_by_partition[row.partition] = row
        for organisation, refiller in self._refiller_by_organisation.items():
            if partition_of(organisation) == row.partition:
                self._update_candidates(refiller)

    def _tick(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = []
        for refiller in self._refiller_by_organisation.values():
            if not refiller.is_idle():
                actions.extend(refiller.tick(now))
        return actions

    def _update_all_candidates(self) -> None:
        for refiller in self._refiller_by_organisation.values():
            self._update_candidates(refiller)

    def _update_candidates(self, refiller: Refiller) -> None:
        organisation = self._organisation_by_name.get(refiller.organisation)
        row = self._row_by_partition.get(partition_of(refiller.organisation))
        if organisation is None or row is None:
            refiller.set_candidates(float(0), float(0), [])
            return
        order = rendezvous_order(
            f'{self.node}/{refiller.organisation}',
            row.share_by_holder,
        )
        refiller.set_candidates(
            organisation.rate,
            organisation.burst,
            [
                Candidate(
                    holder,
                    max(1, int(organisation.burst * row.share_of(holder))),
                    self._distance(holder),
                    rank,
                )
                for rank, holder in enumerate(order)
            ],
        )

    def _distance(self, holder: Incarnation) -> int:
        if holder == self.node:
            return 0
        data_centre = self._eligible_holders.data_centre_by_node.get(holder)
        return 1 if data_centre == self.data_centre else 2


def make_token_cache(
    node: Incarnation,
    data_centre: str,
    ask_timeout: float = _REQUEST_TIMEOUT_SECONDS,
) -> TokenCache:
    """Check the timeout and return a token cache without tokens.

    Parameters
    ----------
    node : Incarnation
        Entry node at which the tokens are stored and spent.
    data_centre : str
        Data centre of the node.
    ask_timeout : float, default=0.05
        Seconds without a grant after which tokens are requested from another
        holder.

    Raises
    ------
    ParameterError
        The timeout is outside 1 ms to 1 s.
    """
    check_range('ask_timeout', ask_timeout, 0.001, 1)
    return TokenCache(node, data_centre, ask_timeout)
