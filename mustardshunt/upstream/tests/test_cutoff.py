"""Tests of how the cutoff decreases under overload and increases after it."""

import pytest

from mustardshunt.upstream._cutoff import (
    MIN_CUTOFF,
    SETTLE_SECONDS,
    TARGET_WAIT_RATIO,
    Cutoff,
)

ADJUST_SECONDS = 0.1
RANK_COUNT = 3
EXPIRED_WAIT_RATIO = 1.0


def make_cutoff() -> Cutoff:
    cutoff = Cutoff()
    cutoff.set_rank_count(RANK_COUNT)
    return cutoff


def record_calls(cutoff: Cutoff, arrived: int, refused: int) -> None:
    for _ in range(arrived):
        cutoff.record_arrival()
    for _ in range(refused):
        cutoff.record_refusal(1, is_child_call=False)


def test_no_second_decrease_while_the_first_takes_effect():
    """The cutoff must stay the same while a decrease takes effect.

    Requests that were accepted before the decrease still make child calls. If
    refusals of these child calls caused another decrease, nearly all requests
    would be refused after one overload.
    """
    cutoff = make_cutoff()
    cutoff.adjust(
        ADJUST_SECONDS, utilisation=1.0, wait_ratio=EXPIRED_WAIT_RATIO
    )
    decreased = cutoff.value
    assert decreased == pytest.approx(RANK_COUNT - 1)
    now = ADJUST_SECONDS
    while now < SETTLE_SECONDS:
        record_calls(cutoff, 40, 20)
        cutoff.adjust(now, utilisation=1.0, wait_ratio=EXPIRED_WAIT_RATIO)
        now += ADJUST_SECONDS
    assert cutoff.value == decreased


def test_long_waits_of_child_calls_decrease_the_cutoff_without_refusals():
    """The cutoff must decrease when child calls wait long but none is refused.

    Each child call of a request may wait a little less than allowed. The waits
    add up, so the request would miss its deadline.
    """
    cutoff = make_cutoff()
    record_calls(cutoff, 40, 0)
    assert (
        cutoff.adjust(0.0, utilisation=1.0, wait_ratio=TARGET_WAIT_RATIO)
        is None
    )
    decrease = cutoff.adjust(ADJUST_SECONDS, utilisation=1.0, wait_ratio=0.5)
    assert decrease is not None
    assert decrease.cutoff < RANK_COUNT


def test_lasting_overload_decreases_the_cutoff_to_its_minimum():
    """In a long overload, the cutoff must decrease until it is at its minimum.

    With a higher cutoff, the overload would go on.
    """
    cutoff = make_cutoff()
    now = 0.0
    while now < 6 * SETTLE_SECONDS:
        now += ADJUST_SECONDS
        cutoff.adjust(now, utilisation=1.0, wait_ratio=EXPIRED_WAIT_RATIO)
    assert cutoff.value == pytest.approx(MIN_CUTOFF)


def test_decrease_grows_with_the_share_of_refused_calls():
    """The more calls are refused, the larger the decrease must be.

    A large decrease after few refused calls would leave slots idle.
    """
    cutoffs = []
    for refused in (1, 20, 60):
        cutoff = make_cutoff()
        record_calls(cutoff, 100, refused)
        cutoff.adjust(ADJUST_SECONDS, utilisation=1.0, wait_ratio=0.0)
        cutoffs.append(cutoff.value)
    assert cutoffs == sorted(cutoffs, reverse=True)
    assert len(set(cutoffs)) == 3
    # The refused calls have rank 1. Rank 2 is the only less important rank,
    # so no other rank may be cut off, and the cutoff stays at 2 or above.
    assert all(2 <= value < RANK_COUNT for value in cutoffs)


def test_increase_slows_down_near_the_cutoff_of_the_last_overload():
    """The cutoff must rise slowly near the value at which the overload began.

    A fast increase would overload the backend server again.
    """
    cutoff = make_cutoff()
    cutoff.adjust(0.0, utilisation=1.0, wait_ratio=EXPIRED_WAIT_RATIO)
    cutoff.adjust(
        SETTLE_SECONDS, utilisation=1.0, wait_ratio=EXPIRED_WAIT_RATIO
    )
    increases = []
    now = 2 * SETTLE_SECONDS
    for _ in range(100):
        before = cutoff.value
        cutoff.adjust(now, utilisation=1.0, wait_ratio=0.0)
        increases.append(cutoff.value - before)
        now += ADJUST_SECONDS
    assert increases[0] > 2 * increases[20]
    assert cutoff.value == pytest.approx(RANK_COUNT)


@pytest.mark.parametrize('arrived', [0, 1, 3])
def test_single_refusal_among_few_calls_causes_no_decrease(arrived: int):
    """One refused call among few calls must not decrease the cutoff.

    At a service with few calls, a single refused call is a large part of all
    calls and would cause a large decrease.
    """
    cutoff = make_cutoff()
    record_calls(cutoff, arrived, 1)
    cutoff.adjust(ADJUST_SECONDS, utilisation=0.5, wait_ratio=0.0)
    assert cutoff.value == RANK_COUNT
