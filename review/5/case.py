"""A planned stop cuts off answers that clients read slowly."""

import asyncio
import pathlib
import random
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import stand_ins as s  # noqa: E402

# Sizes that are tried in order to find some of which the kernel of this machine
# takes nearly all at once: the rest has to fit under asyncio's high-water mark.
TRIED_SIZES = range(16_000, 400_000, 4_000)
MOST_LEFT = 56_000
HIGH_WATER_MARK = 65_536
CLIENTS = 8
PAUSE_SECONDS = 4.0
DEADLINE_MS = 12000


class Sizes:
    async def __call__(self, upstream, request, writer):
        size = int(request[1].rpartition('/')[2])
        identifier = request[2]['mustardshunt-request-id']
        await asyncio.sleep(0.05)
        writer.write(upstream.answer(identifier, size))
        await writer.drain()
        return True


async def connect_slow_reader(host, port):
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    # Segments as on an Ethernet, so that the kernel's buffers are as there.
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    link.setblocking(False)
    await asyncio.get_running_loop().sock_connect(link, (host, port))
    return await asyncio.open_connection(sock=link, limit=2**14)


async def find_sizes(record):
    """Return sizes of which a part of at most MOST_LEFT stays unsent."""
    left_by_size = {}

    async def serve(reader, writer):
        size = int(await reader.readline())
        writer.write(b'x' * size)
        first_left = writer.transport.get_write_buffer_size()
        await asyncio.sleep(0.7)
        if first_left <= HIGH_WATER_MARK:
            left_by_size[size] = writer.transport.get_write_buffer_size()
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]

    async def probe(size):
        reader, writer = await connect_slow_reader('127.0.0.1', port)
        writer.transport.pause_reading()
        writer.write(b'%d\n' % size)
        await asyncio.sleep(1.0)
        writer.transport.abort()

    sizes = list(TRIED_SIZES)
    for start in range(0, len(sizes), 25):
        await asyncio.gather(*[probe(size) for size in sizes[start:start + 25]])
    server.close()
    found = [s for s, left in sorted(left_by_size.items()) if 0 < left <= MOST_LEFT]
    record.say(f'sizes with a small rest: {found}')
    return found


async def read_slowly(machine, record, size, outcomes):
    """Send a request, read its answer after a pause, in small pieces."""
    host, _, port = machine.outbound.rpartition(':')
    reader, writer = await connect_slow_reader(host, int(port))
    identifier = f'{random.getrandbits(64):016x}'
    record.write(f'client sends {identifier} for {size} bytes')
    writer.write((
        f'GET /read/{size} HTTP/1.1\r\nHost: shop.example\r\n'
        f'Mustardshunt-Request-Id: {identifier}\r\n'
        f'Mustardshunt-Deadline-Ms: {DEADLINE_MS}\r\n\r\n'
    ).encode())
    started = time.monotonic()
    writer.transport.pause_reading()
    await asyncio.sleep(PAUSE_SECONDS)
    writer.transport.resume_reading()
    got = 0
    try:
        head = await s.read_head(reader)
        length = int(head[1]['content-length'])
        while got < length:
            piece = await reader.read(2**14)
            if not piece:
                break
            got += len(piece)
        status = int(head[0].split(' ')[1])
        outcome = 'complete' if got == length else f'cut after {got} of {length} bytes'
    except (OSError, TypeError) as error:
        status, outcome = 0, f'connection ended: {error!r}'
    outcomes.append((identifier, size, status, outcome, time.monotonic() - started))
    record.write(f'client gets {identifier}: {status} {outcome}')
    writer.close()


async def case(record, scratch, machines):
    store = s.Store()
    await store.start()
    store.put('op', 'config', s.make_policy(1, {
        'r-read': s.make_route(
            'shop.example', '/read/', 'books', 'idempotent', '12000ms',
            '2000ms'),
    }, ('books', 'front')))
    machines += [
        s.Machine('m-books', 'zone-a', 'books', store, scratch, record),
        s.Machine('m-front', 'zone-a', 'front', store, scratch, record),
    ]
    backend, front = machines
    books = s.Upstream(backend, record, slots=213)
    books.special = Sizes()
    for machine, upstream in (
        (backend, books), (front, s.Upstream(front, record)),
    ):
        await upstream.start()
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(4.0)
    found = await find_sizes(record)
    if not found:
        return s.NOT_RUN
    outcomes = []
    tasks = [
        asyncio.create_task(read_slowly(
            front, record, found[number % len(found)], outcomes))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
    record.say(f'm-front: {front.memory_in_mb():.0f} MB')
    if s.TROUBLE:
        front.signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    cut = [o for o in outcomes if o[2] == 200 and o[3] != 'complete' or o[2] == 0]
    for identifier, size, status, outcome, seconds in sorted(outcomes, key=lambda o: o[1]):
        record.say(f'{identifier} {size} bytes: {status} {outcome} ({seconds:.1f} s)')
    record.say(f'answers cut off by the planned stop: {len(cut)} of {len(outcomes)}')
    if not any(books.runs.values()):
        return s.NOT_RUN
    return s.BROKEN if cut else s.HELD


s.run_case(case, FOLDER)
