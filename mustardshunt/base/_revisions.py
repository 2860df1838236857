"""Revisions of the platform's data."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Point in the history of the platform's data.

    The platform may come back from a copy that lacks its last changes. Then a
    new era begins, and numbers of the former era are given out again. All
    revisions of an era therefore come after those of former eras.

    Parameters
    ----------
    era : int
        Number of times that the platform has come back from a copy.
    number : int
        Number of the change within the history.

    Examples
    --------
    >>> Revision(1, 900) < Revision(2, 40) < Revision(2, 41)
    True
    >>> max(NO_REVISION, Revision(0, 0))
    Revision(era=0, number=0)
    """

    era: int
    number: int


# Comes before all revisions.
NO_REVISION: Final = Revision(-1, -1)
