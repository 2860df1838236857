"""Count messages and bytes per node in virtual time.

Run ``python -m mustardshunt.membership.tests.measure_traffic 16 134 940``.
A ping or pong counts 4 bytes, a record its size in CBOR; the headers of
websockets and TCP are not counted.
"""

import random
import sys

from mustardshunt.base import (
    Incarnation,
    MemberRecord,
    MemberState,
    VmAddress,
)
from mustardshunt.membership import (
    MembershipTick,
    RecordsArrived,
    make_membership,
)
from mustardshunt.membership.tests.network import TICK, Network

SECONDS = 20.0


def make_network(count):
    network = Network(checks=False)
    places = min(7, count // 4)
    records = tuple(
        MemberRecord(
            Incarnation(f'{number:016x}'),
            1,
            f'east-{number % places}',
            f'service-{number % 46}',
            MemberState.READY,
            VmAddress(f'10.0.{number // 250}.{number % 250}', 7000),
        )
        for number in range(count)
    )
    for record in records:
        name = record.incarnation
        network.fleets[name] = make_membership(record, random.Random(name))
        network.fleets[name].handle(RecordsArrived(records), 0.0)
        network.at(network.random.random() * TICK, network.tick, name)
    # Changes the rings of all nodes into links.
    network.run(5.0)
    for name in network.fleets:
        network.feed(name, MembershipTick())
    return network


def measure(network, title, seconds):
    network.frames.clear()
    network.sizes.clear()
    network.run(seconds)
    count = len(network.fleets)
    frames = ', '.join(
        f'{kind} {number / count:.2f}'
        for kind, number in sorted(network.frames.items())
    )
    size = sum(network.sizes.values()) / count
    sys.stdout.write(
        f'{count} nodes, {title}, {seconds:.0f} s: sent per node: {frames}; '
        f'{size:.0f} bytes, {size / seconds:.1f} bytes/s\n'
    )


def main():
    for count in map(int, sys.argv[1:]):
        network = make_network(count)
        degree = 2 * len(network.links) / count
        sys.stdout.write(f'{count} nodes, links per node: {degree:.1f}\n')
        measure(network, 'nothing changes', SECONDS)
        first, second = sorted(network.fleets)[:2]
        network.change(first, MemberState.DRAINING)
        measure(network, 'one change', 1.0)
        network.crash(second)
        measure(network, 'one crash', 10.0)
        changed = len(network.said(MemberState.SILENT))
        sys.stdout.write(f'{count} nodes, told of the crash: {changed}\n')


if __name__ == '__main__':
    main()
