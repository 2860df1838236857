"""Importance of a route and of the calls that its requests cause."""

import enum


class Importance(enum.IntEnum):
    """Importance of a call; under overload the lowest is shed first.

    Examples
    --------
    >>> Importance.parse('critical') > Importance.parse('normal')
    True
    """

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3

    @property
    def label(self) -> str:
        """Name in lower case, as used in sheets, metrics and logs."""
        return self.name.lower()

    @classmethod
    def parse(cls, text: str) -> 'Importance':
        """Return the importance with a given name.

        Parameters
        ----------
        text : str
            ``low``, ``normal``, ``high`` or ``critical``.

        Raises
        ------
        KeyError
            If the name is none of these.
        """
        return cls[text.upper()]
