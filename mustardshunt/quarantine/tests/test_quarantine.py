"""Tests that suspects are told apart from innocent requests."""

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
COMMON = Fingerprint('common')
OTHER = Fingerprint('other')


def _make(node='a', service='order', **parameters):
    return make_request_quarantine(Incarnation(node), service, **parameters)


def _crash(suspects, *in_flight, now=0.0):
    """Feed a crash and return the report for the other nodes."""
    actions = suspects.handle(BackendServerCrashed(in_flight), now)
    return next(
        action.report
        for action in actions
        if isinstance(action, ForwardCrashReport)
    )


def _finish(suspects, fingerprint, times, now=0.0):
    for _ in range(times):
        suspects.handle(CallFinished(fingerprint), now)


def test_poison_is_refused_after_two_crashes_and_the_common_read_is_not():
    # Guards against a read that is in flight at every crash being refused for
    # 10 minutes, and against a poison that goes on crashing.
    suspects = _make()
    _finish(suspects, COMMON, 20)
    _crash(suspects, COMMON, POISON)
    _finish(suspects, COMMON, 2, now=1.0)
    actions = suspects.handle(BackendServerCrashed((COMMON, POISON)), 1.0)
    assert QuarantineStarted(POISON, 601.0) in actions
    assert suspects.check(POISON, (), 600.9) is QuarantineDecision.QUARANTINED
    assert suspects.check(POISON, (), 601.0) is QuarantineDecision.RUN
    assert suspects.check(COMMON, (POISON,), 1.0) is QuarantineDecision.RUN


def test_suspects_run_apart_until_they_are_cleared():
    # Guards against a second crash that does not tell suspects apart, and
    # against harmless requests that wait for each other for long.
    suspects = _make()
    _crash(suspects, POISON, OTHER)
    assert (
        suspects.check(OTHER, (POISON, COMMON), 0.0) is QuarantineDecision.WAIT
    )
    assert suspects.check(OTHER, (OTHER, COMMON), 0.0) is QuarantineDecision.RUN
    assert (
        suspects.check(COMMON, (POISON, OTHER), 0.0) is QuarantineDecision.RUN
    )
    _finish(suspects, OTHER, 3)
    assert suspects.check(OTHER, (POISON,), 0.0) is QuarantineDecision.WAIT
    _finish(suspects, OTHER, 1)
    assert suspects.check(OTHER, (POISON,), 0.0) is QuarantineDecision.RUN


def test_late_finish_does_not_end_a_quarantine():
    # Guards against calls that began earlier and let the poison in again.
    suspects = _make()
    _crash(suspects, POISON)
    _crash(suspects, POISON)
    _finish(suspects, POISON, 20)
    assert suspects.check(POISON, (), 0.0) is QuarantineDecision.QUARANTINED


def test_reports_reach_a_node_once():
    # Guards against a flooded report that counts again on each path.
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


def test_node_that_missed_a_report_catches_up():
    # Guards against a third crash at a node that joined after the first.
    first, second = _make('a'), _make('b')
    _crash(first, POISON)
    second.handle(CrashReportArrived(_crash(first, POISON)), 0.0)
    assert second.check(POISON, (), 0.0) is QuarantineDecision.QUARANTINED


def test_report_never_exceeds_what_its_node_knows():
    # Guards against a common read refused at a node without its history.
    first, second = _make('a'), _make('b')
    _finish(first, COMMON, 20)
    for _ in range(2):
        report = _crash(first, COMMON)
        second.handle(CrashReportArrived(report), 0.0)
    assert second.snapshot(0.0).known == 0


def test_report_of_another_service_is_passed_on_only():
    # Guards against suspects of one service that fill the lists of others.
    first, second = _make('a'), _make('b', 'stock')
    report = _crash(first, POISON)
    assert second.handle(CrashReportArrived(report), 0.0) == [
        ForwardCrashReport(report)
    ]
    assert second.snapshot(0.0).known == 0


def test_memory_is_bounded_and_expires():
    # Guards against a flood of fingerprints that fills the memory or pushes
    # a quarantined one out.
    suspects = _make(capacity=100)
    _crash(suspects, POISON)
    _crash(suspects, POISON)
    for number in range(1000):
        suspects.handle(CallFinished(Fingerprint(str(number))), 1.0)
    assert suspects.snapshot(1.0).known <= 100
    assert suspects.check(POISON, (), 1.0) is QuarantineDecision.QUARANTINED
    _crash(suspects, *(Fingerprint(f'x{number}') for number in range(1000)))
    assert suspects.snapshot(1.0).known <= 100
    _crash(suspects, OTHER, now=2.0)
    assert suspects.check(OTHER, (OTHER,), 61.9) is QuarantineDecision.RUN
    assert suspects.snapshot(61.9).suspects == 1
    assert suspects.snapshot(62.0).suspects == 0
    with pytest.raises(ParameterError, match='capacity is 1'):
        _make(capacity=1)


def test_report_is_bounded():
    # Guards against a report of all 250 calls of a large backend server.
    suspects = _make()
    _crash(suspects, POISON)
    names = [Fingerprint(f'x{number}') for number in range(250)]
    report = _crash(suspects, *names, POISON)
    assert len(report.scores) == 64
    assert report.scores[0] == SuspicionScore(POISON, 8)
    assert isinstance(report, CrashReport)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**32), st.integers(1, 30), st.integers(1, 4))
def test_only_the_poison_is_refused(seed, innocents, nodes):
    # Guards against innocent requests that are refused, and poisons that are
    # not, in any mix of calls on nodes that exchange reports.
    source = random.Random(seed)
    lists = [_make(str(number)) for number in range(nodes)]
    names = [Fingerprint(f'i{number}') for number in range(innocents)]
    crashes = 0
    for step in range(400):
        now = step * 0.1
        suspects = source.choice(lists)
        running = []
        for name in (
            *source.sample(names, source.randint(0, innocents)),
            POISON,
        ):
            verdict = suspects.check(name, running, now)
            assert (
                verdict is not QuarantineDecision.QUARANTINED or name == POISON
            )
            if verdict is QuarantineDecision.RUN and (
                name != POISON or step % 3 == 0
            ):
                running.append(name)
        if POISON not in running:
            for name in running:
                suspects.handle(CallFinished(name), now)
            continue
        crashes += 1
        report = _crash(suspects, *running, now=now)
        for other in lists:
            other.handle(CrashReportArrived(report), now)
    assert lists[0].check(POISON, (), 40.0) is QuarantineDecision.QUARANTINED
    assert crashes <= 6
