"""Decides how many connections a node keeps open, and which ones give way."""

from mustardshunt.connections._limits import (
    ConnectionBound,
    ConnectionLimits,
    make_connection_limits,
)
from mustardshunt.connections._progress import (
    ProgressLimits,
    Shortage,
    Stage,
    Transfer,
    choose_slow,
    is_late,
)
from mustardshunt.connections._table import (
    Admission,
    Connection,
    ConnectionTable,
)

__all__ = [
    'Admission',
    'Connection',
    'ConnectionBound',
    'ConnectionLimits',
    'ConnectionTable',
    'ProgressLimits',
    'Shortage',
    'Stage',
    'Transfer',
    'choose_slow',
    'is_late',
    'make_connection_limits',
]
