"""Decides when a node checks the platform for changes that nobody reported."""

from collections.abc import Iterable
from typing import Final

from mustardshunt.base import rank_of

# Time from one check to the next, over all nodes of a data centre. A change
# whose report was lost is found within this time; with the time in which nodes
# tell each other, this is less than the 2 s in which a change must be in force.
CHECK_INTERVAL_SECONDS: Final = 1.0


class CheckTurns:
    """Turns in which the nodes of a data centre check the platform.

    Each data centre has turns of its own, since nodes of two data centres tell
    each other of changes only if calls go from one to the other. The turns
    follow from the time of day and the order of the nodes, so no message is
    needed, and the number of checks does not grow with the number of nodes. A
    node that is cut off from the platform misses its turn; the next turn
    belongs to another node.

    Parameters
    ----------
    name : str
        Name of this node.

    Examples
    --------
    >>> turns = CheckTurns('a')
    >>> turns.set_members(['a', 'b'])
    >>> 0 < turns.seconds_until_turn(1000.0) <= 2.0
    True
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._period = CHECK_INTERVAL_SECONDS
        self._offset = 0.0

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the nodes in this node's data centre."""
        ranked_names = sorted({*names, self._name}, key=rank_of)
        self._period = CHECK_INTERVAL_SECONDS * len(ranked_names)
        self._offset = CHECK_INTERVAL_SECONDS * ranked_names.index(self._name)

    def seconds_until_turn(self, time_of_day: float) -> float:
        """Return the time until the next turn of this node.

        Parameters
        ----------
        time_of_day : float
            Seconds since the epoch. Clocks of nodes may differ; the turns of
            two nodes then come closer to each other.

        Returns
        -------
        float
            Seconds, more than 0.
        """
        return self._period - (time_of_day - self._offset) % self._period
