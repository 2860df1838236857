"""Adapter to the users' platform: headers, heartbeats, policy and store."""

from mustardshunt.platform._header_codec import PlatformHeaderCodec
from mustardshunt.platform._heartbeat_codec import PlatformHeartbeatCodec
from mustardshunt.platform._policy import decode_policy
from mustardshunt.platform._sources import (
    StoreMemberDirectory,
    StoreOperatorSource,
)
from mustardshunt.platform._store import StoreClient

__all__ = [
    'PlatformHeaderCodec',
    'PlatformHeartbeatCodec',
    'StoreClient',
    'StoreMemberDirectory',
    'StoreOperatorSource',
    'decode_policy',
]
