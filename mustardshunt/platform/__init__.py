"""Adapter to the users' platform: names, formats and calls."""

from mustardshunt.platform._dialect import PlatformDialect
from mustardshunt.platform._policy import decode_policy
from mustardshunt.platform._server_calls import PlatformServerCalls
from mustardshunt.platform._sources import (
    StoreMemberDirectory,
    StoreOperatorSource,
)
from mustardshunt.platform._store import StoreClient

__all__ = [
    'PlatformDialect',
    'PlatformServerCalls',
    'StoreClient',
    'StoreMemberDirectory',
    'StoreOperatorSource',
    'decode_policy',
]
