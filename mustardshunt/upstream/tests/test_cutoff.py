"""How fast the accepted ranks follow an overload."""

import pytest

from mustardshunt.upstream._cutoff import (
    LOWEST_CUTOFF,
    SETTLE_SECONDS,
    USUAL_WAIT,
    Cutoff,
)

REVIEW_SECONDS = 0.1
RANKS = 3
LATE = 1.0


def make_cutoff() -> Cutoff:
    cutoff = Cutoff()
    cutoff.set_positions(RANKS)
    return cutoff


def note_calls(cutoff: Cutoff, arrived: int, refused: int) -> None:
    for _ in range(arrived):
        cutoff.note_arrival()
    for _ in range(refused):
        cutoff.note_refusal(1, is_continuation=False)


def test_calls_of_requests_accepted_before_a_step_cause_no_further_step():
    """Guards against refusing nearly all requests for one overload."""
    cutoff = make_cutoff()
    cutoff.review(REVIEW_SECONDS, used=1.0, pressure=LATE)
    after_step = cutoff.level
    assert after_step == pytest.approx(RANKS - 1)
    now = REVIEW_SECONDS
    while now < SETTLE_SECONDS:
        note_calls(cutoff, 40, 20)
        cutoff.review(now, used=1.0, pressure=LATE)
        now += REVIEW_SECONDS
    assert cutoff.level == after_step


def test_chains_that_wait_lower_the_cutoff_before_any_call_is_refused():
    """Guards against chains that all come to their deadlines half done."""
    cutoff = make_cutoff()
    note_calls(cutoff, 40, 0)
    assert cutoff.review(0.0, used=1.0, pressure=USUAL_WAIT) is None
    step = cutoff.review(REVIEW_SECONDS, used=1.0, pressure=0.5)
    assert step is not None
    assert step.level < RANKS


def test_overload_that_stays_takes_further_steps_to_the_last_rank():
    cutoff = make_cutoff()
    now = 0.0
    while now < 6 * SETTLE_SECONDS:
        now += REVIEW_SECONDS
        cutoff.review(now, used=1.0, pressure=LATE)
    assert cutoff.level == pytest.approx(LOWEST_CUTOFF)


def test_step_follows_the_refused_part():
    levels = []
    for refused in (1, 20, 60):
        cutoff = make_cutoff()
        note_calls(cutoff, 100, refused)
        cutoff.review(REVIEW_SECONDS, used=1.0, pressure=0.0)
        levels.append(cutoff.level)
    assert levels == sorted(levels, reverse=True)
    assert len(set(levels)) == 3
    # A call of the second rank was refused, so that rank itself stays.
    assert all(2 <= level < RANKS for level in levels)


def test_rise_slows_down_near_the_level_of_the_last_overload():
    """Guards against the swing into the same overload once more."""
    cutoff = make_cutoff()
    cutoff.review(0.0, used=1.0, pressure=LATE)
    cutoff.review(SETTLE_SECONDS, used=1.0, pressure=LATE)
    rises = []
    now = 2 * SETTLE_SECONDS
    for _ in range(100):
        before = cutoff.level
        cutoff.review(now, used=1.0, pressure=0.0)
        rises.append(cutoff.level - before)
        now += REVIEW_SECONDS
    assert rises[0] > 2 * rises[20]
    assert cutoff.level == pytest.approx(RANKS)


@pytest.mark.parametrize('arrived', [0, 1, 3])
def test_single_refusal_among_few_calls_waits_for_more(arrived: int):
    """Guards against a large step for one call of a quiet service."""
    cutoff = make_cutoff()
    note_calls(cutoff, arrived, 1)
    cutoff.review(REVIEW_SECONDS, used=0.5, pressure=0.0)
    assert cutoff.level == RANKS
