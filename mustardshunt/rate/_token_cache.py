"""Wallet: prepaid tokens of all organisations at one entry node."""

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

# Seconds after which another holder is asked.
_ASK_TIMEOUT: Final = 0.05


class TokenCache:
    """Tokens that one entry node has for its calls.

    Parameters
    ----------
    node : Incarnation
        The entry node.
    data_centre : str
        Its data centre.
    ask_timeout : float, default=0.05
        Seconds after which another holder is asked.
    """

    def __init__(
        self,
        node: Incarnation,
        data_centre: str,
        ask_timeout: float = _ASK_TIMEOUT,
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.ask_timeout = ask_timeout
        self._sequence = RequestSequence(node, ask_timeout)
        self._fleet = EligibleHolders({})
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
            Seconds on this node's clock, read for this call.

        Returns
        -------
        bool
            False when there is no token that has not expired, or when other
            calls wait already; the call is then to wait by ``CallWaiting``.
        """
        refiller = self._refiller_by_organisation.get(organisation)
        if refiller is None or refiller.waiting:
            return False
        return refiller.granted.spend(now)

    def handle(
        self, event: TokenCacheEvent, now: float
    ) -> list[TokenCacheAction]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : TokenCacheEvent
            What happened.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        list of TokenCacheAction
            What is to be done, in order.
        """
        match event:
            case CallWaiting(organisation, ticket):
                return self._wait(organisation, ticket, now)
            case WaitingCallCancelled(organisation, ticket):
                refiller = self._refiller_by_organisation.get(organisation)
                if refiller is not None:
                    refiller.leave(ticket)
            case GrantArrived(grant):
                return self._take_grant(grant, now)
            case ShareRowRead(row):
                self._take_row(row)
            case EligibleHoldersChanged(fleet):
                self._fleet = fleet
                self._arrange_all()
            case RateLimitsChanged(organisation_by_name):
                self._organisation_by_name = organisation_by_name
                self._arrange_all()
            case _:
                return self._tick(now)
        return []

    def is_idle(self) -> bool:
        """Tell whether no tick is needed until the next event."""
        return all(
            refiller.is_idle()
            for refiller in self._refiller_by_organisation.values()
        )

    def _wait(
        self,
        organisation: str,
        ticket: int,
        now: float,
    ) -> list[TokenCacheAction]:
        refiller = self._refiller_by_organisation.get(organisation)
        if refiller is not None:
            return refiller.wait(ticket, now)
        if organisation in self._organisation_by_name:
            refiller = Refiller(organisation, self._sequence)
            self._refiller_by_organisation[organisation] = refiller
            self._arrange(refiller)
            return refiller.wait(ticket, now)
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

    def _take_row(self, row: ShareRow) -> None:
        known = self._row_by_partition.get(row.partition)
        if known is not None and known.version >= row.version:
            return
        self._row_by_partition[row.partition] = row
        for organisation, refiller in self._refiller_by_organisation.items():
            if partition_of(organisation) == row.partition:
                self._arrange(refiller)

    def _tick(self, now: float) -> list[TokenCacheAction]:
        actions: list[TokenCacheAction] = []
        for refiller in self._refiller_by_organisation.values():
            if not refiller.is_idle():
                actions.extend(refiller.tick(now))
        return actions

    def _arrange_all(self) -> None:
        for refiller in self._refiller_by_organisation.values():
            self._arrange(refiller)

    def _arrange(self, refiller: Refiller) -> None:
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
        data_centre = self._fleet.data_centre_by_node.get(holder)
        return 1 if data_centre == self.data_centre else 2


def make_token_cache(
    node: Incarnation,
    data_centre: str,
    ask_timeout: float = _ASK_TIMEOUT,
) -> TokenCache:
    """Return a wallet without tokens.

    Parameters
    ----------
    node : Incarnation
        The entry node.
    data_centre : str
        Its data centre.
    ask_timeout : float, default=0.05
        Seconds after which another holder is asked.

    Raises
    ------
    ParameterError
        The timeout is outside 1 ms to 1 s.
    """
    check_range('ask_timeout', ask_timeout, 0.001, 1)
    return TokenCache(node, data_centre, ask_timeout)
