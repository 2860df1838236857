"""Reading and checks of the settings file."""

import configparser
import ipaddress
import re
from collections.abc import Iterable, Mapping
from typing import Any, Final

from mustardshunt.base import (
    ErrorCode,
    MustardshuntError,
    ValidationIssue,
    nearest_name,
)
from mustardshunt.settings._model import NodeSettings
from mustardshunt.settings._options import (
    CLASS_BY_SECTION,
    OPTIONS_BY_SECTION,
    Option,
    find_default,
    list_required,
)

_LISTENING_PORTS: Final = (
    'caller_port',
    'peer_port',
    'backend_port',
    'metrics_port',
)

_USER_INFO: Final = re.compile(r'//[^/]*@')

_Values = dict[str, dict[str, Any]]


class SettingsError(MustardshuntError):
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


def check_settings(text: str, file: str) -> list[ValidationIssue]:
    """List all faults of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for the faults.

    Returns
    -------
    list of Fault
        Faults with section, option, value and what is allowed.

    Examples
    --------
    >>> print(check_settings('[limit]', 'node.ini')[0])
    node.ini: [limit]: 'limit': a section; did you mean 'limits'?
    """
    return _Reader(file).read(text)


def parse_settings(text: str, file: str) -> NodeSettings:
    """Turn a settings file into settings.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for the faults.

    Returns
    -------
    NodeSettings
        Settings, defaults filled in.

    Raises
    ------
    SettingsError
        The file has faults.
    """
    reader = _Reader(file)
    faults = reader.read(text)
    if faults:
        raise SettingsError(faults)
    return NodeSettings(**{
        section: make(**reader.values_by_section[section])
        for section, make in CLASS_BY_SECTION.items()
    })


class _Parser(configparser.ConfigParser):
    """Parser without interpolation, defaults section and case folding."""

    def __init__(self) -> None:
        # A section that no file can name stands in for the defaults section,
        # so that [DEFAULT] is reported as unknown.
        super().__init__(
            default_section='\0',
            delimiters=('=',),
            interpolation=None,
            strict=False,
        )

    def optionxform(self, optionstr: str) -> str:
        """Keep the case of options."""
        return optionstr


class _Reader:
    """Reads one file and collects its faults."""

    def __init__(self, file: str) -> None:
        self.values_by_section: _Values = {
            section: {} for section in OPTIONS_BY_SECTION
        }
        self._file = file
        self._faults: list[ValidationIssue] = []

    def read(self, text: str) -> list[ValidationIssue]:
        """Read a file and return all its faults."""
        parser = _Parser()
        try:
            parser.read_string(text, self._file)
        except configparser.MissingSectionHeaderError as error:
            self._report(
                f'line {error.lineno}', error.line.strip(), 'a section'
            )
            return self._faults
        except configparser.ParsingError as error:
            for number, line in error.errors:
                self._report(f'line {number}', line, '"option = value"')
            return self._faults
        self._check_repeats(text)
        for section in parser.sections():
            if section in OPTIONS_BY_SECTION:
                self._read_section(section, parser[section])
            else:
                hint = _hint(section, OPTIONS_BY_SECTION)
                self._report(f'[{section}]', section, f'a section{hint}')
        self._check_required(parser)
        self._check_ports()
        self._check_network()
        return self._faults

    def _read_section(self, section: str, given: Mapping[str, str]) -> None:
        options = OPTIONS_BY_SECTION[section]
        for name, text in given.items():
            place = f'[{section}] {name}'
            option = options.get(name)
            if option is None:
                hint = _hint(name, options)
                self._report(place, name, f'an option of [{section}]{hint}')
                continue
            self._read_option(place, option, text)

    def _read_option(self, place: str, option: Option, text: str) -> None:
        section, _, name = place.partition('] ')
        try:
            found = option.parse(text)
        except ValueError:
            hint = _hint(text.upper(), option.choices)
            self._report(place, text, option.allowed + hint)
            return
        self.values_by_section[section[1:]][name] = found

    def _check_repeats(self, text: str) -> None:
        section = ''
        first_by_place: dict[str, int] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            place = ''
            if line.startswith('['):
                section = line.strip()
                place = section
            elif line[:1].strip(' #;\t') and '=' in line:
                name = line.partition('=')[0].strip()
                place = f'{section} {name}'
            first = first_by_place.setdefault(place, number)
            if place and first != number:
                self._report(
                    f'line {number}, {place}',
                    line.strip(),
                    f'each one once; it stands already in line {first}',
                )

    def _check_required(self, parser: configparser.ConfigParser) -> None:
        for section in OPTIONS_BY_SECTION:
            given = parser[section] if parser.has_section(section) else {}
            for name in list_required(section):
                if name in given:
                    continue
                allowed = OPTIONS_BY_SECTION[section][name].allowed
                self._report(
                    f'[{section}] {name}',
                    '',
                    f'{allowed}; it has no default',
                )

    def _check_ports(self) -> None:
        given = self.values_by_section['node']
        name_by_port: dict[int, str] = {}
        for name in _LISTENING_PORTS:
            port = given.get(name, find_default('node', name))
            first = name_by_port.setdefault(port, name)
            if first != name:
                self._report(
                    f'[node] {name}',
                    str(port),
                    f'another port than {first}',
                )

    def _check_network(self) -> None:
        host = self.values_by_section['node'].get('host')
        network = self.values_by_section['data_centre'].get('network')
        if host is None or network is None:
            return
        if ipaddress.ip_address(host) not in network:
            self._report(
                '[node] host',
                host,
                f"an address of the data centre's network {network}",
            )

    def _report(self, place: str, found: str, allowed: str) -> None:
        # A URL with a user is at fault and may hold a password.
        shown = _USER_INFO.sub('//(hidden)@', found)
        self._faults.append(ValidationIssue(self._file, place, shown, allowed))


def _hint(name: str, known: Iterable[str]) -> str:
    nearest = nearest_name(name, known)
    return f'; did you mean {nearest!r}?' if nearest else ''
