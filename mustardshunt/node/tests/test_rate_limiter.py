"""Tests of when the token cache of a node gets ticks."""

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


async def test_idle_token_cache_needs_no_ticks():
    """Ticks must stop while the token cache is idle.

    Otherwise a node without callers would make 50 ticks a second. A cache whose
    token request has no reply must still get ticks.
    """
    clock = SimpleNamespace(now=float)
    limiter = RateLimiter(make_token_cache(OWN, 'east'), clock)
    limiter.connect(lambda holder, request: None)
    organisation = Organisation(NAME, 10, 10)
    limiter.handle(RateLimitsChanged({NAME: organisation}))
    holder = Incarnation('holder')
    row = ShareRow(partition_of(NAME), 1, {holder: 1_000_000})
    limiter.handle(ShareRowRead(row))
    limiter.tick()
    waiting = asyncio.create_task(limiter.wait_until_active())
    await asyncio.sleep(0)
    assert not waiting.done()
    call = asyncio.create_task(limiter.acquire(NAME, 5))
    async with asyncio.timeout(5):
        await waiting
    # The token request has no reply yet. Ticks are needed to detect its
    # timeout.
    limiter.tick()
    async with asyncio.timeout(5):
        await limiter.wait_until_active()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
