"""Retries must not multiply the backend calls of one request."""

from functools import partial
from itertools import product

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardshunt.base import MAX_DEPTH
from mustardshunt.node.tests.call_chain import FAILURE_BY_MODE, Chain

MAX_CALLS_ONE_HOP_DOWN = 9
MAX_BACKEND_CALLS = 21


def count_backend_calls(find_failure, *, backend_repeats=False):
    chain = Chain(find_failure, backend_repeats=backend_repeats)
    chain.run()
    return chain.backend_calls


def find_hop_failure(mode, failing_hops, failing_attempts, depth, attempt):
    return (
        mode
        if failing_hops[depth - 1] and attempt <= failing_attempts
        else None
    )


def test_without_failures_each_hop_is_called_once():
    # A call that has succeeded must not be retried.
    assert count_backend_calls(lambda depth, attempt: None) == MAX_DEPTH


@pytest.mark.parametrize('mode', FAILURE_BY_MODE)
@pytest.mark.parametrize('failing', range(1, MAX_DEPTH + 1))
def test_total_failure_of_one_hop(mode, failing):
    # When all calls of one service fail, the number of backend calls must stay
    # within the bound. If each hop above the service retried, the number would
    # multiply with the depth.
    for backend_repeats in (False, True):
        failing_hops = [depth + 1 == failing for depth in range(MAX_DEPTH)]
        find_failure = partial(find_hop_failure, mode, failing_hops, 99)
        calls = count_backend_calls(
            find_failure, backend_repeats=backend_repeats
        )
        allowed = (
            MAX_BACKEND_CALLS
            if mode in {'crash-after-children', 'answer-lost'}
            else MAX_CALLS_ONE_HOP_DOWN
        )
        assert calls <= allowed


def test_each_kind_of_failure_on_each_set_of_hops():
    # When several hops fail, the backend calls must stay within the bound. If
    # each hop could spend the same retries of the request, the calls would
    # exceed the bound.
    worst = 0
    for mode, failing_hops, failing_attempts, backend_repeats in product(
        FAILURE_BY_MODE,
        product((False, True), repeat=MAX_DEPTH),
        (1, 2, 99),
        (False, True),
    ):
        find_failure = partial(
            find_hop_failure, mode, failing_hops, failing_attempts
        )
        worst = max(
            worst,
            count_backend_calls(find_failure, backend_repeats=backend_repeats),
        )
    assert MAX_DEPTH + 2 <= worst <= MAX_BACKEND_CALLS


@seed(4)
@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(
    st.lists(st.sampled_from((None, *FAILURE_BY_MODE)), max_size=40),
    st.booleans(),
)
def test_any_mixture_of_failures(modes, backend_repeats):
    # The bound on backend calls must also hold when the attempts of one request
    # fail in different ways.
    remaining = iter(modes)
    calls = count_backend_calls(
        lambda depth, attempt: next(remaining, None),
        backend_repeats=backend_repeats,
    )
    assert calls <= MAX_BACKEND_CALLS
