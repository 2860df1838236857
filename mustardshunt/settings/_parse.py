"""Parses the settings file of a node and lists its issues."""

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

_ValuesBySection = dict[str, dict[str, Any]]


class SettingsError(MustardshuntError):
    """Error for an invalid settings file, with a list of all issues.

    Parameters
    ----------
    issues : list of ValidationIssue
        All issues that were found in the file.
    """

    def __init__(self, issues: list[ValidationIssue]) -> None:
        super().__init__(
            ErrorCode.BAD_SETTINGS,
            '; '.join(str(issue) for issue in issues),
        )
        self.issues = issues


def check_settings(text: str, file: str) -> list[ValidationIssue]:
    """Return all issues of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    list of ValidationIssue
        Issues in the order in which they were found, empty for a valid file.
        Each issue states the section and option, the value found and the
        values allowed.

    Examples
    --------
    >>> print(check_settings('[limit]', 'node.ini')[0])
    node.ini: [limit]: found 'limit', expected a known section; did you \
mean 'limits'?
    """
    return _Reader(file).read(text)


def parse_settings(text: str, file: str) -> NodeSettings:
    """Parse the content of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for error messages.

    Returns
    -------
    NodeSettings
        Settings, with default values for the options that the file omits.

    Raises
    ------
    SettingsError
        The file has issues; the error lists all of them.
    """
    reader = _Reader(file)
    issues = reader.read(text)
    if issues:
        raise SettingsError(issues)
    return NodeSettings(**{
        section: make(**reader.values_by_section[section])
        for section, make in CLASS_BY_SECTION.items()
    })


class _Parser(configparser.ConfigParser):
    """INI parser without interpolation and without a default section.

    Option names keep their case.
    """

    def __init__(self) -> None:
        # ``ConfigParser`` needs a name for the default section. No file can
        # contain this name, so [DEFAULT] is reported as an unknown section.
        super().__init__(
            default_section='\0',
            delimiters=('=',),
            interpolation=None,
            strict=False,
        )

    def optionxform(self, optionstr: str) -> str:
        """Return the option name without a change of its case."""
        return optionstr


class _Reader:
    """Parses one settings file and collects the issues of the file."""

    def __init__(self, file: str) -> None:
        self.values_by_section: _ValuesBySection = {
            section: {} for section in OPTIONS_BY_SECTION
        }
        self._file = file
        self._issues: list[ValidationIssue] = []

    def read(self, text: str) -> list[ValidationIssue]:
        """Parse the content of the file and return all its issues."""
        parser = _Parser()
        try:
            parser.read_string(text, self._file)
        except configparser.MissingSectionHeaderError as error:
            self._report(
                f'line {error.lineno}', error.line.strip(), 'a section line'
            )
            return self._issues
        except configparser.ParsingError as error:
            for number, line in error.errors:
                self._report(f'line {number}', line, 'a line "option = value"')
            return self._issues
        self._check_repeats(text)
        for section in parser.sections():
            if section in OPTIONS_BY_SECTION:
                self._read_section(section, parser[section])
            else:
                hint = _hint(section, OPTIONS_BY_SECTION)
                self._report(f'[{section}]', section, f'a known section{hint}')
        self._check_required(parser)
        self._check_ports()
        self._check_network()
        return self._issues

    def _read_section(self, section: str, given: Mapping[str, str]) -> None:
        options = OPTIONS_BY_SECTION[section]
        for name, text in given.items():
            location = f'[{section}] {name}'
            option = options.get(name)
            if option is None:
                hint = _hint(name, options)
                self._report(
                    location, name, f'a known option of [{section}]{hint}'
                )
                continue
            self._read_option(location, option, text)

    def _read_option(self, location: str, option: Option, text: str) -> None:
        section, _, name = location.partition('] ')
        try:
            found = option.parse(text)
        except ValueError:
            hint = _hint(text.upper(), option.choices)
            self._report(location, text, option.allowed + hint)
            return
        self.values_by_section[section[1:]][name] = found

    def _check_repeats(self, text: str) -> None:
        section = ''
        first_by_location: dict[str, int] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            location = ''
            if line.startswith('['):
                section = line.strip()
                location = section
            elif line[:1].strip(' #;\t') and '=' in line:
                name = line.partition('=')[0].strip()
                location = f'{section} {name}'
            first = first_by_location.setdefault(location, number)
            if location and first != number:
                self._report(
                    f'line {number}, {location}',
                    line.strip(),
                    f'no second entry; first used in line {first}',
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
                    f'{allowed}; the option is missing and has no default',
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
                    f'a port that {first} does not use',
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
                f'an address in the [data_centre] network {network}',
            )

    def _report(self, location: str, found: str, allowed: str) -> None:
        # The user information in a URL may contain a password, so it is hidden.
        shown = _USER_INFO.sub('//(hidden)@', found)
        self._issues.append(
            ValidationIssue(self._file, location, shown, allowed)
        )


def _hint(name: str, known: Iterable[str]) -> str:
    nearest = nearest_name(name, known)
    return f'; did you mean {nearest!r}?' if nearest else ''
