"""Tests of the quarantine: only poison requests must be refused."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Incarnation, ParameterError
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CrashReport,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    QuarantineDecision,
    QuarantineStarted,
    SuspicionScore,
    make_request_quarantine,
)

POISON = Fingerprint('poison')
FREQUENT = Fingerprint('frequent')
OTHER = Fingerprint('other')


def _make(node='a', service='order', **parameters):
    return make_request_quarantine(Incarnation(node), service, **parameters)


def _crash(quarantine, *in_flight, now=0.0):
    """Let a backend server crash and return the crash report of its node."""
    actions = quarantine.handle(BackendServerCrashed(in_flight), now)
    return next(
        action.report
        for action in actions
        if isinstance(action, ForwardCrashReport)
    )


def _finish(quarantine, fingerprint, times, now=0.0):
    for _ in range(times):
        quarantine.handle(CallFinished(fingerprint), now)


def test_poison_is_quarantined_after_two_crashes_and_frequent_read_is_not():
    # A poison request must be refused after its second crash. Otherwise its
    # retries would crash further backend servers. A frequent harmless read must
    # still run: its calls without a crash make up for being in flight at each
    # crash. Otherwise it would be refused for 10 minutes.
    quarantine = _make()
    _finish(quarantine, FREQUENT, 20)
    _crash(quarantine, FREQUENT, POISON)
    _finish(quarantine, FREQUENT, 2, now=1.0)
    actions = quarantine.handle(BackendServerCrashed((FREQUENT, POISON)), 1.0)
    assert QuarantineStarted(POISON, 601.0) in actions
    assert quarantine.check(POISON, (), 600.9) is QuarantineDecision.QUARANTINED
    assert quarantine.check(POISON, (), 601.0) is QuarantineDecision.RUN
    assert quarantine.check(FREQUENT, (POISON,), 1.0) is QuarantineDecision.RUN


def test_suspects_run_apart_until_their_level_is_zero():
    # Different suspects must not run at the same time. If several suspects were
    # in flight at the second crash, the crash would not show which suspect is
    # the cause. After enough calls without a crash, a request is no longer a
    # suspect and must not wait any more.
    quarantine = _make()
    _crash(quarantine, POISON, OTHER)
    assert (
        quarantine.check(OTHER, (POISON, FREQUENT), 0.0)
        is QuarantineDecision.WAIT
    )
    assert (
        quarantine.check(OTHER, (OTHER, FREQUENT), 0.0)
        is QuarantineDecision.RUN
    )
    assert (
        quarantine.check(FREQUENT, (POISON, OTHER), 0.0)
        is QuarantineDecision.RUN
    )
    _finish(quarantine, OTHER, 3)
    assert quarantine.check(OTHER, (POISON,), 0.0) is QuarantineDecision.WAIT
    _finish(quarantine, OTHER, 1)
    assert quarantine.check(OTHER, (POISON,), 0.0) is QuarantineDecision.RUN


def test_late_finish_does_not_end_a_quarantine():
    # A quarantine must not end early. Calls of the poison request that started
    # before the quarantine may end without a crash. These calls must not lower
    # the suspicion level.
    quarantine = _make()
    _crash(quarantine, POISON)
    _crash(quarantine, POISON)
    _finish(quarantine, POISON, 20)
    assert quarantine.check(POISON, (), 0.0) is QuarantineDecision.QUARANTINED


def test_report_is_processed_once():
    # A crash report that arrives twice must count once. Nodes forward crash
    # reports to all neighbours, so a node can receive a report several times.
    # Otherwise one crash could raise a suspicion level several times, and the
    # nodes would forward the report without end.
    first, second = _make('a'), _make('b')
    report = _crash(first, POISON)
    assert second.handle(CrashReportArrived(report), 0.0) == [
        ForwardCrashReport(report)
    ]
    assert not second.handle(CrashReportArrived(report), 0.0)
    assert not first.handle(CrashReportArrived(report), 0.0)
    assert second.check(POISON, (), 0.0) is QuarantineDecision.RUN
    second.handle(CrashReportArrived(_crash(first, POISON)), 0.0)
    assert second.check(POISON, (), 0.0) is QuarantineDecision.QUARANTINED


def test_node_that_missed_a_report_takes_the_level_from_the_next():
    # A node that joined after the first crash has only the report of the second
    # crash. This report must be enough to quarantine the poison request.
    # Otherwise the request could cause a third crash at this node.
    first, second = _make('a'), _make('b')
    _crash(first, POISON)
    second.handle(CrashReportArrived(_crash(first, POISON)), 0.0)
    assert second.check(POISON, (), 0.0) is QuarantineDecision.QUARANTINED


def test_report_raises_no_level_above_that_of_the_reporting_node():
    # A frequent harmless request must not be quarantined because of crash
    # reports. The reporting node has seen many calls of the request end without
    # a crash, so the suspicion level at this node is low. The receiving node
    # has seen no call of the request and must not set a higher level.
    first, second = _make('a'), _make('b')
    _finish(first, FREQUENT, 20)
    for _ in range(2):
        report = _crash(first, FREQUENT)
        second.handle(CrashReportArrived(report), 0.0)
    assert second.snapshot(0.0).known == 0


def test_report_of_another_service_is_only_forwarded():
    # A crash report of another service must be forwarded, but the suspects in
    # the report must not be stored. These suspects never run at this service
    # and would use up the capacity for the suspects of this service.
    first, second = _make('a'), _make('b', 'stock')
    report = _crash(first, POISON)
    assert second.handle(CrashReportArrived(report), 0.0) == [
        ForwardCrashReport(report)
    ]
    assert second.snapshot(0.0).known == 0


def test_stored_fingerprints_are_bounded_and_expire():
    # The number of stored fingerprints must not exceed the capacity, and
    # fingerprints without new evidence must expire. Many harmless requests must
    # not evict a quarantined fingerprint: its request would run again.
    quarantine = _make(capacity=100)
    _crash(quarantine, POISON)
    _crash(quarantine, POISON)
    for number in range(1000):
        quarantine.handle(CallFinished(Fingerprint(str(number))), 1.0)
    assert quarantine.snapshot(1.0).known <= 100
    assert quarantine.check(POISON, (), 1.0) is QuarantineDecision.QUARANTINED
    _crash(quarantine, *(Fingerprint(f'x{number}') for number in range(1000)))
    assert quarantine.snapshot(1.0).known <= 100
    _crash(quarantine, OTHER, now=2.0)
    assert quarantine.check(OTHER, (OTHER,), 61.9) is QuarantineDecision.RUN
    assert quarantine.snapshot(61.9).suspects == 1
    assert quarantine.snapshot(62.0).suspects == 0
    with pytest.raises(ParameterError, match='capacity is 1'):
        _make(capacity=1)


def test_report_holds_only_the_highest_levels():
    # The size of a crash report must stay bounded. The backend server has 251
    # calls in flight when it crashes. The report must contain only the 64 calls
    # with the highest suspicion levels.
    quarantine = _make()
    _crash(quarantine, POISON)
    names = [Fingerprint(f'x{number}') for number in range(250)]
    report = _crash(quarantine, *names, POISON)
    assert len(report.scores) == 64
    assert report.scores[0] == SuspicionScore(POISON, 8)
    assert isinstance(report, CrashReport)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**32), st.integers(1, 30), st.integers(1, 4))
def test_only_the_poison_is_quarantined(seed, harmless_count, node_count):
    # The poison request must be quarantined after at most 6 crashes. No
    # harmless request may be quarantined. Random calls run at several nodes,
    # which exchange their crash reports.
    source = random.Random(seed)
    quarantines = [_make(str(number)) for number in range(node_count)]
    names = [Fingerprint(f'i{number}') for number in range(harmless_count)]
    crashes = 0
    for step in range(400):
        now = step * 0.1
        quarantine = source.choice(quarantines)
        running = []
        for name in (
            *source.sample(names, source.randint(0, harmless_count)),
            POISON,
        ):
            decision = quarantine.check(name, running, now)
            assert (
                decision is not QuarantineDecision.QUARANTINED or name == POISON
            )
            if decision is QuarantineDecision.RUN and (
                name != POISON or step % 3 == 0
            ):
                running.append(name)
        if POISON not in running:
            for name in running:
                quarantine.handle(CallFinished(name), now)
            continue
        crashes += 1
        report = _crash(quarantine, *running, now=now)
        for other in quarantines:
            other.handle(CrashReportArrived(report), now)
    assert (
        quarantines[0].check(POISON, (), 40.0) is QuarantineDecision.QUARANTINED
    )
    assert crashes <= 6
