"""Usage caps: rate and burst of each organisation over all nodes."""

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
