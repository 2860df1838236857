"""Importance of a route and of the calls that its requests cause."""

import enum


class Importance(enum.IntEnum):
    """Importance of a call.

    Under overload, nodes refuse the calls with the lowest importance first.

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
        """Name of the importance in lower case.

        Metrics, logs and sheets use this name. A sheet is the table of
        organisations, keys, routes and data centres that operators accept.
        """
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
            If ``text`` is none of the four names.
        """
        return cls[text.upper()]
