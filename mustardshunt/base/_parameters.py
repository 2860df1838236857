"""Checks of the parameters of public functions and classes."""

from collections.abc import Collection

from mustardshunt.base._errors import ParameterError
from mustardshunt.base._validation import nearest_name


def check_range(
    name: str,
    number: float,
    low: float,
    high: float = float('inf'),
) -> None:
    """Check that a number lies between two bounds, both included.

    Parameters
    ----------
    name : str
        Name of the parameter, for the error message.
    number : float
        Value of the parameter.
    low, high : float
        Lowest and highest value allowed. By default, there is no highest value.

    Raises
    ------
    ParameterError
        If the number is below ``low`` or above ``high``.

    Examples
    --------
    >>> check_range('limit', 0, 1, 500)
    Traceback (most recent call last):
    mustardshunt.base._errors.ParameterError: bad-parameter: limit is 0, \
allowed is 1 to 500
    """
    if low <= number <= high:
        return
    raise ParameterError(f'{name} is {number}, allowed is {low} to {high}')


def check_choice(name: str, found: str, allowed: Collection[str]) -> None:
    """Check that a value is one of the allowed values.

    Parameters
    ----------
    name : str
        Name of the parameter, for the error message.
    found : str
        Value of the parameter.
    allowed : collection of str
        Values that are allowed.

    Raises
    ------
    ParameterError
        If the value is not allowed; the message suggests the most similar
        allowed value.
    """
    if found in allowed:
        return
    nearest = nearest_name(found, allowed)
    hint = f', did you mean {nearest!r}?' if nearest else ''
    words = ', '.join(sorted(allowed))
    raise ParameterError(f'{name} is {found!r}, allowed is {words}{hint}')
