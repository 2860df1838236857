"""Guards the bound on the backend calls that one request may cause."""

from functools import partial
from itertools import product

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from mustardshunt.base import MAX_DEPTH
from mustardshunt.node.tests.call_chain import FAILURE_BY_MODE, Chain

TOTAL_FAILURE = 9
BOUND = 21


def count(find_mode, *, repeats=False):
    chain = Chain(find_mode, repeats=repeats)
    chain.run()
    return chain.backend_calls


def find_pattern(mode, pattern, lasting, depth, attempt):
    return mode if pattern[depth - 1] and attempt <= lasting else None


def test_whole_chain_without_failure():
    assert count(lambda depth, attempt: None) == MAX_DEPTH


@pytest.mark.parametrize('mode', FAILURE_BY_MODE)
@pytest.mark.parametrize('failing', range(1, MAX_DEPTH + 1))
def test_total_failure_of_one_hop(mode, failing):
    # A dead service deep in the chain must not multiply the load above it.
    for repeats in (False, True):
        pattern = [depth + 1 == failing for depth in range(MAX_DEPTH)]
        find_mode = partial(find_pattern, mode, pattern, 99)
        calls = count(find_mode, repeats=repeats)
        allowed = BOUND if mode in {'late', 'lost'} else TOTAL_FAILURE
        assert calls <= allowed


def test_each_kind_of_failure_on_each_set_of_hops():
    # Failures at several hops must not use one budget more than once.
    worst = 0
    for mode, pattern, lasting, repeats in product(
        FAILURE_BY_MODE,
        product((False, True), repeat=MAX_DEPTH),
        (1, 2, 99),
        (False, True),
    ):
        find_mode = partial(find_pattern, mode, pattern, lasting)
        worst = max(worst, count(find_mode, repeats=repeats))
    assert MAX_DEPTH + 2 <= worst <= BOUND


@seed(4)
@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(
    st.lists(st.sampled_from((None, *FAILURE_BY_MODE)), max_size=40),
    st.booleans(),
)
def test_any_mixture_of_failures(modes, repeats):
    # Kinds of failure that change between attempts.
    remaining = iter(modes)
    calls = count(lambda depth, attempt: next(remaining, None), repeats=repeats)
    assert calls <= BOUND
