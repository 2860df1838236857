"""Followers whose feed gets no response keep their zones at an old version."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import stand_ins as s  # noqa: E402

SILENT_SECONDS = 4.5
LARGEST_SHARE = 0.35
STABLE_WINDOW, CONFIG_APPLY, MAX_SKEW = 3.0, 2.0, 5.0
WATCH_SECONDS = 25.0


def policy(version, service):
    return s.make_policy(version, {
        'r-order': s.make_route(
            'shop.example', '/order/', service, 'non_idempotent', '2000ms',
            '500ms'),
    }, ('old', 'new', 'front'))


async def send_orders(machine, record, until, sent):
    client = s.Client(machine, record)
    while time.monotonic() < until:
        sent_at = time.monotonic()
        identifier, outcome = await client.request(
            'POST', 'shop.example', '/order/1', 2000, b'order')
        sent.append((identifier, outcome, sent_at, machine.name))
        await asyncio.sleep(0.1)
    client.close()


async def case(record, scratch, machines):
    store = s.Store()
    await store.start()
    store.put('op', 'config', policy(1, 'old'))
    upstreams = {}
    for zone in ('zone-a', 'zone-b'):
        for service in ('old', 'new', 'front'):
            name = f'm-{service}-{zone[-1]}'
            await store.start_for(name)
            machine = s.Machine(name, zone, service, store, scratch, record)
            machines.append(machine)
            upstreams[name] = s.Upstream(machine, record, work=0.05)
    for machine in machines:
        await upstreams[machine.name].start()
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    fronts = [machine for machine in machines if machine.service == 'front']
    await asyncio.sleep(6.0)
    sent = []
    until = time.monotonic() + 1.0 + WATCH_SECONDS
    load = [
        asyncio.create_task(send_orders(front, record, until, sent))
        for front in fronts
    ]
    # A change that moves nothing; the feed calls begin anew after it.
    store.put('op', 'config', policy(3, 'old'))
    await asyncio.sleep(1.0)
    followers = [name for name, count in store.feeds.items() if count > 0]
    record.say(f'feed calls of {followers}, {len(machines)} machines')
    if not followers or len(followers) > LARGEST_SHARE * len(machines):
        return s.NOT_RUN
    began_at = time.monotonic()
    if s.TROUBLE:
        store.silent_to.update(followers)
        record.say(f'the store gives no response to {followers}')
    await asyncio.sleep(1.0)
    store.put('op', 'config', policy(7, 'new'))
    confirmed_at = time.monotonic()
    record.say('version 7 is confirmed: /order/ goes to new')
    await asyncio.sleep(SILENT_SECONDS - 1.0)
    store.silent_to.clear()
    ended_at = time.monotonic()
    record.say('the store answers all again')
    await asyncio.gather(*load)
    in_touch_at = ended_at + STABLE_WINDOW
    bound = max(in_touch_at, confirmed_at + CONFIG_APPLY) if s.TROUBLE else (
        confirmed_at + CONFIG_APPLY)
    ran_old = {
        identifier
        for name, upstream in upstreams.items() if 'old' in name
        for identifier in upstream.runs
    }
    ran_new = {
        identifier
        for name, upstream in upstreams.items() if 'new' in name
        for identifier in upstream.runs
    }
    late = [x for x in sent if x[2] > bound]
    stale = [x for x in late if x[0] in ran_old]
    later = [x for x in stale if x[2] > bound + MAX_SKEW]
    record.say(f'orders sent after the bound: {len(late)}, run by new: '
               f'{sum(x[0] in ran_new for x in late)}, by old: {len(stale)}')
    if stale:
        record.say(
            f'the last one {stale[-1][2] - confirmed_at:.1f} s after the '
            f'confirmation, {stale[-1][2] - ended_at:.1f} s after the end of '
            f'the disruption')
    record.say(f'orders run by old later than max_skew after the bound: '
               f'{len(later)}')
    if not ran_old or not late:
        return s.NOT_RUN
    return s.BROKEN if later else s.HELD


s.run_case(case, FOLDER)
