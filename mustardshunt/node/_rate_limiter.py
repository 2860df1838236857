"""Limits the rate of the requests that enter at this node."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

from mustardshunt.base import Clock, Effect, Incarnation, Reason, Refusal
from mustardshunt.rate import (
    AdmitWaitingCall,
    CallWaiting,
    RefuseWaitingCall,
    Tick,
    TokenCache,
    TokenCacheAction,
    TokenCacheEvent,
    TokenRequest,
    WaitingCallCancelled,
)

_NO_TOKEN_IN_TIME = Refusal(
    Reason.RATE_UNAVAILABLE,
    Effect.NOT_RUN,
    'no token came before the deadline',
)


class RateLimiter:
    """Spends a token of the token cache for each call.

    A call waits while the cache has no token for its organisation.

    Parameters
    ----------
    token_cache : TokenCache
        Tokens that other nodes have granted to this node.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        token_cache: TokenCache,
        clock: Clock,
    ) -> None:
        self._token_cache = token_cache
        self._send_request: Callable[[Incarnation, TokenRequest], None]
        self._clock = clock
        self._tickets = itertools.count(1)
        self._future_by_ticket: dict[int, asyncio.Future[Refusal | None]] = {}
        self._active = asyncio.Event()

    def connect(
        self,
        send_request: Callable[[Incarnation, TokenRequest], None],
    ) -> None:
        """Set the function that sends a token request to a share holder."""
        self._send_request = send_request

    async def acquire(
        self,
        organisation: str,
        deadline: float,
    ) -> Refusal | None:
        """Spend one token of an organisation's rate; wait if none is left.

        Parameters
        ----------
        organisation : str
            Organisation of the call.
        deadline : float
            Time after which the caller no longer waits, in seconds.

        Returns
        -------
        Refusal or None
            None when a token was spent, else the refusal of the call.
        """
        now = self._clock.now()
        if self._token_cache.spend(organisation, now):
            return None
        ticket = next(self._tickets)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Refusal | None] = loop.create_future()
        self._future_by_ticket[ticket] = future
        try:
            self.handle(CallWaiting(organisation, ticket))
            async with asyncio.timeout(deadline - now):
                return await future
        except TimeoutError:
            return _NO_TOKEN_IN_TIME
        finally:
            self._future_by_ticket.pop(ticket, None)
            if not future.done() or future.cancelled():
                self.handle(WaitingCallCancelled(organisation, ticket))

    def handle(self, event: TokenCacheEvent) -> None:
        """Pass an event to the token cache and carry out the actions."""
        self._active.set()
        self._apply(self._token_cache.handle(event, self._clock.now()))

    async def wait_until_active(self) -> None:
        """Wait until the token cache needs ticks.

        An idle token cache needs no ticks.
        """
        await self._active.wait()

    def tick(self) -> None:
        """Tick the token cache, and pause the ticks if the cache is idle."""
        self.handle(Tick())
        if self._token_cache.is_idle():
            self._active.clear()

    def _apply(self, actions: Iterable[TokenCacheAction]) -> None:
        for action in actions:
            if isinstance(action, AdmitWaitingCall):
                self._resolve(action.ticket, None)
                continue
            if isinstance(action, RefuseWaitingCall):
                self._resolve(action.ticket, action.refusal)
                continue
            self._send_request(action.holder, action.request)

    def _resolve(self, ticket: int, refusal: Refusal | None) -> None:
        future = self._future_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_result(refusal)
