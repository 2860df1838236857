"""Adapter to the users' platform: HTTP headers, heartbeats, policy, store.

The store holds the tables in which operators write the policy and nodes
register.
"""

from mustardshunt.platform._header_codec import PlatformHeaderCodec
from mustardshunt.platform._heartbeat_codec import PlatformHeartbeatCodec
from mustardshunt.platform._policy import decode_policy
from mustardshunt.platform._rollouts import StoreRolloutDirectory
from mustardshunt.platform._sources import (
    StoreMemberDirectory,
    StoreOperatorSource,
    StoreVerdictDirectory,
)
from mustardshunt.platform._store import StoreClient

__all__ = [
    'PlatformHeaderCodec',
    'PlatformHeartbeatCodec',
    'StoreClient',
    'StoreMemberDirectory',
    'StoreOperatorSource',
    'StoreRolloutDirectory',
    'StoreVerdictDirectory',
    'decode_policy',
]
