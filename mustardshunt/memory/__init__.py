"""Decides which bytes a node keeps for others, and what is given up."""

from mustardshunt.memory._account import (
    Holding,
    MemoryAccount,
    make_memory_account,
)
from mustardshunt.memory._large_bodies import LargeBodyRoom
from mustardshunt.memory._limits import (
    LargeBodyLimits,
    large_body_limits,
    memory_limits,
)
from mustardshunt.memory._victims import SMALL_BYTES, HeldPart

__all__ = [
    'SMALL_BYTES',
    'HeldPart',
    'Holding',
    'LargeBodyLimits',
    'LargeBodyRoom',
    'MemoryAccount',
    'large_body_limits',
    'make_memory_account',
    'memory_limits',
]
