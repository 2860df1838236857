"""Tokens of the organisations' rates for the calls of one entry node."""

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

_TOO_LATE = Refusal(
    Reason.RATE_UNAVAILABLE,
    Effect.NOT_RUN,
    'no token came before the deadline',
)


class RateLimiter:
    """Takes tokens from the wallet, and waits for them when it has none.

    Parameters
    ----------
    wallet : TokenCache
        Prepaid tokens of this node.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        wallet: TokenCache,
        clock: Clock,
    ) -> None:
        self._wallet = wallet
        self._send_ask: Callable[[Incarnation, TokenRequest], None]
        self._clock = clock
        self._tickets = itertools.count(1)
        self._future_by_ticket: dict[int, asyncio.Future[Refusal | None]] = {}
        self._used = asyncio.Event()

    def connect(
        self,
        send_ask: Callable[[Incarnation, TokenRequest], None],
    ) -> None:
        """Take the function that sends an ask to a holder."""
        self._send_ask = send_ask

    async def acquire(
        self,
        organisation: str,
        deadline: float,
    ) -> Refusal | None:
        """Spend one token of an organisation's rate.

        Parameters
        ----------
        organisation : str
            Organisation of the call.
        deadline : float
            Time after which nobody waits, in seconds.

        Returns
        -------
        Refusal or None
            None when the token was spent.
        """
        now = self._clock.now()
        if self._wallet.spend(organisation, now):
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
            return _TOO_LATE
        finally:
            self._future_by_ticket.pop(ticket, None)
            if not future.done() or future.cancelled():
                self.handle(WaitingCallCancelled(organisation, ticket))

    def handle(self, event: TokenCacheEvent) -> None:
        """Feed an event to the wallet and carry out its actions."""
        self._used.set()
        self._apply(self._wallet.handle(event, self._clock.now()))

    async def wait_until_active(self) -> None:
        """Wait until the wallet needs ticks, so that an idle one costs none."""
        await self._used.wait()

    def tick(self) -> None:
        """Let time pass for the wallet; the last tick is when it is idle."""
        self.handle(Tick())
        if self._wallet.is_idle():
            self._used.clear()

    def _apply(self, actions: Iterable[TokenCacheAction]) -> None:
        for action in actions:
            if isinstance(action, AdmitWaitingCall):
                self._settle(action.ticket, None)
                continue
            if isinstance(action, RefuseWaitingCall):
                self._settle(action.ticket, action.refusal)
                continue
            self._send_ask(action.holder, action.request)

    def _settle(self, ticket: int, refusal: Refusal | None) -> None:
        future = self._future_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_result(refusal)
