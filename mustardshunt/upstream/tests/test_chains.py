"""Whole chains under overload, over the real gates in virtual time."""

import pytest

from mustardshunt.upstream.tests.chain_simulation import (
    ChainSimulation,
    make_stock_simulation,
    weighted_goodput,
)

LEAVES_AT = 4.0
RETURNS_AT = 16.0
# Requests of the last seconds are not answered yet.
MEASURED_UNTIL = 22.0
END = 24.0
# Time for the cutoffs to reach the nodes at which requests enter.
ADAPTED_AFTER = 3.0
# The product's targets: goodput of important requests, and recovery.
IMPORTANT_TARGET = 0.99
RECOVERY_SECONDS = 2.0


def play(seed: int, rate_factor: float, has_cutoffs: bool) -> ChainSimulation:
    """Let the service at the end of all chains lose half of its servers."""
    world = make_stock_simulation(seed)
    world.rate_factor = rate_factor
    if not has_cutoffs:
        world.disable_cutoffs()
    world.at(LEAVES_AT, lambda: world.set_open('stock', 2))
    world.at(RETURNS_AT, lambda: world.set_open('stock', 4))
    world.run(END)
    return world


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_bookings_are_served_while_half_of_the_last_service_is_gone(seed: int):
    """Guards against chains that all fail half done, by turns."""
    world = play(seed, 1.0, has_cutoffs=True)
    start = LEAVES_AT + ADAPTED_AFTER
    assert world.in_time_ratio('booking', start, RETURNS_AT) >= IMPORTANT_TARGET


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_service_is_whole_again_once_the_servers_are_back(seed: int):
    world = play(seed, 1.5, has_cutoffs=True)
    before = weighted_goodput(world, 0.0, LEAVES_AT)
    after = weighted_goodput(
        world, RETURNS_AT + RECOVERY_SECONDS, MEASURED_UNTIL
    )
    assert after >= 0.95 * before


def test_without_cutoffs_chains_fail():
    """Shows that the world needs the mechanism at all."""
    world = play(1, 1.5, has_cutoffs=False)
    start = LEAVES_AT + ADAPTED_AFTER
    assert world.in_time_ratio('booking', start, RETURNS_AT) < IMPORTANT_TARGET
