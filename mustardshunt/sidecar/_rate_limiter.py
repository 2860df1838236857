"""Limits requests and retries by caps; requests tokens from peers."""

import asyncio
from collections.abc import Collection
from typing import Final, Protocol

from mustardshunt.base import Clock
from mustardshunt.caps import (
    REQUEST_TIMEOUT_SECONDS,
    CapShares,
    ShareView,
    TokenRequest,
)

# Longest wait of a request for a token, as a fraction of the latency objective
# of the route and in seconds. The shorter of the two times applies.
TOKEN_WAIT_FRACTION: Final = 0.4
MAX_TOKEN_WAIT_SECONDS: Final = 0.25


class TokenPeers(Protocol):
    """Nodes to which token requests can be sent."""

    def reachable_first(self, names: Collection[str]) -> list[str]:
        """Return nodes in the given order, those with open links first."""
        ...

    def request(self, token_request: TokenRequest) -> None:
        """Send a token request to the node named in the request."""
        ...

    def return_token(self, cap_name: str, node: str) -> None:
        """Send a token that is not needed back to a node with a share."""
        ...


class RateLimiter:
    """Spends one token of a cap for each request or retry.

    When the tokens of this node run low, the limiter requests tokens from other
    nodes. A caller's request that finds no token waits a short time for granted
    tokens.

    Parameters
    ----------
    shares : CapShares
        This node's shares of the caps, with the tokens that
        are left.
    peers : TokenPeers
        Nodes to which token requests can be sent.
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
        self._waiters_by_cap: dict[str, list[asyncio.Future[None]]] = {}

    async def acquire(self, cap_name: str, latency_objective: float) -> bool:
        """Spend one token; return False if no token is available in time.

        Parameters
        ----------
        cap_name : str
            Name of the cap: an organisation, or a cap on retries.
        latency_objective : float
            Seconds within which the request should be answered.
        """
        now = self._clock.now()
        if self._shares.spend(cap_name, now):
            if self._shares.is_low(cap_name, now):
                self._request_tokens(cap_name, now)
            return True
        deadline = now + min(
            MAX_TOKEN_WAIT_SECONDS, latency_objective * TOKEN_WAIT_FRACTION
        )
        while now < deadline:
            self._request_tokens(cap_name, now)
            if not self._shares.has_open_request(cap_name, now):
                return False
            await self._wait_for_tokens(
                cap_name, min(deadline - now, REQUEST_TIMEOUT_SECONDS)
            )
            now = self._clock.now()
            if self._shares.spend(cap_name, now):
                return True
        return False

    def refund(self, cap_name: str) -> None:
        """Put the token of a request that has not run back into the share."""
        if not cap_name:
            return
        node = self._shares.refund(cap_name, self._clock.now())
        if node is not None:
            self._peers.return_token(cap_name, node)

    def snapshot(self, cap_name: str) -> ShareView:
        """Return this node's share of a cap."""
        return self._shares.snapshot(cap_name)

    def receive(self, cap_name: str, node: str, amount: int) -> None:
        """Add the tokens that a node has granted and wake waiting requests."""
        now = self._clock.now()
        self._shares.receive(cap_name, node, amount, now)
        for waiter in self._waiters_by_cap.pop(cap_name, []):
            if not waiter.done():
                waiter.set_result(None)

    def grant(self, cap_name: str, requester: str, wanted: int) -> int:
        """Remove tokens from this node's share, to grant them to another node.

        Removes at most ``wanted`` tokens and returns the number removed. When
        the share runs low, this node requests tokens from other nodes itself.
        """
        now = self._clock.now()
        granted = self._shares.grant(cap_name, requester, wanted, now)
        if self._shares.is_low(cap_name, now):
            self._request_tokens(cap_name, now)
        return granted

    def take_back(self, cap_name: str, amount: int) -> None:
        """Add tokens that another node returns to this node's share."""
        self._shares.take_back(cap_name, amount, self._clock.now())

    def _request_tokens(self, cap_name: str, now: float) -> None:
        waiting = len(self._waiters_by_cap.get(cap_name, ())) + 1
        names = self._peers.reachable_first(self._shares.holders(cap_name))
        token_request = self._shares.make_request(cap_name, names, waiting, now)
        if token_request is not None:
            self._peers.request(token_request)

    async def _wait_for_tokens(self, cap_name: str, seconds: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_cap.setdefault(cap_name, []).append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # A time-out is not an error here: after each wait, acquire() checks
            # whether its own deadline has passed.
            return
