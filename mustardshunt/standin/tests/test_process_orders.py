"""Process tests of orders repeated with the same idempotency key."""

import asyncio

import pytest

from mustardshunt.standin.tests.shared_fleet import digest, wait_until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def send_order(shared_fleet, vm, body, order_key):
    return await shared_fleet.send(
        vm,
        'POST',
        '/orders',
        body=body,
        Idempotency_Key=order_key,
        Mustardshunt_Timeout_Ms='3000',
    )


async def test_order_repeated_at_all_nodes_runs_once(shared_fleet):
    """An order that is sent to all nodes at once must run only once.

    All the requests carry the same idempotency key.
    """
    body = b'repeated at the same time'
    replies = await asyncio.gather(*[
        send_order(shared_fleet, vm, body, 'same-time')
        for vm in shared_fleet.vms
    ])
    assert [reply.status for reply in replies] == [200] * len(replies), replies
    assert len({reply.text for reply in replies}) == 1
    later = await send_order(
        shared_fleet, shared_fleet.vms[-1], body, 'same-time'
    )
    assert later.text == replies[0].text
    assert shared_fleet.order_run_counts()[digest(body)] == 1


async def test_different_order_with_same_key_is_refused(shared_fleet):
    """The idempotency key of one order must not serve another order.

    Otherwise the caller would get the result of the first order.
    """
    first, second = shared_fleet.vms[:2]
    reply = await send_order(shared_fleet, first, b'the one', 'conflict')
    assert reply.status == 200, reply
    other = await send_order(shared_fleet, second, b'the other', 'conflict')
    assert other.refusal == ('idempotency-conflict', 'not-run')
    assert not shared_fleet.order_run_counts()[digest(b'the other')]


async def test_order_repeated_after_node_was_killed_runs_once(shared_fleet):
    """An order must not run again after the node with its claim was killed."""
    body = b'repeated after a kill'
    first = shared_fleet.vm('north', 'catalogue')
    sending = asyncio.create_task(
        send_order(shared_fleet, first, body, 'killed')
    )
    await wait_until(
        lambda: shared_fleet.order_run_counts()[digest(body)], 'the order runs'
    )
    await shared_fleet.node_by_name[first.name].kill()
    await sending
    others = [vm for vm in shared_fleet.vms if vm is not first]
    replies = await asyncio.gather(*[
        send_order(shared_fleet, vm, body, 'killed') for vm in others
    ])
    for reply in replies:
        outcome = (reply.status, *reply.refusal)
        assert outcome in {(200, '', ''), (409, 'duplicate', 'unknown')}
    assert shared_fleet.order_run_counts()[digest(body)] == 1
