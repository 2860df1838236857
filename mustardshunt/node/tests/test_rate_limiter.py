"""When the wallet of a node needs ticks."""

import asyncio
from types import SimpleNamespace

from mustardshunt.base import Incarnation
from mustardshunt.node._tokens import TokenSource
from mustardshunt.rate import (
    RatesSeen,
    RowSeen,
    ShareRow,
    make_wallet,
    partition_of,
)
from mustardshunt.sheet import Organisation

OWN = Incarnation('own')
NAME = 'vitrina'


async def test_ticks_are_needed_only_while_the_wallet_is_used():
    """Guards against 50 ticks a second of a node that has no callers."""
    clock = SimpleNamespace(now=float)
    desk = TokenSource(make_wallet(OWN, 'east'), clock)
    desk.start(lambda holder, ask: None)
    organisation = Organisation(NAME, 10, 10)
    desk.handle(RatesSeen({NAME: organisation}))
    holder = Incarnation('holder')
    row = ShareRow(partition_of(NAME), 1, {holder: 1_000_000})
    desk.handle(RowSeen(row))
    desk.tick()
    waiting = asyncio.create_task(desk.wait_until_used())
    await asyncio.sleep(0)
    assert not waiting.done()
    call = asyncio.create_task(desk.take(NAME, 5))
    async with asyncio.timeout(5):
        await waiting
    # The ask is still open, so its timeout has to be noticed.
    desk.tick()
    async with asyncio.timeout(5):
        await desk.wait_until_used()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
