"""When the wallet of a node needs ticks."""

import asyncio
from types import SimpleNamespace

from mustardshunt.base import Incarnation
from mustardshunt.node._rate_limiter import RateLimiter
from mustardshunt.rate import (
    RateLimitsChanged,
    ShareRow,
    ShareRowRead,
    make_token_cache,
    partition_of,
)
from mustardshunt.sheet import Organisation

OWN = Incarnation('own')
NAME = 'vitrina'


async def test_ticks_are_needed_only_while_the_wallet_is_used():
    """Guards against 50 ticks a second of a node that has no callers."""
    clock = SimpleNamespace(now=float)
    desk = RateLimiter(make_token_cache(OWN, 'east'), clock)
    desk.connect(lambda holder, ask: None)
    organisation = Organisation(NAME, 10, 10)
    desk.handle(RateLimitsChanged({NAME: organisation}))
    holder = Incarnation('holder')
    row = ShareRow(partition_of(NAME), 1, {holder: 1_000_000})
    desk.handle(ShareRowRead(row))
    desk.tick()
    waiting = asyncio.create_task(desk.wait_until_active())
    await asyncio.sleep(0)
    assert not waiting.done()
    call = asyncio.create_task(desk.acquire(NAME, 5))
    async with asyncio.timeout(5):
        await waiting
    # The ask is still open, so its timeout has to be noticed.
    desk.tick()
    async with asyncio.timeout(5):
        await desk.wait_until_active()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
