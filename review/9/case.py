"""A machine that is cut off keeps its share of a cap, and another gets it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

from harness import (  # noqa: E402
    BOUNDS,
    HOST,
    TROUBLE,
    Proxy,
    ask,
    now,
    proxy_host,
    run_case,
)

TENANT = 'troupe'
KEY = 'key-of-the-troupe'
RATE = 60
BURST = 5
WINDOW_SECONDS = 5.0
# Requests a second that clients send at each machine.
DEMAND = 40.0
CUT_SECONDS = 12.0
# The tenant's clients send in this time after the cut.
DEMAND_FROM = 2.5
DEMAND_UNTIL = 11.5

CONFIG = {
    'version': 7,
    'routes': {
        'browse': {
            'host': HOST,
            'prefix': '/browse/',
            'kind': 'idempotent',
            'timeout': '5000ms',
            'target_latency': '1200ms',
            'priority': 2,
            'service': 'catalogue',
            'max_attempts': 2,
            'auth_exempt': False,
        },
    },
    'services': {
        'catalogue': {
            'health_path': '/healthz',
            'max_connections': 364,
            'warmup': '3s',
            'cold_per_s': 45.0,
        },
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
    'tenants': {
        TENANT: {
            'api_keys': [KEY],
            'priority': 1,
            'rate_per_s': RATE,
            'burst': BURST,
        },
    },
}


async def send_one(case, machine, sent_at_by_id):
    request_id = case.new_id()
    sent_at_by_id[request_id] = now()
    case.record.add('sent to', machine.name, request_id)
    try:
        answer = await asyncio.wait_for(
            ask(
                machine.host,
                machine.ports['outbound'],
                'GET',
                f'/browse/{request_id}',
                {
                    'Host': HOST,
                    'Mustardshunt-Request-Id': request_id,
                    'Mustardshunt-Deadline-Ms': '5000',
                    'Authorization': f'Bearer {KEY}',
                },
            ),
            6.0,
        )
    except (OSError, TimeoutError):
        answer = None
    status = answer.status if answer else 'none'
    case.record.add('answered', machine.name, request_id, status)


async def send_always(case, machine, sent_at_by_id, until):
    tasks = set()
    at = now()
    while at < until:
        task = asyncio.create_task(send_one(case, machine, sent_at_by_id))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        at += 1 / DEMAND
        await asyncio.sleep(max(0.0, at - now()))
    await asyncio.sleep(1.0)


async def main(case):
    store = case.store
    proxy_by_name = {}

    def view(reader, table, key, content):
        # The links between machines pass the proxies of this test.
        if table != 'nodes' or key == reader or key not in proxy_by_name:
            return content
        host = case.machines[key].host
        return content.replace(host.encode(), proxy_host(host).encode())

    store.view = view
    store.put('op', 'config', CONFIG)
    names = [f'side-{zone}-{number}' for zone in 'abc' for number in (1, 2)]
    for name in [*names, 'side-b-3']:
        machine = await case.add_machine(name, name[5], 'catalogue')
        proxy_by_name[name] = Proxy(case, machine)
        await proxy_by_name[name].start()
    machines = [case.machines[name] for name in names]
    joining = case.machines['side-b-3']
    for machine in machines:
        machine.start()
    await case.wait_ready(*machines)
    await asyncio.sleep(5.0)

    sent_at_by_id = {}
    began = now()
    cut = 'side-b-2'
    if TROUBLE:
        case.record.add('cut', cut, 'from all machines and from the store')
        store.cut_names.add(cut)
        for proxy in proxy_by_name.values():
            proxy.cut_names.add(cut)
    await asyncio.sleep(0.5)
    joining.first_start = False
    joining.start()
    await asyncio.sleep(began + DEMAND_FROM - now())
    until = began + DEMAND_UNTIL
    tasks = [
        asyncio.create_task(send_always(case, machine, sent_at_by_id, until))
        for machine in (*machines, joining)
    ]
    await asyncio.sleep(began + CUT_SECONDS - now())
    store.cut_names.clear()
    for proxy in proxy_by_name.values():
        proxy.cut_names.clear()
    case.record.add('the cut has ended')
    await asyncio.wait(tasks)

    runs = sorted(
        (run.at, sent_at_by_id[run.request_id], machine.name)
        for machine in case.machines.values()
        for run in machine.upstream.runs
        if run.request_id in sent_at_by_id
    )
    most = 0
    for start in sorted(sent_at for _, sent_at, _ in runs):
        inside = [
            name
            for at, sent_at, name in runs
            if sent_at >= start and at <= start + WINDOW_SECONDS
        ]
        if len(inside) > most:
            most = len(inside)
            best = (start, {name: inside.count(name) for name in set(inside)})
    allowed = (RATE * WINDOW_SECONDS + BURST) * (
        1 + BOUNDS['quota_overage']
    ) + BOUNDS['quota_slack']
    text = (
        f'most requests of the tenant in {WINDOW_SECONDS:.0f} s: {most}, '
        f'allowed: {allowed:.1f}; from {best[0] - case.record.began:.1f} s on, '
        f'by machine: {dict(sorted(best[1].items()))}'
    )
    case.record.add(text)
    print(text)
    return int(most > allowed)


run_case(main, FOLDER)
