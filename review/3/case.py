"""An upstream sends some answers without end; the sidecar beside it dies."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import stand_ins as s  # noqa: E402

# Two upstreams' part of catalogue-browse on the site: 372 a second over four.
RATE_PER_S = 186
DEADLINE_MS = 5000
# Largest dose of garble (unframed) on the site.
SPOILED_SHARE = 0.05
SPOILED_SECONDS = 5.0
# Together the streams stay below the 1,000 Mbit/s of a link.
STREAM_BYTES_PER_S = 5_400_000
SECONDS = 10.0
KEPT_CLIENTS = 10


class EndlessAnswers:
    """Spoils one answer in 20: its body goes on until the caller closes."""

    def __init__(self, record):
        self._record = record
        self._count = 0
        self.begins_at = 0.0
        self.spoiled = 0

    async def __call__(self, upstream, request, writer):
        since = time.monotonic() - self.begins_at
        if not s.TROUBLE or not 0 <= since < SPOILED_SECONDS:
            return None
        self._count += 1
        if self._count % round(1 / SPOILED_SHARE):
            return None
        identifier = request[2]['mustardshunt-request-id']
        self.spoiled += 1
        self._record.write(f'answer without end to {identifier}')
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Mustardshunt-Request-Id: {identifier}\r\n'
                'Mustardshunt-Response-Stamp: 3e1b.07\r\n'
                'Connection: close\r\n\r\n'
            ).encode()
        )
        piece = b'x' * 65536
        started, sent = time.monotonic(), 0
        while True:
            due = (time.monotonic() - started) * STREAM_BYTES_PER_S
            while sent < due:
                writer.write(piece)
                sent += len(piece)
            await writer.drain()
            await asyncio.sleep(0.01)


async def send_at_rate(client_machine, record, until):
    """Send requests to the faulty upstream, each on its own connection."""
    tasks = set()
    due = time.monotonic()

    async def send_one():
        client = s.Client(client_machine, record)
        await client.request('GET', 'shop.example', '/browse/1', DEADLINE_MS)
        client.close()

    while time.monotonic() < until:
        due += 1 / RATE_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(send_one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def send_orders(machine, record, until, outcomes):
    """Send orders one after the other on one kept connection."""
    client = s.Client(machine, record)
    while time.monotonic() < until:
        outcomes.append(
            await client.request('POST', 'shop.example', '/order/1', 6000, b'o')
        )
        if not isinstance(outcomes[-1][1], int):
            await asyncio.sleep(0.3)
    client.close()


async def case(record, scratch, machines):
    store = s.Store()
    await store.start()
    services = ('browse', 'orders', 'front')
    store.put('op', 'config', s.make_policy(1, {
        'r-browse': s.make_route(
            'shop.example', '/browse/', 'browse', 'idempotent', '5000ms',
            '1200ms', 1),
        'r-order': s.make_route(
            'shop.example', '/order/', 'orders', 'non_idempotent', '6000ms',
            '2000ms'),
    }, services))
    names = (
        ('m-browse', 'browse'), ('m-orders', 'orders'), ('m-front', 'front'),
        ('m-browse-2', 'browse'),
    )
    machines += [
        s.Machine(name, 'zone-a', service, store, scratch, record)
        for name, service in names
    ]
    faulty, sound, front, other = machines
    endless = EndlessAnswers(record)
    upstreams = [
        s.Upstream(faulty, record, work=0.06, slots=213),
        s.Upstream(sound, record, work=0.5, slots=213),
        s.Upstream(front, record),
        s.Upstream(other, record, work=0.06, slots=213),
    ]
    upstreams[0].special = endless
    for machine, upstream in zip(machines, upstreams, strict=True):
        await upstream.start()
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(3.0)
    watch = [asyncio.create_task(m.enforce_memory()) for m in machines]
    until = time.monotonic() + SECONDS
    endless.begins_at = time.monotonic() + 2.0
    outcomes = []
    await asyncio.gather(
        send_at_rate(front, record, until),
        *[
            send_orders(faulty, record, until, outcomes)
            for _ in range(KEPT_CLIENTS)
        ],
    )
    for task in watch:
        task.cancel()
    orders = upstreams[1]
    answered = sum(outcome == 200 for _, outcome in outcomes)
    lost = [
        identifier
        for identifier, outcome in outcomes
        if str(outcome).startswith('connection ended')
        and orders.runs[identifier]
    ]
    record.say(f'answers without end: {endless.spoiled}')
    record.say(
        'peak memory: '
        + ', '.join(f'{m.name} {m.peak_mb:.0f} MB' for m in machines)
    )
    record.say(f'killed for memory: {sum(len(m.killed_for_memory) for m in machines)}')
    record.say(f'orders: {len(outcomes)} sent, {answered} answered with 200')
    record.say(
        f'orders passed on to the sound upstream whose kept connection '
        f'ended without an answer: {len(lost)} (LOST allows 3)'
    )
    if not answered:
        return s.NOT_RUN
    return s.BROKEN if len(lost) > 3 else s.HELD


s.run_case(case, FOLDER)
