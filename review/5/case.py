"""A late status report ends the cold start of an upstream that was evacuated."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import stand_ins as s  # noqa: E402

HEARTBEAT = 1.5
WARMUP = 3.0
COLD_PER_S, COLD_OVERAGE, COLD_SLACK = 45, 1.5, 5
BOUND = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
# One report is sent this long before the evacuation ends, and comes this late.
SENT_BEFORE_END, LATE_SECONDS = 0.2, 0.6
# curing-book of the site, which is the load of the service that returns.
RATE_PER_S = 160


class ColdUpstream(s.Upstream):
    """Upstream that is cold for WARMUP after the end of an evacuation.

    It crashes when it gets more than twice cold_per_s in one second.
    """

    cold_from = float('inf')
    delay_next = 0.0

    async def start(self):
        self.arrivals = []
        self._writers = set()
        self.at_work = set()
        self.lost = []
        self.crashed_at = None
        await super().start()

    def cold_remaining(self, now):
        if now < self.cold_from:
            return 0.0
        return max(0.0, self.cold_from + WARMUP - now)

    async def report(self, delay=0.0):
        self._sequence += 1
        sequence, cold = self._sequence, self.cold_remaining(time.monotonic())
        body = {
            'service': self._machine.service, 'address': self._machine.app,
            'zone': self._machine.zone, 'version': 'v1', 'slots': self.slots,
            'state': 'ready', 'cold_remaining': f'{cold * 1000:.0f}ms',
            'sequence': sequence, 'born': self._born,
        }
        self._record.write(
            f'status report {sequence} sent: cold_remaining '
            f'{body["cold_remaining"]}')
        await asyncio.sleep(delay)
        try:
            await s.fetch(
                self._machine.control, 'PUT', f'/instances/{self.instance}',
                {'Content-Type': 'application/json'}, json.dumps(body).encode())
            self._record.write(f'status report {sequence} arrived')
        except (OSError, TimeoutError):
            pass

    async def _beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT)

    async def _serve(self, reader, writer):
        if self.crashed_at is not None:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, request, writer):
        now = time.monotonic()
        identifier = request[2].get('mustardshunt-request-id', '')
        if request[2].get('mustardshunt-expect-instance') == self.instance:
            self.arrivals.append((identifier, now))
            recent = [at for _, at in self.arrivals if now - at < 1.0]
            if self.cold_remaining(now) > 0 and len(recent) > 2 * COLD_PER_S:
                self._crash(now)
                return False
        self.at_work.add(identifier)
        try:
            return await super()._run(request, writer)
        finally:
            self.at_work.discard(identifier)

    def _crash(self, now):
        self.crashed_at = now
        self.lost = list(self.at_work)
        self._record.say(
            f'the cold upstream crashes, {now - self.cold_from:.2f} s after '
            f'the end of the evacuation; {len(self.lost)} requests at work')
        self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()


async def send_at_rate(machine, record, until, outcomes):
    tasks = set()
    due = time.monotonic()

    async def send_one():
        client = s.Client(machine, record)
        outcomes.append(await client.request(
            'POST', 'shop.example', '/book/1', 5000, b'book'))
        client.close()

    while time.monotonic() < until:
        due += 1 / RATE_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(send_one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def most_in_one_second(arrivals, begins, ends):
    """Return the most requests that were sent and arrived inside one second."""
    spans = [
        (s.Client.sent_at[identifier], at)
        for identifier, at in arrivals
        if begins <= at <= ends
    ]
    return max(
        (
            sum(first <= sent and at < first + 1.0 for sent, at in spans)
            for first, _ in spans
        ),
        default=0)


async def case(record, scratch, machines):
    store = s.Store()
    await store.start()
    store.put('op', 'config', s.make_policy(1, {
        'r-book': s.make_route(
            'shop.example', '/book/', 'curing', 'non_idempotent', '5000ms',
            '1200ms'),
    }, ('curing', 'front')))
    machines += [
        s.Machine('m-curing', 'zone-b', 'curing', store, scratch, record),
        s.Machine('m-front', 'zone-a', 'front', store, scratch, record),
    ]
    backend, front = machines
    curing = ColdUpstream(backend, record, work=0.078, slots=284)
    other = s.Upstream(front, record)
    for machine, upstream in ((backend, curing), (front, other)):
        await upstream.start()
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(3.0)
    outcomes = []
    load = asyncio.create_task(
        send_at_rate(front, record, time.monotonic() + 15.0, outcomes))
    await asyncio.sleep(2.0)
    record.say('op/evacuate/zone-b is written')
    store.put('op', 'evacuate/zone-b', {})
    await asyncio.sleep(6.5)
    # From here on the reports are sent by hand, so that their times are known.
    curing._beats.cancel()
    ends_at = time.monotonic() + SENT_BEFORE_END
    late = LATE_SECONDS if s.TROUBLE else 0.0
    reports = [asyncio.create_task(curing.report(late))]
    await asyncio.sleep(ends_at - time.monotonic())
    record.say('op/evacuate/zone-b is removed; the upstream is cold for 3 s')
    curing.cold_from = time.monotonic()
    store.remove('op', 'evacuate/zone-b')
    await asyncio.sleep(HEARTBEAT - SENT_BEFORE_END)
    reports.append(asyncio.create_task(curing.report()))
    await asyncio.sleep(HEARTBEAT)
    reports.append(asyncio.create_task(curing.report()))
    await load
    cold_until = curing.cold_from + WARMUP
    most = most_in_one_second(curing.arrivals, curing.cold_from, cold_until)
    lost = [i for i, outcome in outcomes
            if i in curing.lost and outcome != 200]
    record.say(f'most requests sent and arrived in one second while cold: {most} '
               f'(FAILBACK allows {BOUND})')
    record.say(f'requests at work lost by the crash: {len(lost)}')
    if not any(at > curing.cold_from for _, at in curing.arrivals):
        return s.NOT_RUN
    return s.BROKEN if most > BOUND else s.HELD


s.run_case(case, FOLDER)
