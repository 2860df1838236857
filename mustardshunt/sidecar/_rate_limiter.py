"""Tokens of organisations' rates, asked for at other nodes when short."""

import asyncio
from typing import Final, Protocol

from mustardshunt.base import Clock
from mustardshunt.caps import CapShares, ShareView, TokenAsk

# Part of the target latency for which a request waits for a token.
TOKEN_PATIENCE: Final = 0.12
LONGEST_WAIT: Final = 0.1


class TokenPeers(Protocol):
    """The nodes that can be asked for tokens."""

    def names(self) -> list[str]:
        """Return their names, the preferred ones first."""
        ...

    def ask(self, ask: TokenAsk) -> None:
        """Send an ask to a node."""
        ...


class TokenDesk:
    """Spends tokens, and lets requests wait while some are asked for.

    Parameters
    ----------
    shares : CapShares
        Tokens of this node.
    peers : TokenPeers
        Nodes that can be asked.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        shares: CapShares,
        peers: TokenPeers,
        clock: Clock,
    ) -> None:
        self._shares = shares
        self._peers = peers
        self._clock = clock
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}

    async def take(self, organisation: str, latency_objective: float) -> bool:
        """Spend one request; False when its organisation is over its cap.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        latency_objective : float
            Seconds within which the request should be answered.
        """
        now = self._clock.now()
        if self._shares.spend(organisation, now):
            if self._shares.is_low(organisation, now):
                self._ask(organisation, now)
            return True
        latest = now + min(LONGEST_WAIT, latency_objective * TOKEN_PATIENCE)
        while now < latest:
            self._ask(organisation, now)
            if not self._shares.is_asking(organisation, now):
                return False
            await self._wait(organisation, latest - now)
            now = self._clock.now()
            if self._shares.spend(organisation, now):
                return True
        return False

    def give_back(self, organisation: str) -> None:
        """Take the token of a request back that has not run."""
        if organisation:
            self._shares.refund(organisation, self._clock.now())

    def snapshot(self, organisation: str) -> ShareView:
        """Return what this node holds of an organisation's rate."""
        return self._shares.snapshot(organisation)

    def receive(self, organisation: str, node: str, amount: int) -> None:
        """Take the answer to an ask."""
        now = self._clock.now()
        self._shares.receive(organisation, node, amount, now)
        for waiter in self._waiters.pop(organisation, []):
            if not waiter.done():
                waiter.set_result(None)

    def give(self, organisation: str, wanted: int) -> int:
        """Take tokens out of this node's share for another node."""
        return self._shares.give(organisation, wanted, self._clock.now())

    def _ask(self, organisation: str, now: float) -> None:
        waiting = len(self._waiters.get(organisation, ())) + 1
        names = self._peers.names()
        ask = self._shares.ask(organisation, names, waiting, now)
        if ask is not None:
            self._peers.ask(ask)

    async def _wait(self, organisation: str, seconds: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(organisation, []).append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # The caller of this method looks at the time itself.
            return
