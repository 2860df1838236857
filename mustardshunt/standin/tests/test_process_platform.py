"""Real processes: the platform down, slow and losing answers."""

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


async def send_keyed(world, vm, body, order_key):
    """Send an order that its caller may repeat."""
    return await world.send(
        vm,
        'POST',
        '/orders',
        body=body,
        Idempotency_Key=order_key,
        Mustardshunt_Timeout_Ms='5000',
    )


@pytest.mark.parametrize('mode', ['down', 'closed'])
async def test_platform_down(world, mode):
    """Guards against calls that need the platform, and keyed orders
    that run without their record."""
    entry = world.vm('north', 'catalogue')
    await world.fleet.set_platform_behaviour(mode=mode)
    for vm in world.vms:
        for method, target in (
            ('GET', '/catalogue/panels'),
            ('POST', '/orders'),
        ):
            body = f'{mode} {vm.name}'.encode()
            reply = await world.send(vm, method, target, body=body)
            assert reply.status == 200, (reply, await world.describe_node(vm))
    body = f'keyed while {mode}'.encode()
    reply = await send_keyed(world, entry, body, f'key-{mode}')
    assert reply.refusal == ('platform-unavailable', 'not-run')
    assert not world.order_runs()[digest(body)]
    await world.fleet.set_platform_behaviour(mode='up')

    async def is_answered():
        found = await send_keyed(world, entry, body, f'key-{mode}')
        return found.status == 200

    await wait_until(is_answered, 'the keyed order runs later')
    assert world.order_runs()[digest(body)] == 1


async def test_node_starts_while_platform_is_down(world):
    """Guards against a node that cannot boot without the platform."""
    version = await world.head_version()
    count = len(world.vms)
    observer = world.vm('south', 'catalogue')
    await world.fleet.set_platform_behaviour(mode='down')
    vm = world.fleet.add_vm('north')
    node = await world.fleet.start_node(vm)
    server = await world.fleet.start_backend_server(vm, 'stock')
    await world.fleet.wait_for_state(
        vm,
        {'version': version, 'serving': count + 1},
    )
    await wait_until(lambda: world.serves(observer, count + 1), 'it is known')
    reply = await world.send(vm, 'POST', '/orders', body=b'at the new node')
    assert reply.status == 200, reply
    before = await world.runs(vm)

    async def is_used():
        await world.send(observer, 'POST', '/orders', body=b'any')
        return await world.has_run(vm, before)

    await wait_until(is_used, 'its backend server gets calls')
    await world.fleet.set_platform_behaviour(mode='up')
    assert await node.stop() == 0
    await server.kill()


async def test_slow_platform_delays_no_call(world):
    """Guards against calls that wait for the platform."""
    await world.fleet.set_platform_behaviour(mode='slow', delay=10)
    for vm in world.vms:
        reply = await world.send(
            vm,
            'POST',
            '/orders',
            body=f'slow {vm.name}'.encode(),
            Mustardshunt_Timeout_Ms='5000',
        )
        assert reply.status == 200, reply


async def test_lost_answer_runs_keyed_order_once(world):
    """Guards against a claim that took effect although its answer was lost."""
    entry = world.vm('south', 'stock')
    for number in range(3):
        body = f'lost answer {number}'.encode()
        await world.fleet.set_platform_behaviour(lose_answers=2)

        async def is_answered(body=body):
            reply = await send_keyed(world, entry, body, body.decode()[-1])
            if reply.status != 200 and reply.effect == 'not-run':
                assert not world.order_runs()[digest(body)], reply
            return reply.status == 200

        await wait_until(is_answered, 'the keyed order is answered')
        assert world.order_runs()[digest(body)] == 1


async def test_racing_operators_lose_no_change(world):
    """Guards against a version that overwrites one accepted meanwhile."""
    first = await world.head_version()
    keys = []
    rate_by_version = {}
    versions = []
    for number in range(3):
        rates = (100 + number, 200 + number)
        files = [
            world.write_file(
                f'operator-{rate}.csv',
                SHEET.replace('museum,60,', f'museum,{rate},'),
            )
            for rate in rates
        ]
        await world.fleet.set_platform_behaviour(lose_answers=4)
        issued, *accepted = await asyncio.gather(
            world.fleet.run_command('key', 'issue', 'aquarium'),
            *[world.fleet.run_command('sheet', 'accept', f) for f in files],
        )
        for rate, (status, text) in zip(rates, accepted, strict=True):
            if status == 0:
                rate_by_version[version_in(text)] = rate
                versions.append(version_in(text))
        if issued[0] == 0:
            versions.append(version_in(issued[1]))
            keys.append(issued_key(issued[1]))
    await world.fleet.set_platform_behaviour(lose_answers=0)
    head = await world.head_version()
    assert sorted(versions) == list(range(first + 1, head + 1))
    assert versions
    _, text = await world.fleet.run_command('sheet', 'show')
    if rate_by_version:
        assert f'museum,{rate_by_version[max(rate_by_version)]}' in text
    for vm in world.vms:
        await world.fleet.wait_for_state(vm, {'version': head})
        for key in (KEY, *keys):
            reply = await world.send(vm, 'GET', '/catalogue/panels', key)
            assert reply.status == 200, (reply, await world.describe_node(vm))
    status, text = await world.accept_sheet(SHEET)
    assert status == 0, text


def version_in(text):
    found = re.search(r'version (\d+) in force', text)
    assert found, text
    return int(found[1])


def issued_key(text):
    found = re.search(r'^key[: ]+(\S+)$|^(\S{40,})$', text, re.MULTILINE)
    assert found, text
    return found[1] or found[2]
