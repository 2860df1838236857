"""Tests of the gates in a simulation of overloaded call chains."""

import pytest

from mustardshunt.upstream.tests.chain_simulation import (
    ChainSimulation,
    make_stock_simulation,
    weighted_goodput,
)

SERVERS_LOST_AT = 4.0
SERVERS_RESTORED_AT = 16.0
# Requests after this time in seconds are not measured, because some of them
# have no response when the simulation ends.
MEASURED_UNTIL = 22.0
END = 24.0
# Time until lower cutoffs take effect at the entry nodes.
ADAPTATION_SECONDS = 3.0
# Requirements: the part of the important requests that is answered in time
# under overload, and the time until full service after the overload.
IMPORTANT_TARGET = 0.99
RECOVERY_SECONDS = 2.0


def simulate(
    seed: int, rate_factor: float, has_cutoffs: bool
) -> ChainSimulation:
    """Simulate the loss of two of the four servers of ``stock``."""
    simulation = make_stock_simulation(seed)
    simulation.rate_factor = rate_factor
    if not has_cutoffs:
        simulation.disable_cutoffs()
    simulation.at(SERVERS_LOST_AT, lambda: simulation.set_open('stock', 2))
    simulation.at(SERVERS_RESTORED_AT, lambda: simulation.set_open('stock', 4))
    simulation.run(END)
    return simulation


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_important_requests_are_served_when_last_service_is_halved(seed: int):
    """Guards against requests that are accepted and then fail half done.

    The service at the end of all call chains has lost half of its servers. If
    entry nodes accept too many requests, the service refuses their last calls.
    """
    simulation = simulate(seed, 1.0, has_cutoffs=True)
    start = SERVERS_LOST_AT + ADAPTATION_SECONDS
    assert (
        simulation.in_time_ratio('booking', start, SERVERS_RESTORED_AT)
        >= IMPORTANT_TARGET
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_goodput_recovers_after_the_servers_return(seed: int):
    """Guards against low goodput after the cause of an overload has ended.

    Retries of callers could prolong the overload, and cutoffs that stay low
    could go on refusing requests.
    """
    simulation = simulate(seed, 1.5, has_cutoffs=True)
    before = weighted_goodput(simulation, 0.0, SERVERS_LOST_AT)
    after = weighted_goodput(
        simulation, SERVERS_RESTORED_AT + RECOVERY_SECONDS, MEASURED_UNTIL
    )
    assert after >= 0.95 * before


def test_important_requests_fail_without_cutoffs():
    """Guards against a simulation without enough overload to need cutoffs.

    The tests with cutoffs would then pass even if the cutoffs had no effect.
    """
    simulation = simulate(1, 1.5, has_cutoffs=False)
    start = SERVERS_LOST_AT + ADAPTATION_SECONDS
    assert (
        simulation.in_time_ratio('booking', start, SERVERS_RESTORED_AT)
        < IMPORTANT_TARGET
    )
