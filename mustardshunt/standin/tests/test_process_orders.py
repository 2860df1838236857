"""Real processes: orders repeated with the same idempotency key."""

import asyncio

import pytest

from mustardshunt.standin.tests.shared_fleet import digest, wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def send_order(world, vm, body, order_key):
    return await world.send(
        vm,
        'POST',
        '/orders',
        body=body,
        Idempotency_Key=order_key,
        Mustardshunt_Timeout_Ms='3000',
    )


async def test_repeats_at_all_nodes_run_once(world):
    """Guards against a claim that each node makes for itself."""
    body = b'repeated at the same time'
    replies = await asyncio.gather(*[
        send_order(world, vm, body, 'same-time') for vm in world.vms
    ])
    assert [reply.status for reply in replies] == [200] * len(replies), replies
    assert len({reply.text for reply in replies}) == 1
    later = await send_order(world, world.vms[-1], body, 'same-time')
    assert later.text == replies[0].text
    assert world.order_runs()[digest(body)] == 1


async def test_other_order_with_same_key_is_refused(world):
    """Guards against an answer that belongs to another order."""
    first, second = world.vms[:2]
    reply = await send_order(world, first, b'the one', 'conflict')
    assert reply.status == 200, reply
    other = await send_order(world, second, b'the other', 'conflict')
    assert other.refusal == ('idempotency-conflict', 'not-run')
    assert not world.order_runs()[digest(b'the other')]


async def test_repeat_after_first_node_was_killed(world):
    """Guards against a second run when the claim's owner is dead."""
    body = b'repeated after a kill'
    first = world.vm('north', 'catalogue')
    sending = asyncio.create_task(send_order(world, first, body, 'killed'))
    await wait_until(lambda: world.order_runs()[digest(body)], 'it runs')
    await world.node_by_name[first.name].kill()
    await sending
    others = [vm for vm in world.vms if vm is not first]
    replies = await asyncio.gather(*[
        send_order(world, vm, body, 'killed') for vm in others
    ])
    for reply in replies:
        told = (reply.status, *reply.refusal)
        assert told in {(200, '', ''), (409, 'duplicate', 'unknown')}
    assert world.order_runs()[digest(body)] == 1
