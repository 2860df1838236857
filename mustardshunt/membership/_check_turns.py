"""Decides when a node checks the platform for changes that nobody reported."""

from collections.abc import Iterable
from typing import Final

from mustardshunt.base import rank_of

# Time from one check to the next, over all nodes of the deployment. A change
# whose report was lost is found within this time; with the time in which nodes
# tell each other, this is less than the 2 s in which a change must be in force.
CHECK_INTERVAL_SECONDS: Final = 1.0


class CheckTurns:
    """Turns in which the nodes of the deployment check the platform.

    The turns follow from the time of day and the order of the nodes, so no
    message is needed, and the number of checks does not grow with the number of
    nodes. A node that is cut off from the platform misses its turn; the next
    turn belongs to another node.

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
        self._ranked_names = [name]

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the nodes of the deployment."""
        self._ranked_names = sorted({*names, self._name}, key=rank_of)

    def owner(self, time_of_day: float) -> str:
        """Return the name of the node whose turn it is.

        Parameters
        ----------
        time_of_day : float
            Seconds since the epoch.
        """
        turn = int(time_of_day / CHECK_INTERVAL_SECONDS)
        return self._ranked_names[turn % len(self._ranked_names)]

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
        period = CHECK_INTERVAL_SECONDS * len(self._ranked_names)
        offset = CHECK_INTERVAL_SECONDS * self._ranked_names.index(self._name)
        return period - (time_of_day - offset) % period

    def seconds_until_next(self, time_of_day: float) -> float:
        """Return the seconds until the next turn of any node, more than 0."""
        return CHECK_INTERVAL_SECONDS - time_of_day % CHECK_INTERVAL_SECONDS
