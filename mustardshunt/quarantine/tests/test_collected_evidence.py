"""Tests of verdicts where only few nodes get the crash reports."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Incarnation
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CollectedEvidence,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    QuarantineEnded,
    QuarantineLifted,
    VerdictArrived,
    make_request_quarantine,
)

POISON = Fingerprint('poison')
READ = Fingerprint('read')


def make(name):
    return make_request_quarantine(
        Incarnation(name), 'stock', rule=CollectedEvidence()
    )


def crash(quarantine, *in_flight, now=0.0):
    actions = quarantine.handle(BackendServerCrashed(in_flight), now)
    return next(
        action.report
        for action in actions
        if isinstance(action, ForwardCrashReport)
    )


def finish(quarantine, fingerprint, times=1, now=0.0):
    for _ in range(times):
        quarantine.handle(CallFinished(fingerprint), now)


def hear(collector, report, now=0.0):
    collector.handle(CrashReportArrived(report), now)


def is_refused(quarantine, fingerprint, now=0.0):
    return quarantine.seconds_left(fingerprint, now) > 0


def test_third_crash_over_all_nodes_is_the_last():
    # The crashes happen beside three nodes that know nothing of each other.
    collector = make('c')
    for number in range(3):
        assert not is_refused(collector, POISON)
        node = make(f'n{number}')
        hear(collector, crash(node, POISON, Fingerprint(f'once-{number}')))
    assert is_refused(collector, POISON)
    verdict = collector.verdicts(0.0)[0]
    assert verdict.crashes == ('n0', 'n1', 'n2')
    assert [verdict.fingerprint] == [POISON]


def test_verdict_of_another_node_is_taken_until_its_end():
    # A node without the reports must refuse the request as long as the others.
    collector, node = make('c'), make('n')
    for _ in range(3):
        crash(collector, POISON)
    node.handle(VerdictArrived(collector.verdicts(100.0)[0]), 100.0)
    assert is_refused(node, POISON, 599.0)
    assert not is_refused(node, POISON, 600.0)
    assert node.expire(600.0) == [QuarantineEnded(POISON)]
    assert not node.expire(600.0)


def test_frequent_read_in_flight_at_every_crash_is_not_refused():
    # The nodes beside the crashed servers have seen the read end well.
    collector = make('c')
    for number in range(6):
        node = make(f'n{number}')
        finish(node, READ, 20)
        hear(collector, crash(node, POISON, READ))
    assert not is_refused(collector, READ)


def test_node_that_has_seen_a_request_end_well_does_not_take_the_verdict():
    # After restarts of nodes, a common read may be blamed by nodes that do not
    # know it. Nodes that do know it must go on to serve it.
    collector, node = make('c'), make('n')
    finish(node, READ, 20)
    for number in range(3):
        hear(collector, crash(make(f'n{number}'), READ))
    node.handle(VerdictArrived(collector.verdicts(0.0)[0]), 0.0)
    assert not is_refused(node, READ)


def test_read_that_begins_to_crash_servers_is_refused_by_all_nodes():
    # Calls that ended well before must not protect it for ever.
    collector, node = make('c'), make('n')
    finish(node, READ, 20)
    for number in range(5):
        hear(collector, crash(make(f'n{number}'), READ))
        for verdict in collector.verdicts(0.0):
            node.handle(VerdictArrived(verdict), 0.0)
    assert is_refused(node, READ)


def test_lifted_quarantine_is_not_started_again_by_a_late_verdict():
    # Other nodes may still spread the verdict after an operator has lifted it.
    node, collector = make('n'), make('c')
    for _ in range(3):
        crash(collector, POISON)
    late_verdict = collector.verdicts(0.0)[0]
    node.handle(VerdictArrived(late_verdict), 0.0)
    assert node.handle(QuarantineLifted(POISON), 1.0) == [
        QuarantineEnded(POISON)
    ]
    node.handle(VerdictArrived(late_verdict), 500.0)
    assert not is_refused(node, POISON, 500.0)
    assert not node.handle(QuarantineLifted(POISON), 501.0)


def test_poison_among_hundreds_of_calls_is_reported():
    # A report that holds only some of the calls may leave out the cause.
    collector = make('c')
    for number in range(3):
        others = [Fingerprint(f'{number}-{call}') for call in range(400)]
        hear(collector, crash(make(f'n{number}'), *others, POISON))
    assert [verdict.fingerprint for verdict in collector.verdicts(0.0)] == [
        POISON
    ]


@pytest.mark.parametrize('order', [(0, 1, 2, 0, 1, 2), (2, 2, 1, 1, 0, 0)])
def test_repeated_and_reordered_reports_count_once(order):
    # Reports travel on several paths.
    collector = make('c')
    reports = [crash(make(f'n{number}'), POISON) for number in range(3)]
    for index in order[:-1]:
        hear(collector, reports[index])
    if order[:4] == (2, 2, 1, 1):
        assert is_refused(collector, POISON)
        assert len(collector.verdicts(0.0)[0].crashes) == 3
        return
    assert collector.verdicts(0.0)[0].level == 12


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**32), st.integers(2, 8))
def test_harmless_requests_beside_the_poison_are_not_refused(seed, node_count):
    # Harmless requests that occur often, and some that occur once, run beside
    # the poison; each lost one is sent again to another node.
    source = random.Random(seed)
    nodes = [make(str(number)) for number in range(node_count)]
    collector = make('collector')
    frequent = [Fingerprint(f'f{number}') for number in range(5)]
    crashes = 0
    for step in range(300):
        now = step * 0.1
        node = source.choice(nodes)
        running = [name for name in frequent if source.randrange(10) < 7] + [
            Fingerprint(f'once-{step}')
        ]
        has_poison = step > 20 and step % 3 == 0
        if not has_poison or is_refused(collector, POISON, now):
            for name in running:
                finish(node, name, now=now)
            continue
        crashes += 1
        hear(collector, crash(node, *running, POISON, now=now), now)
        for name in running:
            finish(source.choice(nodes), name, now=now)
    assert crashes == 3
    assert [verdict.fingerprint for verdict in collector.verdicts(30.0)] == [
        POISON
    ]
