"""Node that runs beside one backend server on the platform of the users."""

from mustardshunt.sidecar._control import HeartbeatCodec
from mustardshunt.sidecar._node import Sidecar, run_sidecar
from mustardshunt.sidecar._platform_adapter import PlatformAdapter
from mustardshunt.sidecar._ports import (
    AnswerMetadata,
    EraChangedError,
    HeaderCodec,
    HistoryLostError,
    MemberDirectory,
    MemberUpdate,
    OperatorSource,
    OperatorUpdate,
    PlatformError,
    RequestMetadata,
    ServerHealth,
    VerdictDirectory,
    VerdictRecord,
)
from mustardshunt.sidecar._rollout_records import (
    RolloutDirectory,
    RolloutRecord,
    RolloutStatus,
)
from mustardshunt.sidecar._settings import (
    SettingsFile,
    SidecarSettings,
    SidecarSettingsError,
    check_sidecar_settings,
    is_sidecar_settings,
    parse_sidecar_settings,
)

__all__ = [
    'AnswerMetadata',
    'EraChangedError',
    'HeaderCodec',
    'HeartbeatCodec',
    'HistoryLostError',
    'MemberDirectory',
    'MemberUpdate',
    'OperatorSource',
    'OperatorUpdate',
    'PlatformAdapter',
    'PlatformError',
    'RequestMetadata',
    'RolloutDirectory',
    'RolloutRecord',
    'RolloutStatus',
    'ServerHealth',
    'SettingsFile',
    'Sidecar',
    'SidecarSettings',
    'SidecarSettingsError',
    'VerdictDirectory',
    'VerdictRecord',
    'check_sidecar_settings',
    'is_sidecar_settings',
    'parse_sidecar_settings',
    'run_sidecar',
]
