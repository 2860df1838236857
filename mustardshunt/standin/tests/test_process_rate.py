"""Process tests of the rate limit of an organisation.

All nodes in all data centres share this limit.
"""

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

# Rate at which the guild sends, as a multiple of its rate limit.
_OVERLOAD_FACTOR = 5
_GUILD_CALLS = 1000
# Calls per second that the museum sends, half of its rate limit of 60/s.
_MUSEUM_CALL_RATE = 30
_MUSEUM_CALLS = 150


async def test_rate_holds_across_nodes(shared_fleet):
    """All nodes together must not exceed the rate of an organisation.

    An organisation that stays within its rate must not be refused meanwhile.
    """
    loop = asyncio.get_running_loop()
    guild_calls = []
    museum_calls = []

    async def call(vm, key, calls):
        sent = loop.time()
        reply = await shared_fleet.send(vm, 'GET', '/catalogue/panels', key)
        calls.append((sent, loop.time(), reply))

    async def send_at_rate(key, rate, count, calls):
        vm_cycle = itertools.cycle(shared_fleet.vms)
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                due = start + number / rate
                await asyncio.sleep(max(0, due - loop.time()))
                group.create_task(call(next(vm_cycle), key, calls))

    await asyncio.gather(
        send_at_rate(
            GUILD_KEY, _OVERLOAD_FACTOR * GUILD_RATE, _GUILD_CALLS, guild_calls
        ),
        send_at_rate(
            MUSEUM_KEY, _MUSEUM_CALL_RATE, _MUSEUM_CALLS, museum_calls
        ),
    )
    answered = sorted(
        (sent, ended)
        for sent, ended, reply in guild_calls
        if reply.status == 200
    )
    guild_refusals = {
        reply.refusal for _, _, reply in guild_calls if reply.status != 200
    }
    assert guild_refusals == {('rate-exceeded', 'not-run')}
    assert len(answered) > GUILD_BURST
    # Each call is admitted at some time between its sending and its answer. A
    # window from the first sending to the last answer therefore contains the
    # admissions of all calls in the window. The only margin is one token. This
    # margin covers the fraction of a token in a bucket.
    for position, (start, _) in enumerate(answered):
        ends = sorted(ended for _, ended in answered[position:])
        for count, end in enumerate(ends, 1):
            allowed = GUILD_BURST + GUILD_RATE * (end - start) + 1
            assert count <= allowed, (count, allowed, end - start)
    museum_statuses = {reply.status for _, _, reply in museum_calls}
    assert museum_statuses == {200}, museum_calls
