"""Settings file of a sidecar: an INI file, checked as a whole."""

import configparser
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
_TRUE: Final = 'true'
_FALSE: Final = 'false'


class SidecarSettingsError(MustardshuntError):
    """A settings file has faults.

    Parameters
    ----------
    faults : list of ValidationIssue
        All of them.
    """

    def __init__(self, faults: list[ValidationIssue]) -> None:
        super().__init__(
            ErrorCode.BAD_SETTINGS,
            '; '.join(str(fault) for fault in faults),
        )
        self.faults = faults


@dataclass(frozen=True, slots=True)
class NodeSection:
    """Which node this is.

    Parameters
    ----------
    name : str
        Name of the node, the same after a restart.
    data_centre : str
        Data centre of the VM.
    service : str
        Service of the backend server on the VM.
    backend_server : VmAddress
        Where the backend server listens.
    first_start : bool
        Whether the whole deployment starts for the first time.
    memory_mb : int
        Memory that the process may use.
    log_level : str
        Lowest level of the log lines that are written.
    """

    name: str
    data_centre: str
    service: str
    backend_server: VmAddress
    first_start: bool
    memory_mb: int
    log_level: str


@dataclass(frozen=True, slots=True)
class ListenSection:
    """Where the node listens.

    Parameters
    ----------
    callers : VmAddress
        For callers and the backend server on the same VM.
    peers : VmAddress
        For other nodes.
    ready : VmAddress
        For the readiness check.
    control : VmAddress
        For heartbeats of the backend server.
    metrics : VmAddress
        For the monitoring system.
    """

    callers: VmAddress
    peers: VmAddress
    ready: VmAddress
    control: VmAddress
    metrics: VmAddress


@dataclass(frozen=True, slots=True)
class PlatformSection:
    """The platform's store and its rhythm.

    Parameters
    ----------
    address : VmAddress
        Where the store listens.
    heartbeat : float
        Seconds between heartbeats of a backend server.
    """

    address: VmAddress
    heartbeat: float


@dataclass(frozen=True, slots=True)
class BoundsSection:
    """What all nodes together have to keep.

    Parameters
    ----------
    grace : float
        Seconds from the signal to stop until the process is killed.
    retry_ratio : float
        Repeats for each request.
    retry_window : float
        Seconds over which repeats are counted.
    retry_minimum : int
        Repeats in a window that are allowed without any request.
    cap_overage : float
        Part of rate and burst by which an organisation may exceed them.
    cap_slack : int
        Requests by which an organisation may exceed them besides.
    """

    grace: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_minimum: int = 48
    cap_overage: float = 0.0
    cap_slack: int = 0


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Everything that a sidecar reads from its settings file.

    Parameters
    ----------
    node : NodeSection
        Which node this is.
    listen : ListenSection
        Where it listens.
    platform : PlatformSection
        The platform's store.
    bounds : BoundsSection
        What all nodes together have to keep.
    """

    node: NodeSection
    listen: ListenSection
    platform: PlatformSection
    bounds: BoundsSection


_CLASS_BY_SECTION: Final[dict[str, type[Any]]] = {
    'node': NodeSection,
    'listen': ListenSection,
    'platform': PlatformSection,
    'bounds': BoundsSection,
}


def check_sidecar_settings(text: str, file: str) -> list[ValidationIssue]:
    """List all faults of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for the faults.

    Examples
    --------
    >>> print(check_sidecar_settings('[nod]', 'a.ini')[0])
    a.ini: [nod]: 'nod': a section; did you mean 'node'?
    """
    return _read(text, file)[1]


def is_sidecar_settings(text: str) -> bool:
    r"""Tell whether a settings file is one of a sidecar.

    Examples
    --------
    >>> is_sidecar_settings('[node]\n[listen]\n')
    True
    """
    return any(line.strip() == '[listen]' for line in text.splitlines())


def parse_sidecar_settings(text: str, file: str) -> SidecarSettings:
    """Turn a settings file into settings.

    Raises
    ------
    SidecarSettingsError
        The file has faults.
    """
    values_by_section, faults = _read(text, file)
    if faults:
        raise SidecarSettingsError(faults)
    return SidecarSettings(**{
        section: make(**values_by_section[section])
        for section, make in _CLASS_BY_SECTION.items()
    })


class SettingsFile:
    """A settings file that may change while the node runs.

    Parameters
    ----------
    path : Path
        Where the file is.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp: tuple[int, int] | None = None

    def read(self) -> SidecarSettings:
        """Return the settings.

        Raises
        ------
        OSError
            The file cannot be read.
        SidecarSettingsError
            The file has faults.
        """
        self._stamp = self._read_stamp()
        text = self._path.read_text(encoding='utf-8')
        return parse_sidecar_settings(text, str(self._path))

    def has_changed(self) -> bool:
        """Tell whether the file is another one than was read last."""
        try:
            return self._read_stamp() != self._stamp
        except OSError:
            # A file that is being replaced is looked at the next time.
            return False

    def _read_stamp(self) -> tuple[int, int]:
        status = self._path.stat()
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
        return values, [ValidationIssue(file, '', str(error), 'INI sections')]
    faults = []
    for section in parser.sections():
        if section not in _CLASS_BY_SECTION:
            faults.append(_unknown(file, f'[{section}]', section, 'a section'))
    for section, make in _CLASS_BY_SECTION.items():
        found = dict(parser[section]) if parser.has_section(section) else {}
        read, section_faults = _read_section(file, section, make, found)
        values[section] = read
        faults.extend(section_faults)
    return values, faults


def _read_section(
    file: str,
    section: str,
    make: type[Any],
    found: dict[str, str],
) -> tuple[dict[str, Any], list[ValidationIssue]]:
    values: dict[str, Any] = {}
    type_by_option = {field.name: field.type for field in fields(make)}
    optional = {
        field.name for field in fields(make) if field.default is not MISSING
    }
    faults = [
        _unknown(file, f'[{section}] {option}', option, 'an option', known)
        for known in (tuple(type_by_option),)
        for option in found
        if option not in known
    ]
    for option, wanted in type_by_option.items():
        place = f'[{section}] {option}'
        if option in optional and not found.get(option, '').strip():
            continue
        if option not in found:
            faults.append(
                ValidationIssue(file, place, '', 'a value; none is there')
            )
            continue
        try:
            values[option] = _convert(found[option].strip(), wanted)
        except ValueError as error:
            faults.append(
                ValidationIssue(file, place, found[option], str(error))
            )
    return values, faults


def _unknown(
    file: str,
    place: str,
    found: str,
    kind: str,
    known: Any = tuple(_CLASS_BY_SECTION),
) -> ValidationIssue:
    nearest = nearest_name(found, list(known))
    hint = f'; did you mean {nearest!r}?' if nearest else ''
    return ValidationIssue(file, place, found, f'{kind}{hint}')


def _convert(text: str, wanted: Any) -> Any:
    if wanted is VmAddress:
        return _address(text)
    if wanted is bool:
        if text not in {_TRUE, _FALSE}:
            raise ValueError('true or false')
        return text == _TRUE
    if wanted is int:
        if not text.isdigit():
            raise ValueError('a whole number')
        return int(text)
    if wanted is float:
        return _number(text)
    if not text:
        raise ValueError('a text')
    return text


def _address(text: str) -> VmAddress:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError('HOST:PORT')
    return VmAddress(host, int(port))


def _number(text: str) -> float:
    for unit, seconds in _UNIT_SECONDS.items():
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * seconds
    try:
        return float(text)
    except ValueError as error:
        raise ValueError('a number, or a time such as 1500ms or 2s') from error
