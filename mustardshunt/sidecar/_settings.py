"""Settings file of a sidecar: an INI file, validated as a whole."""

import configparser
import math
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any, Final

from mustardshunt.base import (
    ErrorCode,
    MustardshuntError,
    ValidationIssue,
    VmAddress,
    nearest_name,
)

_UNIT_SECONDS: Final = {'ms': 0.001, 's': 1.0}
# Longest key of a digest.
MAX_KEY_BYTES: Final = 64
_TRUE: Final = 'true'
_FALSE: Final = 'false'
_MAX_PORT: Final = 65535
_NUMBER_FORM: Final = 'a number of 0 or more, or a time such as 1500ms or 2s'
_LOG_LEVELS: Final = (
    'TRACE',
    'DEBUG',
    'INFO',
    'SUCCESS',
    'WARNING',
    'ERROR',
    'CRITICAL',
)
# Times that other figures are divided by, or within which nothing could happen.
_POSITIVE_OPTIONS: Final = frozenset((
    'grace',
    'heartbeat',
    'retry_window',
    'rollback',
))


class SidecarSettingsError(MustardshuntError):
    """A settings file is invalid.

    Parameters
    ----------
    faults : list of ValidationIssue
        All faults of the file.
    """

    def __init__(self, faults: list[ValidationIssue]) -> None:
        super().__init__(
            ErrorCode.BAD_SETTINGS,
            '; '.join(str(fault) for fault in faults),
        )
        self.faults = faults


@dataclass(frozen=True, slots=True)
class NodeSection:
    """Section ``[node]``: identity of the node and its backend server.

    Parameters
    ----------
    name : str
        Name of the node, the same after a restart.
    data_centre : str
        Data centre of the VM.
    service : str
        Service of the backend server on the VM.
    backend_server : VmAddress
        Address at which the backend server listens.
    first_start : bool
        Whether the whole deployment starts for the first time.
    memory_mb : float
        Memory in MB that the process may use.
    log_level : str
        Lowest severity of the log lines that are written.
    """

    name: str
    data_centre: str
    service: str
    backend_server: VmAddress
    first_start: bool
    memory_mb: float
    log_level: str


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Section ``[listen]``: addresses at which the node listens.

    Parameters
    ----------
    callers : VmAddress
        Address for callers and the backend server on the same VM.
    peers : VmAddress
        Address for links of other nodes.
    ready : VmAddress
        Address for readiness checks of callers.
    control : VmAddress
        Address for heartbeats of the backend server.
    metrics : VmAddress
        Address for the monitoring system.
    """

    callers: VmAddress
    peers: VmAddress
    ready: VmAddress
    control: VmAddress
    metrics: VmAddress


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """Section ``[platform]``: address of the store, heartbeat interval.

    Parameters
    ----------
    address : VmAddress
        Address at which the platform's store listens.
    heartbeat : float
        Interval in seconds between heartbeats of a backend server.
    """

    address: VmAddress
    heartbeat: float


@dataclass(frozen=True, slots=True)
class BoundsSection:
    """Section ``[bounds]``: limits that hold for all nodes together.

    Parameters
    ----------
    grace : float
        Seconds from the stop signal until the process is killed.
    retry_ratio : float
        Retries allowed per request.
    retry_window : float
        Window in seconds over which retries are counted.
    retry_minimum : float
        Retries allowed in a window even if it has no requests.
    cap_overage : float
        Fraction by which an organisation may exceed its rate and burst.
    cap_slack : float
        Number of requests by which an organisation may exceed its rate and
        burst, in addition to ``cap_overage``.
    rollout_share : float
        Share of a service's requests that a bad version may get during a
        rollout; 0 ignores versions and orders of rollouts.
    rollout_slack : float
        Number of requests that it may get beyond the share.
    rollback : float
        Seconds after the 50th bad answer of a version from which on it must get
        no request.
    """

    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_minimum: float = 48.0
    cap_overage: float = 0.0
    cap_slack: float = 0.0
    rollout_share: float = 0.0
    rollout_slack: float = 0.0
    rollback: float = 5.0


@dataclass(frozen=True, slots=True)
class OverloadSection:
    """Section ``[overload]``: decisions under load that may be switched on.

    Parameters
    ----------
    chain_admission : bool
        Whether retries are scheduled for whole call chains, and requests are
        admitted only as far as the retries that their chains need are allowed.
    deadline_queue : bool
        Whether the admission queue refuses calls that cannot end in time, and
        serves first the organisation that was served least.
    forecast_retry_after : bool
        Whether ``Retry-After`` follows the time at which the backend server is
        expected to have capacity.
    pace_placement : bool
        Whether the choice of a member depends on the pace of its backend server
        and on the remaining time of the request.
    start_check : bool
        Whether a restarted node asks its backend server for its state, instead
        of waiting for the next heartbeat.
    """

    chain_admission: bool = False
    deadline_queue: bool = False
    forecast_retry_after: bool = False
    pace_placement: bool = False
    start_check: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineSection:
    """Section ``[quarantine]``: requests that crash backend servers.

    Parameters
    ----------
    fingerprint_key : str
        Key of the digests that stand for requests in logs, the same at all
        nodes; at most 64 bytes. Who does not know it cannot tell from a log
        whether a request that they guess was sent.
    """

    fingerprint_key: str = 'mustardshunt'


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Everything that a sidecar reads from its settings file.

    Parameters
    ----------
    node : NodeSection
        Identity of the node and its backend server.
    listen : ListenSection
        Addresses at which the node listens.
    platform : PlatformSection
        Address of the platform's store and heartbeat interval.
    bounds : BoundsSection
        Limits that hold for all nodes together.
    quarantine : QuarantineSection
        Requests that crash backend servers.
    overload : OverloadSection
        Decisions under load that may be switched on.
    """

    node: NodeSection
    listen: ListenSection
    platform: PlatformSection
    bounds: BoundsSection
    quarantine: QuarantineSection = QuarantineSection()
    overload: OverloadSection = OverloadSection()


_CLASS_BY_SECTION: Final[dict[str, type[Any]]] = {
    'node': NodeSection,
    'listen': ListenSection,
    'platform': PlatformSection,
    'bounds': BoundsSection,
    'quarantine': QuarantineSection,
    'overload': OverloadSection,
}


def check_sidecar_settings(text: str, file: str) -> list[ValidationIssue]:
    """Return all faults of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, as reported in the faults.

    Examples
    --------
    >>> print(check_sidecar_settings('[nod]', 'a.ini')[0])
    a.ini: [nod]: found 'nod', expected a known section; did you mean 'node'?
    """
    return _read(text, file)[1]


def is_sidecar_settings(text: str) -> bool:
    r"""Tell whether a settings file is for a sidecar.

    Only settings files of sidecars have a section ``[listen]``.

    Examples
    --------
    >>> is_sidecar_settings('[node]\n[listen]\n')
    True
    """
    return any(line.strip() == '[listen]' for line in text.splitlines())


def parse_sidecar_settings(text: str, file: str) -> SidecarSettings:
    """Parse and validate the settings of a sidecar.

    Raises
    ------
    SidecarSettingsError
        The file is invalid.
    """
    values_by_section, faults = _read(text, file)
    if faults:
        raise SidecarSettingsError(faults)
    return SidecarSettings(**{
        section: section_class(**values_by_section[section])
        for section, section_class in _CLASS_BY_SECTION.items()
    })


class SettingsFile:
    """Settings file that may be replaced while the node runs.

    Parameters
    ----------
    path : Path
        Path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._version: tuple[int, int] | None = None

    def read(self) -> SidecarSettings:
        """Read the file and return its settings.

        Raises
        ------
        OSError
            The file cannot be read.
        SidecarSettingsError
            The file is invalid.
        """
        self._version = self.version()
        try:
            text = self._path.read_text(encoding='utf-8')
        except UnicodeDecodeError as error:
            found = f'an invalid byte at offset {error.start}'
            raise SidecarSettingsError([
                ValidationIssue(str(self._path), '', found, 'UTF-8 text')
            ]) from error
        return parse_sidecar_settings(text, str(self._path))

    def has_changed(self) -> bool:
        """Tell whether the file has changed since it was last read."""
        # The file may be missing because it is being replaced. The next check
        # tries again.
        return self.version() not in {None, self._version}

    def version(self) -> tuple[int, int] | None:
        """Return time and size of the present content, None if missing."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)


def _read(
    text: str,
    file: str,
) -> tuple[dict[str, dict[str, Any]], list[ValidationIssue]]:
    parser = configparser.ConfigParser(interpolation=None, delimiters=('=',))
    values: dict[str, dict[str, Any]] = {}
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        return values, [
            ValidationIssue(file, '', str(error), 'a valid INI file')
        ]
    faults = []
    for section in parser.sections():
        if section not in _CLASS_BY_SECTION:
            faults.append(
                _unknown(file, f'[{section}]', section, 'a known section')
            )
    for section, section_class in _CLASS_BY_SECTION.items():
        found = dict(parser[section]) if parser.has_section(section) else {}
        section_values, section_faults = _read_section(
            file, section, section_class, found
        )
        values[section] = section_values
        faults.extend(section_faults)
    return values, faults


def _read_section(
    file: str,
    section: str,
    section_class: type[Any],
    found: dict[str, str],
) -> tuple[dict[str, Any], list[ValidationIssue]]:
    values: dict[str, Any] = {}
    type_by_option = {field.name: field.type for field in fields(section_class)}
    optional = {
        field.name
        for field in fields(section_class)
        if field.default is not MISSING
    }
    faults = [
        _unknown(
            file, f'[{section}] {option}', option, 'a known option', known_names
        )
        for known_names in (tuple(type_by_option),)
        for option in found
        if option not in known_names
    ]
    for option, option_type in type_by_option.items():
        location = f'[{section}] {option}'
        if option in optional and not found.get(option, '').strip():
            continue
        if option not in found:
            faults.append(
                ValidationIssue(file, location, '', 'a value, but none is set')
            )
            continue
        try:
            values[option] = _read_option(
                option, found[option].strip(), option_type
            )
        except ValueError as error:
            faults.append(
                ValidationIssue(file, location, found[option], str(error))
            )
    return values, faults


def _unknown(
    file: str,
    location: str,
    found: str,
    kind: str,
    known_names: Any = tuple(_CLASS_BY_SECTION),
) -> ValidationIssue:
    nearest = nearest_name(found, list(known_names))
    hint = f'; did you mean {nearest!r}?' if nearest else ''
    return ValidationIssue(file, location, found, f'{kind}{hint}')


def _convert(text: str, option_type: Any) -> Any:
    if option_type is VmAddress:
        return _address(text)
    if option_type is bool:
        if text not in {_TRUE, _FALSE}:
            raise ValueError('true or false')
        return text == _TRUE
    if option_type is float:
        return _number(text)
    if not text:
        raise ValueError('a text that is not empty')
    return text


def _read_option(option: str, text: str, option_type: Any) -> Any:
    if option == 'fingerprint_key' and len(text.encode()) > MAX_KEY_BYTES:
        raise ValueError(f'at most {MAX_KEY_BYTES} bytes')
    if option == 'log_level' and text not in _LOG_LEVELS:
        raise ValueError(' or '.join(_LOG_LEVELS))
    converted = _convert(text, option_type)
    if option in _POSITIVE_OPTIONS and converted <= 0:
        raise ValueError('a time above 0')
    return converted


def _address(text: str) -> VmAddress:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError('HOST:PORT')
    try:
        host.encode('idna')
    except UnicodeError as error:
        raise ValueError('HOST:PORT') from error
    return VmAddress(host, int(port))


def _number(text: str) -> float:
    number = text
    factor = 1.0
    for unit, seconds in _UNIT_SECONDS.items():
        if text.endswith(unit):
            number = text.removesuffix(unit)
            factor = seconds
            break
    try:
        converted = float(number) * factor
    except ValueError as error:
        raise ValueError(_NUMBER_FORM) from error
    if not 0 <= converted < math.inf:
        raise ValueError(_NUMBER_FORM)
    return converted
