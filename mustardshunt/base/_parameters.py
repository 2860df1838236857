"""Checks of parameters at the entry of the package."""

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
        Name of the parameter.
    number : float
        Its value.
    low, high : float
        Bounds; ``high`` defaults to no bound.

    Raises
    ------
    ParameterError
        The number lies outside.

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
    """Check that a word is one of those allowed.

    Parameters
    ----------
    name : str
        Name of the parameter.
    found : str
        Its value.
    allowed : collection of str
        Words that are allowed.

    Raises
    ------
    ParameterError
        The word is none of these.
    """
    if found in allowed:
        return
    nearest = nearest_name(found, allowed)
    hint = f', did you mean {nearest!r}?' if nearest else ''
    words = ', '.join(sorted(allowed))
    raise ParameterError(f'{name} is {found!r}, allowed is {words}{hint}')
