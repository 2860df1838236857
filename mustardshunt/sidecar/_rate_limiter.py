"""Tokens of organisations' rates, asked for at other nodes when short."""

import asyncio
from typing import Final, Protocol

from mustardshunt.base import Clock
from mustardshunt.caps import CapShares, ShareView, TokenRequest

# Part of the target latency for which a request waits for a token.
TOKEN_WAIT_FRACTION: Final = 0.12
MAX_TOKEN_WAIT_SECONDS: Final = 0.1


class TokenPeers(Protocol):
    """The nodes that can be asked for tokens."""

    def peer_names(self) -> list[str]:
        """Return their names, the preferred ones first."""
        ...

    def request(self, ask: TokenRequest) -> None:
        """Send an ask to a node."""
        ...


class RateLimiter:
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

    async def acquire(
        self, organisation: str, latency_objective: float
    ) -> bool:
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
        latest = now + min(
            MAX_TOKEN_WAIT_SECONDS, latency_objective * TOKEN_WAIT_FRACTION
        )
        while now < latest:
            self._ask(organisation, now)
            if not self._shares.has_open_request(organisation, now):
                return False
            await self._wait(organisation, latest - now)
            now = self._clock.now()
            if self._shares.spend(organisation, now):
                return True
        return False

    def refund(self, organisation: str) -> None:
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

    def grant(self, organisation: str, wanted: int) -> int:
        """Take tokens out of this node's share for another node."""
        return self._shares.grant(organisation, wanted, self._clock.now())

    def _ask(self, organisation: str, now: float) -> None:
        waiting = len(self._waiters.get(organisation, ())) + 1
        names = self._peers.peer_names()
        ask = self._shares.make_request(organisation, names, waiting, now)
        if ask is not None:
            self._peers.request(ask)

    async def _wait(self, organisation: str, seconds: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(organisation, []).append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # The caller of this method looks at the time itself.
            return
