"""Which options of the settings take effect in a running process."""

from collections.abc import Collection
from dataclasses import dataclass, fields, replace
from typing import Any, Final

from mustardshunt.sidecar._settings import OverloadSection, SidecarSettings

# Other nodes, the platform and the log know the process by these.
IDENTITY_OPTIONS: Final = frozenset((
    'node.name',
    'node.data_centre',
    'node.service',
))
# The components that make these decisions are chosen when the process starts.
OVERLOAD_OPTIONS: Final = frozenset(
    f'overload.{option.name}' for option in fields(OverloadSection)
)
ROLLOUT_OPTIONS: Final = frozenset((
    'bounds.rollout_share',
    'bounds.rollout_slack',
    'bounds.rollback',
))
# Options that keep their values until the next start.
FIXED_OPTIONS: Final = IDENTITY_OPTIONS | OVERLOAD_OPTIONS | ROLLOUT_OPTIONS
LISTEN_OPTIONS: Final = frozenset((
    'listen.callers',
    'listen.peers',
    'listen.ready',
    'listen.control',
    'listen.metrics',
))
# Has an effect only when the process starts, in which it is read.
_START_OPTION: Final = 'node.first_start'


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """Difference between the settings in force and those of the file.

    Parameters
    ----------
    settings : SidecarSettings
        Settings that are in force after the change.
    applied : tuple of str
        Options that take effect in the running process, as ``section.option``.
    waiting : tuple of str
        Options whose old values stay in force until the next start.
    """

    settings: SidecarSettings
    applied: tuple[str, ...]
    waiting: tuple[str, ...]


def compare_settings(
    in_force: SidecarSettings,
    read: SidecarSettings,
    fixed: Collection[str] = FIXED_OPTIONS,
) -> SettingsChange:
    """Return what changes when the settings of the file are applied.

    Parameters
    ----------
    in_force : SidecarSettings
        Settings that are in force.
    read : SidecarSettings
        Settings of the file.
    fixed : collection of str, default=FIXED_OPTIONS
        Options that cannot change now, as ``section.option``.
    """
    changed = _changed_options(in_force, read)
    waiting = [option for option in changed if option in fixed]
    settings = read
    for option in waiting:
        settings = _copy_option(in_force, settings, option)
    return SettingsChange(
        settings,
        tuple(
            option
            for option in changed
            if option not in fixed and option != _START_OPTION
        ),
        tuple(waiting),
    )


def _changed_options(old: SidecarSettings, new: SidecarSettings) -> list[str]:
    changed = []
    for section in fields(SidecarSettings):
        old_section: Any = getattr(old, section.name)
        new_section: Any = getattr(new, section.name)
        for option in fields(old_section):
            old_value = getattr(old_section, option.name)
            if old_value != getattr(new_section, option.name):
                changed.append(f'{section.name}.{option.name}')
    return changed


def _copy_option(
    source: SidecarSettings, target: SidecarSettings, name: str
) -> SidecarSettings:
    section, _, option = name.partition('.')
    kept: Any = getattr(getattr(source, section), option)
    target_section: Any = getattr(target, section)
    return replace(
        target, **{section: replace(target_section, **{option: kept})}
    )
