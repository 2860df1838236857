"""Limits request rates of organisations; requests tokens from peers."""

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

    def return_token(self, organisation: str, node: str) -> None:
        """Send a token that is not needed back to a node with a share."""
        ...


class RateLimiter:
    """Spends one token of an organisation for each of its requests.

    When the tokens of this node run low, the limiter requests tokens from other
    nodes. A caller's request that finds no token waits a short time for granted
    tokens.

    Parameters
    ----------
    shares : CapShares
        This node's shares of the organisations' rates, with the tokens that
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
        self._waiters_by_organisation: dict[
            str, list[asyncio.Future[None]]
        ] = {}

    async def acquire(
        self, organisation: str, latency_objective: float
    ) -> bool:
        """Spend one token; return False if no token is available in time.

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
                self._request_tokens(organisation, now)
            return True
        deadline = now + min(
            MAX_TOKEN_WAIT_SECONDS, latency_objective * TOKEN_WAIT_FRACTION
        )
        while now < deadline:
            self._request_tokens(organisation, now)
            if not self._shares.has_open_request(organisation, now):
                return False
            await self._wait_for_tokens(
                organisation, min(deadline - now, REQUEST_TIMEOUT_SECONDS)
            )
            now = self._clock.now()
            if self._shares.spend(organisation, now):
                return True
        return False

    def refund(self, organisation: str) -> None:
        """Put the token of a request that has not run back into the share."""
        if not organisation:
            return
        node = self._shares.refund(organisation, self._clock.now())
        if node is not None:
            self._peers.return_token(organisation, node)

    def snapshot(self, organisation: str) -> ShareView:
        """Return this node's share of an organisation's rate."""
        return self._shares.snapshot(organisation)

    def receive(self, organisation: str, node: str, amount: int) -> None:
        """Add the tokens that a node has granted and wake waiting requests."""
        now = self._clock.now()
        self._shares.receive(organisation, node, amount, now)
        for waiter in self._waiters_by_organisation.pop(organisation, []):
            if not waiter.done():
                waiter.set_result(None)

    def grant(self, organisation: str, requester: str, wanted: int) -> int:
        """Remove tokens from this node's share, to grant them to another node.

        Removes at most ``wanted`` tokens and returns the number removed. When
        the share runs low, this node requests tokens from other nodes itself.
        """
        now = self._clock.now()
        granted = self._shares.grant(organisation, requester, wanted, now)
        if self._shares.is_low(organisation, now):
            self._request_tokens(organisation, now)
        return granted

    def take_back(self, organisation: str, amount: int) -> None:
        """Add tokens that another node returns to this node's share."""
        self._shares.take_back(organisation, amount, self._clock.now())

    def _request_tokens(self, organisation: str, now: float) -> None:
        waiting = len(self._waiters_by_organisation.get(organisation, ())) + 1
        names = self._peers.reachable_first(self._shares.holders(organisation))
        token_request = self._shares.make_request(
            organisation, names, waiting, now
        )
        if token_request is not None:
            self._peers.request(token_request)

    async def _wait_for_tokens(self, organisation: str, seconds: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_organisation.setdefault(organisation, []).append(
            waiter
        )
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # A time-out is not an error here: after each wait, acquire() checks
            # whether its own deadline has passed.
            return
