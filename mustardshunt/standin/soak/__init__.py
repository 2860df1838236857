"""Randomized faults against real node processes, checked from outside."""

from mustardshunt.standin.soak._promises import Breach, Ledger
from mustardshunt.standin.soak._proxy import FaultProxy, Trouble
from mustardshunt.standin.soak._run import SoakPlan, run_soak

__all__ = [
    'Breach',
    'FaultProxy',
    'Ledger',
    'SoakPlan',
    'Trouble',
    'run_soak',
]
