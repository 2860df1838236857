"""Process tests of the path of a call, and of refused calls."""

import asyncio

import pytest

from mustardshunt.standin.tests.raw_http import RawConnection
from mustardshunt.standin.tests.shared_fleet import (
    ALL_KEYS,
    KEY,
    LOW_RATE_KEY,
    REVOKED_KEY,
    digest,
    parse_echo,
    wait_until,
)

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='session'),
]


async def test_call_reaches_other_vm_without_key(shared_fleet):
    """The API key of the caller must not reach a backend server."""
    entry_vm = shared_fleet.vm('north', 'stock')
    body = b'{"tank": "reef"}'
    reply = await shared_fleet.send(
        entry_vm,
        'POST',
        '/orders',
        body=body,
        Mustardshunt_Timeout_Ms='4000',
    )
    order = parse_echo(reply)
    assert order['service'] == 'order'
    assert order['body'] == body.decode()
    child = order['children'][0]
    assert child['status'] == 200, child
    assert '"service": "stock"' in child['body']
    assert KEY not in reply.text
    assert 'authorization' not in reply.text.lower()


async def test_child_call_inherits_deadline(shared_fleet):
    """A child call must not outlive the deadline of its parent call."""
    reply = await shared_fleet.send(
        shared_fleet.vm('north', 'stock'),
        'POST',
        '/orders',
        body=b'deadline',
        Mustardshunt_Timeout_Ms='4000',
    )
    order = parse_echo(reply)
    headers = order['headers']
    stock = parse_echo(type(reply)(200, '', '', order['children'][0]['body']))
    # The caller's timeout of 4 s replaces the 10 s that the route allows. The
    # order runs for 0.1 s, so less time is left for its child call.
    assert int(headers['mustardshunt-timeout-ms']) <= 4000
    child_left = int(stock['headers']['mustardshunt-timeout-ms'])
    assert 0 < child_left < int(headers['mustardshunt-timeout-ms'])
    assert stock['headers']['mustardshunt-call'] != headers['mustardshunt-call']


@pytest.mark.parametrize(
    ('expected', 'method', 'target', 'key', 'headers'),
    [
        ('no-key', 'POST', '/orders', None, {}),
        ('unknown-key', 'POST', '/orders', 'no-such-key', {}),
        ('unknown-route', 'POST', '/nowhere', KEY, {}),
        ('internal-route', 'GET', '/stock/glass', KEY, {}),
        ('key-in-request', 'POST', '/orders', KEY, {'X_Copy': KEY}),
        (
            'bad-request',
            'POST',
            '/orders',
            KEY,
            {'Mustardshunt_Timeout_Ms': 'soon'},
        ),
    ],
)
async def test_refused_call_does_not_run(
    shared_fleet,
    expected,
    method,
    target,
    key,
    headers,
):
    """A call that was refused with the effect ``not-run`` must not run."""
    body = f'refused {expected}'.encode()
    reply = await shared_fleet.send(
        shared_fleet.vm('south', 'stock'),
        method,
        target,
        key,
        body,
        **headers,
    )
    assert reply.refusal == (expected, 'not-run')
    assert not shared_fleet.order_run_counts()[digest(body)]


async def test_call_over_rate_does_not_run(shared_fleet):
    """An order refused because of the organisation's rate must not run.

    Each order that was not refused must run.
    """
    vm = shared_fleet.vm('north', 'catalogue')
    bodies = [f'over rate {number}'.encode() for number in range(40)]
    replies = await asyncio.gather(*[
        shared_fleet.send(vm, 'POST', '/orders', LOW_RATE_KEY, body)
        for body in bodies
    ])
    runs = shared_fleet.order_run_counts()
    refused = 0
    for body, reply in zip(bodies, replies, strict=True):
        if reply.reason == 'rate-exceeded':
            refused += 1
            assert reply.effect == 'not-run'
        assert runs[digest(body)] == (reply.status == 200), reply
    assert refused


async def test_revoked_key_is_refused_on_open_connection(shared_fleet):
    """Each request must be checked for a revoked key.

    A check only when the connection opens would miss the revocation.
    """
    vm = shared_fleet.vm('south', 'order')
    head = (
        f'GET /catalogue/panels HTTP/1.1\nAuthorization: Bearer {REVOKED_KEY}'
    )
    async with RawConnection(vm, vm.ports.caller) as connection:
        assert (await connection.send_request(head)).status == 200
        status, text = await shared_fleet.fleet.run_command(
            'key',
            'revoke',
            REVOKED_KEY,
        )
        assert status == 0, text

        async def is_refused():
            reply = await connection.send_request(head)
            return reply.refusal == ('unknown-key', 'not-run')

        await wait_until(is_refused, 'the revoked key is refused')


async def test_child_call_without_running_parent_is_refused(shared_fleet):
    """A child call without a running parent call must be refused.

    The reference in the child call is unknown, or belongs to a call that has
    finished.
    """
    vm = shared_fleet.vm('north', 'order')
    reply = await shared_fleet.send(vm, 'POST', '/orders', body=b'finished')
    finished = parse_echo(reply)['headers']['mustardshunt-call']
    for reference in ('0' * 32, finished):
        async with RawConnection(vm, vm.ports.backend) as connection:
            answer = await connection.send_request(
                f'GET /stock/glass HTTP/1.1\nMustardshunt-Call: {reference}',
            )
        assert answer.refusal == ('unknown-call', 'not-run')


async def test_no_key_in_logs_metrics_and_state(shared_fleet):
    """The logs, metrics and state of a node must contain no API key."""
    for vm in shared_fleet.vms:
        texts = [shared_fleet.fleet.read_log(f'{vm.name}-node')]
        for path in ('/metrics', '/state'):
            async with shared_fleet.session.get(
                vm.metrics_url + path
            ) as response:
                texts.append(await response.text())
        for key in ALL_KEYS:
            assert not any(key in text for text in texts)
