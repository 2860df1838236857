"""Usage caps, which limit the requests of each organisation over all nodes.

A usage cap consists of a rate and a burst. Each node spends tokens from its own
share of the cap.
"""

from mustardshunt.caps._shares import (
    JOIN_SECONDS,
    CapBounds,
    CapShares,
    ShareView,
    TokenRequest,
)

__all__ = [
    'JOIN_SECONDS',
    'CapBounds',
    'CapShares',
    'ShareView',
    'TokenRequest',
]
