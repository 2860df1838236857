"""Tells which data centres report changes to a follower."""

from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.base import rank_of

# Time without a frame of a data centre after which it counts as not heard. A
# follower pings one node there each second, which answers at once.
HEARD_SECONDS: Final = 1.5


class DataCentreWatch:
    """Nodes through which a follower hears of the other data centres.

    A follower keeps a link to one node of each other data centre, so that the
    number of links does not grow with the number of nodes. While it hears
    nothing from a data centre, it tries the other nodes there one after the
    other, and stands in for their checks of the platform.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.

    Examples
    --------
    >>> watch = DataCentreWatch('x')
    >>> watch.set_members({'a': 'x', 'b': 'y'})
    >>> watch.choose(now=0.0)
    frozenset({'b'})
    >>> watch.record('b', now=1.0)
    >>> watch.hears('b', now=2.0), watch.hears('b', now=3.0)
    (True, False)
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._data_centre_by_name: Mapping[str, str] = {}
        self._names_by_data_centre: dict[str, list[str]] = {}
        self._heard_at_by_data_centre: dict[str, float] = {}
        self._position_by_data_centre: dict[str, int] = {}
        self._chosen_at_by_data_centre: dict[str, float] = {}

    def set_members(self, data_centre_by_name: Mapping[str, str]) -> None:
        """Set the data centres of all nodes, by the name of the node."""
        self._data_centre_by_name = data_centre_by_name
        self._names_by_data_centre = _group(
            sorted(data_centre_by_name, key=rank_of), data_centre_by_name
        )
        self._names_by_data_centre.pop(self._data_centre, None)

    def record(self, name: str, now: float) -> None:
        """Record a frame of a node."""
        data_centre = self._data_centre_by_name.get(name, self._data_centre)
        self._heard_at_by_data_centre[data_centre] = now

    def hears(self, name: str, now: float) -> bool:
        """Tell whether changes that a node finds are reported to this node.

        Parameters
        ----------
        name : str
            Name of a node; nodes of this data centre count as heard.
        now : float
            Time in seconds.
        """
        data_centre = self._data_centre_by_name.get(name, self._data_centre)
        if data_centre == self._data_centre:
            return True
        return self._is_recent(self._heard_at_by_data_centre, data_centre, now)

    def choose(self, now: float) -> frozenset[str]:
        """Return the nodes to which a follower keeps links.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        chosen = set()
        for data_centre, names in self._names_by_data_centre.items():
            position = self._position_by_data_centre.get(data_centre, 0)
            if self._is_unheard(data_centre, now):
                position += data_centre in self._chosen_at_by_data_centre
                self._chosen_at_by_data_centre[data_centre] = now
            self._position_by_data_centre[data_centre] = position % len(names)
            chosen.add(names[position % len(names)])
        return frozenset(chosen)

    def _is_unheard(self, data_centre: str, now: float) -> bool:
        return not (
            self._is_recent(self._heard_at_by_data_centre, data_centre, now)
            or self._is_recent(self._chosen_at_by_data_centre, data_centre, now)
        )

    def _is_recent(
        self, time_by_data_centre: Mapping[str, float], key: str, now: float
    ) -> bool:
        recorded_at = time_by_data_centre.get(key)
        return recorded_at is not None and now - recorded_at <= HEARD_SECONDS


def _group(
    names: Iterable[str], data_centre_by_name: Mapping[str, str]
) -> dict[str, list[str]]:
    names_by_data_centre: dict[str, list[str]] = {}
    for name in names:
        data_centre = data_centre_by_name[name]
        names_by_data_centre.setdefault(data_centre, []).append(name)
    return names_by_data_centre
