"""Stand-ins of the platform for the cases of the review: standard library only.

They speak what PROTOCOL.md describes: the row store, upstreams with their
status reports, and clients. Each machine has a loopback address of its own.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
_DRAWN = set()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def write(self, text):
        self._file.write(f'{time.monotonic() - self._start:8.3f} {text}\n')

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


def draw_address():
    """Return an unused loopback address for one machine."""
    return f'127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}'


def free_port(ip):
    """Return a free port below those that the kernel gives to connections."""
    for _ in range(100):
        port = random.randint(12000, 31000)
        if (ip, port) in _DRAWN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _DRAWN.add((ip, port))
        return port
    raise OSError(f'no free port at {ip}')


async def read_head(reader):
    """Return the first line and the headers, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ', 2)
    body = b''
    length = int(head[1].get('content-length', '0'))
    if length:
        body = await reader.readexactly(length)
    return method, target, head[1], body


def render(status, headers, body):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """Row store of the platform: linearizable, loses nothing."""

    def __init__(self):
        self.ip = draw_address()
        self.port = 0
        self._version = 0
        # Machines to which the store gives no response, those of which it holds
        # a feed call, and the ports at which it serves single machines.
        self.silent_to = set()
        self.feeds = collections.Counter()
        self._port_by_machine = {}
        self._rows = {}
        self._changes = []
        self._changed = asyncio.Event()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def start_for(self, machine):
        """Listen at a port for one machine, so that it can be told apart."""
        async def serve(reader, writer):
            await self._serve(reader, writer, machine)

        server = await asyncio.start_server(serve, self.ip, 0)
        self._port_by_machine[machine] = server.sockets[0].getsockname()[1]

    def address_for(self, machine):
        return f'{self.ip}:{self._port_by_machine.get(machine, self.port)}'

    def put(self, table, key, value):
        self._apply(
            table, key, base64.b64encode(json.dumps(value).encode()).decode()
        )

    def remove(self, table, key):
        self._apply(table, key, None)

    def _apply(self, table, key, value):
        self._version += 1
        row = {'table': table, 'part': '', 'key': key, 'ver': self._version}
        if value is None:
            self._rows.pop((table, key), None)
            row['removed'] = True
        else:
            row['value'] = value
            self._rows[table, key] = row
        self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer, machine=''):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                is_feed = request[1].startswith('/rows-feed?table=op')
                self.feeds[machine] += is_feed
                status, content = await self._answer(*request)
                self.feeds[machine] -= is_feed
                if machine in self.silent_to:
                    # The response is lost; the connection delivers nothing
                    # further.
                    await reader.read()
                    break
                writer.write(
                    render(
                        status,
                        {'Content-Type': 'application/json'},
                        json.dumps(content).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, headers, body):
        path, _, text = target.partition('?')
        query = dict(
            pair.partition('=')[::2] for pair in text.split('&') if pair
        )
        now = f'{int(time.monotonic() * 1000)}ms'
        if path == '/rows-get':
            rows = [
                row
                for (table, _), row in sorted(self._rows.items())
                if table == query['table']
            ]
            return 200, {
                'rows': rows, 'has_more': False, 'ver': self._version, 'now': now
            }
        if path == '/rows-feed':
            rows = await self._feed(query)
            return 200, {'rows': rows, 'ver': self._version, 'now': now}
        if path == '/rows-tx' and method == 'POST':
            return self._transact(json.loads(body), now)
        return 404, {}

    async def _feed(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _transact(self, entries, now):
        for wanted in entries.get('precondition', []):
            stored = self._rows.get((wanted['table'], wanted['key']))
            if (stored['ver'] if stored else 0) != wanted['ver']:
                rows = [stored] if stored else []
                return 412, {'rows': rows, 'ver': self._version, 'now': now}
        for row in entries.get('writes', []):
            self._apply(row['table'], row['key'], row['value'])
        for row in entries.get('remove', []):
            self._apply(row['table'], row['key'], None)
        return 200, {'ver': self._version, 'now': now}


def make_policy(version, routes, services, tenants=None):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'health_path': '/healthz', 'max_connections': 364,
                'protocol': 'h1', 'tls': False, 'warmup': '3s',
                'cold_per_s': 45,
            }
            for name in services
        },
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 67108864,
            'header_timeout': '3000ms', 'idle_timeout': '15000ms',
        },
        'tenants': tenants or {},
    }


def make_route(host, prefix, service, kind, timeout, target, priority=0):
    return {
        'host': host, 'prefix': prefix, 'kind': kind, 'timeout': timeout,
        'target_latency': target, 'priority': priority, 'service': service,
        'max_attempts': 2, 'auth_exempt': True,
    }


class Machine:
    """One machine: addresses, the sidecar process, the upstream beside it."""

    def __init__(self, name, zone, service, store, folder, record):
        self.name, self.zone, self.service = name, zone, service
        self.ip = draw_address()
        self.app = f'{self.ip}:{free_port(self.ip)}'
        self.outbound = f'{self.ip}:{free_port(self.ip)}'
        self.inbound = f'{self.ip}:{free_port(self.ip)}'
        self.ready = f'{self.ip}:{free_port(self.ip)}'
        self.control = f'{self.ip}:{free_port(self.ip)}'
        self._store, self._record = store, record
        self.settings = pathlib.Path(folder) / f'{name}.ini'
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.process = None
        self.memory_mb = 300
        self.killed_for_memory = []
        self.peak_mb = 0.0
        self.ratio = '0.2'

    def write_settings(self, first_start):
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        self._role = deploy['roles']['sidecar']
        template = (REPOSITORY / self._role['template']).read_text(
            encoding='utf-8'
        )
        values = {
            'node': self.name, 'zone': self.zone, 'service': self.service,
            'app': self.app, 'first_start': str(first_start).lower(),
            'limits.memory_mb': str(self.memory_mb),
            'listen.outbound': self.outbound, 'listen.inbound': self.inbound,
            'listen.ready': self.ready, 'listen.control': self.control,
            'ip': self.ip,
            'platform.address': self._store.address_for(self.name),
            'heartbeat': '1500ms', 'bounds.grace': '6s',
            'bounds.retry_budget_ratio': self.ratio,
            'bounds.budget_window': '10s', 'bounds.budget_min_retries': '48',
            'bounds.quota_overage': '0.1', 'bounds.quota_slack': '20',
        }
        text = re.sub(
            r'\{\{([a-z_.]+)\}\}', lambda found: values[found[1]], template
        )
        fresh = self.settings.with_suffix('.new')
        fresh.write_text(text, encoding='utf-8')
        fresh.replace(self.settings)

    def start(self, first_start=True):
        self.write_settings(first_start)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MUSTARDSHUNT_SETTINGS'] = str(self.settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                shlex.split(self._role['run']), cwd=REPOSITORY,
                env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._record.write(f'{self.name}: sidecar started')

    def signal(self, number):
        self._record.say(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, seconds=15.0):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, TimeoutError):
                status, _, _ = await fetch(self.ready, 'GET', '/readyz', {})
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name}: not ready')

    def memory_in_mb(self):
        """Return the resident memory of the sidecar, 0 if it has ended."""
        with contextlib.suppress(OSError, ValueError):
            text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
            pages = int(text.split()[1])
            return pages * os.sysconf('SC_PAGE_SIZE') / 2**20
        return 0.0

    async def enforce_memory(self, restarts=True):
        """Kill the process above memory_mb, as the platform does."""
        while True:
            await asyncio.sleep(0.01)
            if not self.is_running():
                continue
            used = self.memory_in_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used <= self.memory_mb:
                continue
            self._record.say(
                f'{self.name}: {used:.0f} MB used, above memory_mb '
                f'{self.memory_mb}: killed'
            )
            self.killed_for_memory.append(time.monotonic())
            self.process.kill()
            self.process.wait()
            if restarts:
                await asyncio.sleep(0.5)
                self.start(first_start=False)

    def stop(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def fetch(address, method, target, headers, body=b''):
    """Send one request on a new connection, return status, headers, body."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            return await exchange(reader, writer, method, target, headers, body)
        finally:
            writer.close()


async def exchange(reader, writer, method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
    head = await read_head(reader)
    if head is None:
        raise ConnectionError('closed without an answer')
    length = int(head[1].get('content-length', '0'))
    try:
        content = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError(
            f'answer cut after {len(error.partial)} of {length} bytes'
        ) from error
    return int(head[0].split(' ')[1]), head[1], content


class Upstream:
    """Application upstream of a machine; counts what it runs.

    ``behave`` is a coroutine that gets the request and the writer and answers.
    """

    def __init__(self, machine, record, work=0.05, size=400, slots=44):
        self._machine, self._record = machine, record
        self.work, self.size, self.slots = work, size, slots
        self.instance = f'i-{random.getrandbits(32):08x}'
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.runs = collections.Counter()
        self.finished_at = {}
        self.special = None

    async def start(self):
        host, _, port = self._machine.app.rpartition(':')
        await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self._sequence += 1
            report = {
                'service': self._machine.service,
                'address': self._machine.app, 'zone': self._machine.zone,
                'version': 'v1', 'slots': self.slots, 'state': 'ready',
                'cold_remaining': '0ms', 'sequence': self._sequence,
                'born': self._born,
            }
            with contextlib.suppress(OSError, TimeoutError, ConnectionError):
                await fetch(
                    self._machine.control, 'PUT', f'/instances/{self.instance}',
                    {'Content-Type': 'application/json'},
                    json.dumps(report).encode(),
                )
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._run(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, request, writer):
        method, target, headers, body = request
        identifier = headers.get('mustardshunt-request-id', '')
        expected = headers.get('mustardshunt-expect-instance')
        if expected and expected != self.instance:
            writer.write(
                render(421, {'Mustardshunt-Instance-Id': self.instance}, b'')
            )
            return True
        self.runs[identifier] += 1
        self._record.write(f'{self._machine.name}: upstream runs {identifier}')
        if self.special is not None:
            handled = await self.special(self, request, writer)
            if handled is not None:
                return handled
        await asyncio.sleep(self.work)
        self.finished_at[identifier] = time.monotonic()
        writer.write(self.answer(identifier, self.size))
        await writer.drain()
        return True

    def answer(self, identifier, size):
        headers = {
            'Mustardshunt-Request-Id': identifier,
            'Mustardshunt-Response-Stamp': f'3e1b.07.{identifier[:8]}',
            'Keep-Alive': 'timeout=10',
        }
        return render(200, headers, body_of(identifier, size))


def body_of(identifier, size):
    """Return the body that belongs to a request, so that a client can check it."""
    return (identifier.encode() * (size // len(identifier) + 1))[:size]


class Client:
    """Client of one machine with one kept connection."""

    # Times at which clients have sent their requests.
    sent_at = {}

    def __init__(self, machine, record):
        self._machine, self._record = machine, record
        self._reader = self._writer = None

    async def connect(self):
        host, _, port = self._machine.outbound.rpartition(':')
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def request(self, method, host, target, deadline_ms, body=b''):
        """Return (identifier, outcome): a status, or why there is no answer."""
        identifier = f'{random.getrandbits(64):016x}'
        self.sent_at[identifier] = time.monotonic()
        self._record.write(
            f'{self._machine.name}: client sends {identifier} {method} {target}'
        )
        headers = {
            'Host': host, 'Mustardshunt-Request-Id': identifier,
            'Mustardshunt-Deadline-Ms': str(deadline_ms),
        }
        try:
            if self._writer is None:
                await self.connect()
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                status, answered, content = await exchange(
                    self._reader, self._writer, method, target, headers, body
                )
            outcome = status
            if answered.get('connection', '').lower() == 'close':
                self.close()
        except TimeoutError:
            outcome = 'none in time'
            self.close()
        except OSError as error:
            outcome = f'connection ended: {error}'
            self.close()
        self._record.write(
            f'{self._machine.name}: client gets {identifier} {outcome}'
        )
        return identifier, outcome

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run_case(case, folder):
    """Run ``case(record, temporary folder, machines)``; exit as issue 32 says."""
    # Streams that are still open at the end of the loop complain otherwise.
    sys.unraisablehook = lambda _: None
    record = Record(pathlib.Path(folder) / 'record.txt')
    machines = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = asyncio.run(case(record, scratch, machines))
        except Exception as error:
            record.say(f'the case could not run: {error!r}')
        finally:
            for machine in machines:
                machine.stop()
            if code == NOT_RUN or os.environ.get('KEEP_LOGS'):
                for machine in machines:
                    if machine.log_path.exists():
                        text = machine.log_path.read_text(errors='replace')
                        record.say(f'log of {machine.name}:\n{text[-6000:]}')
    record.say({HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}[code])
    record.close()
    sys.exit(code)
