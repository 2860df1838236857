"""Guards the budget, the depth and the self time of calls in flight."""

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


def test_child_takes_over_from_its_parent(table):
    # A backend server must not choose organisation, importance or deadline.
    grant = table.open_child('x', 's', 1.0)
    assert grant == ChildCallContext(
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
def test_child_beyond_a_bound_is_refused(context, earlier, now, reason):
    # A faulty loop in a backend server must end.
    table = make_call_table()
    table.open(context, 'x', 0.0)
    for _ in range(earlier):
        assert isinstance(table.open_child('x', 's', 0.0), ChildCallContext)
    refusal = Refusal(reason, Effect.NOT_RUN)
    assert table.open_child('x', 's', now) == refusal


def test_finished_reference_is_refused(table):
    # A leaked reference must not outlive its call.
    table.close('x', 1.0)
    refusal = Refusal(Reason.UNKNOWN_CALL, Effect.NOT_RUN)
    assert table.open_child('x', 's', 1.0) == refusal
    assert table.close('x', 1.0) is None
    assert table.close_child('x', 1, 1.0, unused=2) == 0


def test_siblings_share_the_budget(table):
    # The budget must not multiply with parallel child calls.
    assert table.open_child('x', 's', 0.0).retries == 2
    assert table.open_child('x', 't', 0.0).retries == 0
    assert table.close_child('x', 2, 1.0, unused=5) == 0
    assert table.close_child('x', 1, 1.0, unused=5) == 2
    assert table.close_child('x', 1, 1.0, unused=2) == 0
    assert table.close('x', 1.0).retries_left == 2


def test_repeat_of_a_failed_child_spends(table):
    # Retries inside the backend server count like those of the node.
    for left in (2, 1, 0):
        grant = table.open_child('x', 's', 0.0, 'order 7')
        assert grant.retries == left
        table.close_child('x', grant.number, 0.0, left, failed=True)
    refusal = Refusal(Reason.RETRY_BUDGET, Effect.NOT_RUN)
    assert table.open_child('x', 's', 0.0, 'order 7') == refusal
    assert isinstance(
        table.open_child('x', 's', 0.0, 'order 8'), ChildCallContext
    )


def test_failure_below_is_marked_until_a_repeat_succeeds(table):
    # Upper layers must not retry what already failed further down.
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


def test_self_time_leaves_out_overlapping_child_calls(table):
    # Counting each child alone would make the self time negative.
    table.open_child('x', 's', 1.0)
    table.open_child('x', 't', 2.0)
    table.close_child('x', 1, 4.0)
    table.close_child('x', 2, 5.0)
    table.open_child('x', 's', 7.0)
    summary = table.close('x', 8.0)
    assert (summary.total_time, summary.self_time) == (8.0, 3.0)
    assert (summary.child_calls, summary.open_child_calls) == (3, 1)
    assert not len(table)


def test_ratio_bounds_retries_of_a_node():
    # Under a long failure a node must not add more than 10 % of load.
    ratio = make_retry_throttle()
    retries = 0
    for _ in range(1000):
        ratio.count_call()
        retries += ratio.spend()
    assert retries == 102
