"""Process tests of a platform that is down, slow or loses answers."""

import asyncio
import re

import pytest

from mustardshunt.standin.tests.shared_fleet import (
    KEY,
    SHEET,
    digest,
    wait_until,
)

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def send_keyed_order(shared_fleet, vm, body, order_key):
    """Send an order with an idempotency key, which allows repetitions."""
    return await shared_fleet.send(
        vm,
        'POST',
        '/orders',
        body=body,
        Idempotency_Key=order_key,
        Mustardshunt_Timeout_Ms='5000',
    )


@pytest.mark.parametrize('mode', ['down', 'closed'])
async def test_only_keyed_orders_are_refused_while_platform_is_down(
    shared_fleet, mode
):
    """Calls must succeed while the platform is down, except keyed orders.

    Keyed orders are refused, because they may not run without a claim on the
    platform.
    """
    entry_vm = shared_fleet.vm('north', 'catalogue')
    await shared_fleet.fleet.set_platform_behaviour(mode=mode)
    for vm in shared_fleet.vms:
        for method, target in (
            ('GET', '/catalogue/panels'),
            ('POST', '/orders'),
        ):
            body = f'{mode} {vm.name}'.encode()
            reply = await shared_fleet.send(vm, method, target, body=body)
            assert reply.status == 200, (
                reply,
                await shared_fleet.describe_node(vm),
            )
    body = f'keyed while {mode}'.encode()
    reply = await send_keyed_order(shared_fleet, entry_vm, body, f'key-{mode}')
    assert reply.refusal == ('platform-unavailable', 'not-run')
    assert not shared_fleet.order_run_counts()[digest(body)]
    await shared_fleet.fleet.set_platform_behaviour(mode='up')

    async def is_answered():
        found = await send_keyed_order(
            shared_fleet, entry_vm, body, f'key-{mode}'
        )
        return found.status == 200

    await wait_until(is_answered, 'the keyed order runs later')
    assert shared_fleet.order_run_counts()[digest(body)] == 1


async def test_node_starts_while_platform_is_down(shared_fleet):
    """A node must start and serve calls while the platform is down."""
    version = await shared_fleet.head_version()
    count = len(shared_fleet.vms)
    observer = shared_fleet.vm('south', 'catalogue')
    await shared_fleet.fleet.set_platform_behaviour(mode='down')
    vm = shared_fleet.fleet.add_vm('north')
    node = await shared_fleet.fleet.start_node(vm)
    server = await shared_fleet.fleet.start_backend_server(vm, 'stock')
    await shared_fleet.fleet.wait_for_state(
        vm,
        {'version': version, 'serving': count + 1},
    )
    await wait_until(
        lambda: shared_fleet.has_serving_members(observer, count + 1),
        'the observer knows the new node',
    )
    reply = await shared_fleet.send(
        vm, 'POST', '/orders', body=b'at the new node'
    )
    assert reply.status == 200, reply
    before = await shared_fleet.run_count(vm)

    async def is_used():
        await shared_fleet.send(observer, 'POST', '/orders', body=b'any')
        return await shared_fleet.has_new_runs(vm, before)

    await wait_until(is_used, 'its backend server runs a call')
    await shared_fleet.fleet.set_platform_behaviour(mode='up')
    assert await node.stop() == 0
    await server.kill()


async def test_slow_platform_delays_no_call(shared_fleet):
    """Calls must not wait for the answers of a slow platform."""
    await shared_fleet.fleet.set_platform_behaviour(mode='slow', delay=10)
    for vm in shared_fleet.vms:
        reply = await shared_fleet.send(
            vm,
            'POST',
            '/orders',
            body=f'slow {vm.name}'.encode(),
            Mustardshunt_Timeout_Ms='5000',
        )
        assert reply.status == 200, reply


async def test_keyed_order_runs_once_when_answers_are_lost(shared_fleet):
    """A keyed order must run once and be answered.

    The claim for the order takes effect, but the platform loses the answer to
    the claim.
    """
    entry_vm = shared_fleet.vm('south', 'stock')
    for number in range(3):
        body = f'lost answer {number}'.encode()
        await shared_fleet.fleet.set_platform_behaviour(lose_answers=2)

        async def is_answered(body=body):
            reply = await send_keyed_order(
                shared_fleet, entry_vm, body, body.decode()[-1]
            )
            if reply.status != 200 and reply.effect == 'not-run':
                assert not shared_fleet.order_run_counts()[digest(body)], reply
            return reply.status == 200

        await wait_until(is_answered, 'the keyed order is answered')
        assert shared_fleet.order_run_counts()[digest(body)] == 1


async def test_racing_operators_do_not_lose_accepted_changes(shared_fleet):
    """An accepted sheet change must not be overwritten.

    Two operators accept sheets while another operator issues a key.
    """
    first = await shared_fleet.head_version()
    keys = []
    rate_by_version = {}
    versions = []
    for number in range(3):
        rates = (100 + number, 200 + number)
        files = [
            shared_fleet.write_file(
                f'operator-{rate}.csv',
                SHEET.replace('museum,60,', f'museum,{rate},'),
            )
            for rate in rates
        ]
        await shared_fleet.fleet.set_platform_behaviour(lose_answers=4)
        issued, *accepted = await asyncio.gather(
            shared_fleet.fleet.run_command('key', 'issue', 'aquarium'),
            *[
                shared_fleet.fleet.run_command('sheet', 'accept', f)
                for f in files
            ],
        )
        for rate, (status, text) in zip(rates, accepted, strict=True):
            if status == 0:
                rate_by_version[version_in(text)] = rate
                versions.append(version_in(text))
        if issued[0] == 0:
            versions.append(version_in(issued[1]))
            keys.append(issued_key(issued[1]))
    await shared_fleet.fleet.set_platform_behaviour(lose_answers=0)
    head = await shared_fleet.head_version()
    assert sorted(versions) == list(range(first + 1, head + 1))
    assert versions
    _, text = await shared_fleet.fleet.run_command('sheet', 'show')
    if rate_by_version:
        assert f'museum,{rate_by_version[max(rate_by_version)]}' in text
    for vm in shared_fleet.vms:
        await shared_fleet.fleet.wait_for_state(vm, {'version': head})
        for key in (KEY, *keys):
            reply = await shared_fleet.send(vm, 'GET', '/catalogue/panels', key)
            assert reply.status == 200, (
                reply,
                await shared_fleet.describe_node(vm),
            )
    status, text = await shared_fleet.accept_sheet(SHEET)
    assert status == 0, text


def version_in(text):
    found = re.search(r'version (\d+) in force', text)
    assert found, text
    return int(found[1])


def issued_key(text):
    found = re.search(r'^key[: ]+(\S+)$|^(\S{40,})$', text, re.MULTILINE)
    assert found, text
    return found[1] or found[2]
