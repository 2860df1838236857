"""Real nodes must keep the invariants under random faults."""

import pytest

from mustardshunt.standin.soak import SoakPlan, run_soak

# One seed keeps the tests short; longer soaks are started with
# ``python -m mustardshunt.standin.soak``. A seed that found a violation is
# added here, with a comment on the cause.
SEEDS = (1,)
SECONDS = 6.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_invariants_hold_under_random_faults(seed: int):
    """Guards against double executions, wrong replies and exceeded caps."""
    result = await run_soak(SoakPlan(seed, nodes=3, seconds=SECONDS))
    assert not result.violations, (result.faults, result.directory)
    assert result.statuses.get(200, 0) > 0
