"""How fast the accepted ranks follow an overload."""

import pytest

from mustardshunt.upstream._cutoff import (
    MIN_CUTOFF,
    SETTLE_SECONDS,
    TARGET_WAIT_RATIO,
    Cutoff,
)

REVIEW_SECONDS = 0.1
RANKS = 3
LATE = 1.0


def make_cutoff() -> Cutoff:
    cutoff = Cutoff()
    cutoff.set_rank_count(RANKS)
    return cutoff


def record_calls(cutoff: Cutoff, arrived: int, refused: int) -> None:
    for _ in range(arrived):
        cutoff.record_arrival()
    for _ in range(refused):
        cutoff.record_refusal(1, is_child_call=False)


def test_calls_of_requests_accepted_before_a_step_cause_no_further_step():
    """Guards against refusing nearly all requests for one overload."""
    cutoff = make_cutoff()
    cutoff.adjust(REVIEW_SECONDS, utilisation=1.0, wait_ratio=LATE)
    after_step = cutoff.value
    assert after_step == pytest.approx(RANKS - 1)
    now = REVIEW_SECONDS
    while now < SETTLE_SECONDS:
        record_calls(cutoff, 40, 20)
        cutoff.adjust(now, utilisation=1.0, wait_ratio=LATE)
        now += REVIEW_SECONDS
    assert cutoff.value == after_step


def test_chains_that_wait_lower_the_cutoff_before_any_call_is_refused():
    """Guards against chains that all come to their deadlines half done."""
    cutoff = make_cutoff()
    record_calls(cutoff, 40, 0)
    assert (
        cutoff.adjust(0.0, utilisation=1.0, wait_ratio=TARGET_WAIT_RATIO)
        is None
    )
    step = cutoff.adjust(REVIEW_SECONDS, utilisation=1.0, wait_ratio=0.5)
    assert step is not None
    assert step.cutoff < RANKS


def test_overload_that_stays_takes_further_steps_to_the_last_rank():
    cutoff = make_cutoff()
    now = 0.0
    while now < 6 * SETTLE_SECONDS:
        now += REVIEW_SECONDS
        cutoff.adjust(now, utilisation=1.0, wait_ratio=LATE)
    assert cutoff.value == pytest.approx(MIN_CUTOFF)


def test_step_follows_the_refused_part():
    levels = []
    for refused in (1, 20, 60):
        cutoff = make_cutoff()
        record_calls(cutoff, 100, refused)
        cutoff.adjust(REVIEW_SECONDS, utilisation=1.0, wait_ratio=0.0)
        levels.append(cutoff.value)
    assert levels == sorted(levels, reverse=True)
    assert len(set(levels)) == 3
    # A call of the second rank was refused, so that rank itself stays.
    assert all(2 <= level < RANKS for level in levels)


def test_rise_slows_down_near_the_level_of_the_last_overload():
    """Guards against the swing into the same overload once more."""
    cutoff = make_cutoff()
    cutoff.adjust(0.0, utilisation=1.0, wait_ratio=LATE)
    cutoff.adjust(SETTLE_SECONDS, utilisation=1.0, wait_ratio=LATE)
    rises = []
    now = 2 * SETTLE_SECONDS
    for _ in range(100):
        before = cutoff.value
        cutoff.adjust(now, utilisation=1.0, wait_ratio=0.0)
        rises.append(cutoff.value - before)
        now += REVIEW_SECONDS
    assert rises[0] > 2 * rises[20]
    assert cutoff.value == pytest.approx(RANKS)


@pytest.mark.parametrize('arrived', [0, 1, 3])
def test_single_refusal_among_few_calls_waits_for_more(arrived: int):
    """Guards against a large step for one call of a quiet service."""
    cutoff = make_cutoff()
    record_calls(cutoff, arrived, 1)
    cutoff.adjust(REVIEW_SECONDS, utilisation=0.5, wait_ratio=0.0)
    assert cutoff.value == RANKS
