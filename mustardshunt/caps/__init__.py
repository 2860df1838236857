"""Caps on what all nodes together may spend: requests and retries."""

from mustardshunt.caps._caps import (
    Cap,
    CapBounds,
    make_retry_caps,
    make_usage_caps,
    retry_cap_name,
)
from mustardshunt.caps._shares import JOIN_SECONDS, CapShares
from mustardshunt.caps._tokens import (
    REQUEST_TIMEOUT_SECONDS,
    ShareView,
    TokenRequest,
)

__all__ = [
    'JOIN_SECONDS',
    'REQUEST_TIMEOUT_SECONDS',
    'Cap',
    'CapBounds',
    'CapShares',
    'ShareView',
    'TokenRequest',
    'make_retry_caps',
    'make_usage_caps',
    'retry_cap_name',
]
