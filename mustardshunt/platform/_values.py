"""Checked reading of the platform's JSON values."""

from typing import Any, Final

_UNIT_SECONDS: Final = {'ms': 0.001, 's': 1.0}


class MalformedError(ValueError):
    """A value has not the form that the platform's pages give."""


def read_json_object(found: Any) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(found, dict):
        raise MalformedError(f'expected an object, found {found!r}')
    return found


def read_text(table: dict[str, Any], name: str) -> str:
    """Return a text that is not empty."""
    found = table.get(name)
    if not isinstance(found, str) or not found:
        raise MalformedError(f'{name}: expected a text, found {found!r}')
    return found


def read_integer(table: dict[str, Any], name: str, default: int) -> int:
    """Return a whole number of zero or more."""
    found = table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int) or found < 0:
        raise MalformedError(f'{name}: expected a number, found {found!r}')
    return found


def read_number(table: dict[str, Any], name: str, default: float) -> float:
    """Return a number of zero or more."""
    found = table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise MalformedError(f'{name}: expected a number, found {found!r}')
    if found < 0:
        raise MalformedError(f'{name}: expected 0 or more, found {found!r}')
    return float(found)


def read_seconds(table: dict[str, Any], name: str, default: float) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in seconds.

    Examples
    --------
    >>> read_seconds({'timeout': '1500ms'}, 'timeout', 1.0)
    1.5
    """
    if name not in table:
        return default
    found = table[name]
    if isinstance(found, str):
        for unit, seconds in _UNIT_SECONDS.items():
            if found.endswith(unit):
                return _number_of(found.removesuffix(unit), name) * seconds
    raise MalformedError(f'{name}: expected a time, found {found!r}')


def _number_of(text: str, name: str) -> float:
    try:
        number = float(text)
    except ValueError as error:
        raise MalformedError(f'{name}: expected a time') from error
    if number < 0:
        raise MalformedError(f'{name}: expected 0 or more')
    return number
