"""Tests limits, retry budgets and durations of calls in flight."""

import pytest

from mustardshunt.base import (
    CallContext,
    CallId,
    Effect,
    Importance,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.calls import (
    ChildCallContext,
    make_call_table,
    make_retry_throttle,
)

ROOT = CallId(Incarnation('a'), 1)


def make_context(depth=1, retries=2, deadline=10.0):
    return CallContext(
        ROOT, ROOT, 'org', Importance.HIGH, 'r', True, depth, retries, deadline
    )


@pytest.fixture
def table():
    calls = make_call_table()
    calls.open(make_context(), 'x', 0.0)
    return calls


def test_child_call_inherits_organisation_importance_and_deadline(table):
    # A child call must have the organisation, importance and deadline of its
    # parent. A backend server could otherwise raise the importance of its calls
    # or charge the calls to another organisation.
    child = table.open_child('x', 's', 1.0)
    assert child == ChildCallContext(
        1, ROOT, 'org', Importance.HIGH, 2, 2, 10.0
    )


@pytest.mark.parametrize(
    ('context', 'earlier', 'now', 'reason'),
    [
        (make_context(depth=7), 0, 1.0, Reason.TOO_DEEP),
        (make_context(), 16, 1.0, Reason.TOO_MANY_CALLS),
        (make_context(), 0, 10.0, Reason.DEADLINE_EXCEEDED),
    ],
)
def test_child_call_beyond_a_limit_is_refused(context, earlier, now, reason):
    # The limits must stop a faulty backend server that makes child calls in an
    # endless loop.
    table = make_call_table()
    table.open(context, 'x', 0.0)
    for _ in range(earlier):
        assert isinstance(table.open_child('x', 's', 0.0), ChildCallContext)
    refusal = Refusal(reason, Effect.NOT_RUN)
    assert table.open_child('x', 's', now) == refusal


def test_reference_of_a_finished_call_is_refused(table):
    # The reference of a finished call must be refused. A leaked reference could
    # otherwise be used after the call has ended.
    table.close('x', 1.0)
    refusal = Refusal(Reason.UNKNOWN_CALL, Effect.NOT_RUN)
    assert table.open_child('x', 's', 1.0) == refusal
    assert table.close('x', 1.0) is None
    assert table.close_child('x', 1, 1.0, unused=2) == 0


def test_parallel_child_calls_share_the_retry_budget(table):
    # Only one of several parallel child calls gets the retries of the parent.
    # Otherwise, each child call could spend all these retries.
    assert table.open_child('x', 's', 0.0).retries == 2
    assert table.open_child('x', 't', 0.0).retries == 0
    assert table.close_child('x', 2, 1.0, unused=5) == 0
    assert table.close_child('x', 1, 1.0, unused=5) == 2
    assert table.close_child('x', 1, 1.0, unused=2) == 0
    assert table.close('x', 1.0).retries_left == 2


def test_repeat_of_a_failed_child_call_spends_a_retry(table):
    # A repeated child call must count as a retry. A backend server that repeats
    # failed child calls by itself would otherwise exceed the retry budget.
    for left in (2, 1, 0):
        child = table.open_child('x', 's', 0.0, 'order 7')
        assert child.retries == left
        table.close_child('x', child.number, 0.0, left, failed=True)
    refusal = Refusal(Reason.RETRY_BUDGET, Effect.NOT_RUN)
    assert table.open_child('x', 's', 0.0, 'order 7') == refusal
    assert isinstance(
        table.open_child('x', 's', 0.0, 'order 8'), ChildCallContext
    )


def test_failed_deeper_is_set_until_a_repeat_succeeds(table):
    # The sender of a call must be told that a child call has failed, so that
    # the call is not retried too. Retries at each level of a chain would
    # multiply the load.
    table.open_child('x', 's', 0.0)
    table.open_child('x', 't', 0.0)
    table.close_child('x', 1, 0.0, 2, failed=True)
    table.close_child('x', 2, 0.0)
    table.open(make_context(), 'y', 0.0)
    for number in (1, 2):
        table.open_child('y', 's', 0.0)
        table.close_child('y', number, 0.0, 2, failed=number == 1)
    assert table.close('x', 1.0).failed_deeper
    assert not table.close('y', 1.0).failed_deeper


def test_self_time_counts_overlapping_child_calls_once(table):
    # The self time of a call excludes the time of its child calls. If the time
    # of overlapping child calls were counted twice, the self time could become
    # negative.
    table.open_child('x', 's', 1.0)
    table.open_child('x', 't', 2.0)
    table.close_child('x', 1, 4.0)
    table.close_child('x', 2, 5.0)
    table.open_child('x', 's', 7.0)
    summary = table.close('x', 8.0)
    assert (summary.total_time, summary.self_time) == (8.0, 3.0)
    assert (summary.child_calls, summary.open_child_calls) == (3, 1)
    assert not len(table)


def test_throttle_limits_retries_to_a_tenth_of_the_calls():
    # Retries must not add more than 10 % to the load of a service that fails
    # for a long time.
    throttle = make_retry_throttle()
    retries = 0
    for _ in range(1000):
        throttle.count_call()
        retries += throttle.spend()
    assert retries == 102
