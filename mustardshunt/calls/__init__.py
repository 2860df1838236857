"""Calls in flight at a backend server, with their child calls and retries.

A child call is a call that a running request makes.
"""

from mustardshunt.calls._budget import (
    HopRetryBudget,
    RetryThrottle,
    make_retry_throttle,
)
from mustardshunt.calls._table import (
    CallSummary,
    CallTable,
    ChildCallContext,
    make_call_table,
)

__all__ = [
    'CallSummary',
    'CallTable',
    'ChildCallContext',
    'HopRetryBudget',
    'RetryThrottle',
    'make_call_table',
    'make_retry_throttle',
]
