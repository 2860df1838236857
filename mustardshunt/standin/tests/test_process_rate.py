"""Real processes: an organisation's rate across nodes and data centres."""

import asyncio
import itertools

import pytest

from mustardshunt.standin.tests.shared_fleet import (
    GUILD_BURST,
    GUILD_KEY,
    GUILD_RATE,
    MUSEUM_KEY,
)

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]

# How many times its rate the guild sends, and how often in all.
_FACTOR = 5
_GUILD_CALLS = 1000
# Half of the museum's rate of 60/s.
_MUSEUM_RATE = 30
_MUSEUM_CALLS = 150


async def test_rate_holds_across_nodes(world):
    """Guards against nodes that each allow a whole rate."""
    loop = asyncio.get_running_loop()
    guild = []
    museum = []

    async def call(vm, key, spans):
        sent = loop.time()
        reply = await world.send(vm, 'GET', '/catalogue/panels', key)
        spans.append((sent, loop.time(), reply))

    async def call_often(key, rate, count, spans):
        places = itertools.cycle(world.vms)
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                due = start + number / rate
                await asyncio.sleep(max(0, due - loop.time()))
                group.create_task(call(next(places), key, spans))

    await asyncio.gather(
        call_often(GUILD_KEY, _FACTOR * GUILD_RATE, _GUILD_CALLS, guild),
        call_often(MUSEUM_KEY, _MUSEUM_RATE, _MUSEUM_CALLS, museum),
    )
    answered = sorted(
        (sent, ended) for sent, ended, reply in guild if reply.status == 200
    )
    refused = {reply.refusal for _, _, reply in guild if reply.status != 200}
    assert refused == {('rate-exceeded', 'not-run')}
    assert len(answered) > GUILD_BURST
    # Each decision lies between the sending and the answer of its call, so a
    # window from the first sending to the last answer needs no allowance but
    # the fraction of a token.
    for position, (start, _) in enumerate(answered):
        ends = sorted(ended for _, ended in answered[position:])
        for count, end in enumerate(ends, 1):
            allowed = GUILD_BURST + GUILD_RATE * (end - start) + 1
            assert count <= allowed, (count, allowed, end - start)
    within = {reply.status for _, _, reply in museum}
    assert within == {200}, museum
