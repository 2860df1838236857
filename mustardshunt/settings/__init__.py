"""Data classes, parser and validation for the settings file of a node."""

from mustardshunt.settings._model import (
    DataCentreSection,
    IpNetwork,
    LimitsSection,
    NodeSection,
    NodeSettings,
    PlatformSection,
)
from mustardshunt.settings._parse import (
    SettingsError,
    check_settings,
    parse_settings,
)

__all__ = [
    'DataCentreSection',
    'IpNetwork',
    'LimitsSection',
    'NodeSection',
    'NodeSettings',
    'PlatformSection',
    'SettingsError',
    'check_settings',
    'parse_settings',
]
