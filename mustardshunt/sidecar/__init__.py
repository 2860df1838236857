"""A node of a deployment: relays calls beside one backend server."""

from mustardshunt.sidecar._control import ServerCalls
from mustardshunt.sidecar._node import PlatformAdapter, Sidecar, run_sidecar
from mustardshunt.sidecar._ports import (
    AnswerFacts,
    CallerFacts,
    HeaderDialect,
    HistoryLostError,
    MemberDirectory,
    MemberNews,
    OperatorNews,
    OperatorSource,
    PlatformError,
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
    'AnswerFacts',
    'CallerFacts',
    'HeaderDialect',
    'HistoryLostError',
    'MemberDirectory',
    'MemberNews',
    'OperatorNews',
    'OperatorSource',
    'PlatformAdapter',
    'PlatformError',
    'ServerCalls',
    'SettingsFile',
    'Sidecar',
    'SidecarSettings',
    'SidecarSettingsError',
    'check_sidecar_settings',
    'is_sidecar_settings',
    'parse_sidecar_settings',
    'run_sidecar',
]
