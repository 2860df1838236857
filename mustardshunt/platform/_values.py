"""Functions that read the platform's JSON values and check them."""

import json
from typing import Any, Final

from mustardshunt.base import VmAddress, make_vm_address

# Largest number that is accepted. Larger integers cannot be converted to float
# exactly, or at all.
MAX_NUMBER: Final = 2**53
_SECONDS_BY_UNIT: Final = {'ms': 0.001, 's': 1.0}


class MalformedError(ValueError):
    """A value does not have the form that the platform prescribes."""


def parse_json(text: str | bytes) -> Any:
    """Parse JSON text of another writer.

    Raises
    ------
    MalformedError
        The text is not UTF-8, is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedError(f'expected JSON: {error}') from error


def read_json_object(found: Any) -> dict[str, Any]:
    """Return a decoded JSON value that must be an object.

    Raises
    ------
    MalformedError
        The value is not a JSON object.
    """
    if not isinstance(found, dict):
        raise MalformedError(f'expected a JSON object, found {found!r}')
    return found


def read_text(table: dict[str, Any], name: str) -> str:
    """Return a field that must hold a string of one or more characters.

    Raises
    ------
    MalformedError
        The field is missing, empty or not a string.
    """
    found = table.get(name)
    if not isinstance(found, str) or not found:
        raise MalformedError(
            f'{name}: expected a non-empty string, found {found!r}'
        )
    return found


def read_printable(found: str, name: str) -> str:
    """Return a text that is sent in a header.

    Raises
    ------
    MalformedError
        The text has control characters, which could add a header line, or
        characters that cannot be encoded.
    """
    if not found.isprintable():
        raise MalformedError(
            f'{name}: expected printable characters, found {found!r}'
        )
    return found


def read_names(table: dict[str, Any], name: str) -> list[str]:
    """Return a field that must hold a list of printable strings.

    Raises
    ------
    MalformedError
        The field holds something else.
    """
    found = table.get(name, [])
    if not isinstance(found, list):
        raise MalformedError(f'{name}: expected a list, found {found!r}')
    for text in found:
        if not isinstance(text, str):
            raise MalformedError(f'{name}: expected strings, found {text!r}')
        read_printable(text, name)
    return found


def read_integer(table: dict[str, Any], name: str, default: int) -> int:
    """Return a field that must hold an integer of 0 to ``MAX_NUMBER``.

    Raises
    ------
    MalformedError
        The field holds something else.
    """
    found = table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise MalformedError(f'{name}: expected an integer, found {found!r}')
    _check_range(found, name)
    return found


def read_count(table: dict[str, Any], name: str, default: int) -> int:
    """Return a field that must hold a number, without its fraction.

    A deployment whose figures are scaled gives counts such as 43.6 slots. The
    fraction is dropped, since one more would exceed what is allowed; what is
    above 0 stays at least 1, since 0 may mean that there is no limit.

    Raises
    ------
    MalformedError
        The field does not hold a number of 0 to ``MAX_NUMBER``.

    Examples
    --------
    >>> [read_count({'slots': n}, 'slots', 1) for n in (43.6, 0.4, 0)]
    [43, 1, 0]
    """
    number = read_number(table, name, default)
    return max(1, int(number)) if number else 0


def read_number(table: dict[str, Any], name: str, default: float) -> float:
    """Return a field that must hold a number of 0 to ``MAX_NUMBER``.

    Raises
    ------
    MalformedError
        The field holds something else.
    """
    found = table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise MalformedError(f'{name}: expected a number, found {found!r}')
    _check_range(found, name)
    return float(found)


def read_address(table: dict[str, Any]) -> VmAddress:
    """Return the address in the fields ``host`` and ``port``.

    Raises
    ------
    MalformedError
        No connection can be opened to the address.
    """
    host = read_text(table, 'host')
    port = read_integer(table, 'port', 0)
    try:
        return make_vm_address(host, port)
    except ValueError as error:
        raise MalformedError(f'expected an address: {error}') from error


def read_seconds(table: dict[str, Any], name: str, default: float) -> float:
    """Return a field that holds a time such as ``1500ms`` or ``2.5s``.

    Parameters
    ----------
    table : dict of str to object
        JSON object with the field.
    name : str
        Name of the field.
    default : float
        Seconds to return when the field is missing.

    Returns
    -------
    float
        Time in seconds.

    Raises
    ------
    MalformedError
        The field does not end in ``ms`` or ``s``, or the text before the unit
        is not a number of 0 to ``MAX_NUMBER``.

    Examples
    --------
    >>> read_seconds({'timeout': '1500ms'}, 'timeout', 1.0)
    1.5
    """
    if name not in table:
        return default
    found = table[name]
    if isinstance(found, str):
        for unit, seconds in _SECONDS_BY_UNIT.items():
            if found.endswith(unit):
                return parse_number(found.removesuffix(unit), name) * seconds
    raise MalformedError(
        f'{name}: expected a time such as 1500ms or 2.5s, found {found!r}',
    )


def parse_number(text: str, name: str) -> float:
    """Return the number of 0 to ``MAX_NUMBER`` that a text holds.

    Raises
    ------
    MalformedError
        The text is no number, or the number is out of range.
    """
    try:
        number = float(text)
    except ValueError as error:
        raise MalformedError(
            f'{name}: expected a number before the unit, found {text!r}',
        ) from error
    _check_range(number, name)
    return number


def _check_range(number: float, name: str) -> None:
    # NaN is in no range, so the comparison also rejects it.
    if not 0 <= number <= MAX_NUMBER:
        raise MalformedError(
            f'{name}: expected a number of 0 to {MAX_NUMBER}, found {number!r}'
        )
