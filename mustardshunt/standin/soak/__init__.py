"""Soak test: random faults on real node processes.

The invariants are checked outside of the nodes, on the requests of callers and
the executions at backend servers.
"""

from mustardshunt.standin.soak._invariants import History, Violation
from mustardshunt.standin.soak._proxy import ConnectionFault, FaultProxy
from mustardshunt.standin.soak._run import SoakPlan, run_soak

__all__ = [
    'ConnectionFault',
    'FaultProxy',
    'History',
    'SoakPlan',
    'Violation',
    'run_soak',
]
