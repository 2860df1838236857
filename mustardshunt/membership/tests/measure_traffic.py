"""Count messages and bytes per node in a simulation.

Run ``python -m mustardshunt.membership.tests.measure_traffic 16 134 940``.
A ping or pong counts as 4 bytes, a record as its size in CBOR. The headers of
WebSocket and TCP are not counted.
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
from mustardshunt.membership.tests.network import TICK_SECONDS, Network

QUIET_SECONDS = 20.0


def make_network(count):
    network = Network(check_records=False)
    data_centre_count = min(7, count // 4)
    records = tuple(
        MemberRecord(
            Incarnation(f'{number:016x}'),
            1,
            f'east-{number % data_centre_count}',
            f'service-{number % 46}',
            MemberState.READY,
            VmAddress(f'10.0.{number // 250}.{number % 250}', 7000),
        )
        for number in range(count)
    )
    for record in records:
        name = record.incarnation
        network.membership_by_name[name] = make_membership(
            record, random.Random(name)
        )
        network.membership_by_name[name].handle(RecordsArrived(records), 0.0)
        network.schedule(
            network.random.random() * TICK_SECONDS, network.tick, name
        )
    # Runs for 5 s, so that the nodes can open the links to their neighbours.
    network.run(5.0)
    for name in network.membership_by_name:
        network.handle(name, MembershipTick())
    return network


def measure(network, title, seconds):
    network.frames_by_kind.clear()
    network.bytes_by_kind.clear()
    network.run(seconds)
    count = len(network.membership_by_name)
    frames = ', '.join(
        f'{kind} {number / count:.2f}'
        for kind, number in sorted(network.frames_by_kind.items())
    )
    size = sum(network.bytes_by_kind.values()) / count
    sys.stdout.write(
        f'{count} nodes, {title}, {seconds:.0f} s: sent per node: {frames}; '
        f'{size:.0f} bytes, {size / seconds:.1f} bytes/s\n'
    )


def main():
    for count in map(int, sys.argv[1:]):
        network = make_network(count)
        degree = 2 * len(network.links) / count
        sys.stdout.write(f'{count} nodes, links per node: {degree:.1f}\n')
        measure(network, 'nothing changes', QUIET_SECONDS)
        first, second = sorted(network.membership_by_name)[:2]
        network.change(first, MemberState.DRAINING)
        measure(network, 'one change', 1.0)
        network.crash(second)
        measure(network, 'one crash', 10.0)
        changed = len(network.changes_to(MemberState.SILENT))
        sys.stdout.write(
            f'{count} nodes, nodes that detected the crash: {changed}\n'
        )


if __name__ == '__main__':
    main()
