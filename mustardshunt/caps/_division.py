"""Which nodes hold shares of the usage caps."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import rank_of

# Smallest burst of a share, in tokens. A usage cap is divided into fewer
# shares when an even division over all nodes would result in smaller ones.
MIN_SHARE_TOKENS: Final = 4.0
# Smallest burst that the shares of one data centre have together, in tokens.
# Fewer data centres hold shares of a cap when an even division would result in
# less: a bucket whose capacity is below 1 never holds a whole token.
MIN_DATA_CENTRE_TOKENS: Final = 2.0
# Number of nodes in each data centre among which the shares of small usage caps
# are spread. A node requests tokens from these nodes only, so the number of its
# links does not grow with the number of nodes.
CANDIDATES_PER_DATA_CENTRE: Final = 3


@dataclass(frozen=True, slots=True)
class CapPart:
    """Part of one node in a cap.

    Parameters
    ----------
    fraction : float
        Fraction of the cap that belongs to the node, 0 if it has no share.
    holder_names : tuple of str
        The other nodes that have a share, in the order in which the node
        requests tokens from them: those of its own data centre come first.
    """

    fraction: float
    holder_names: tuple[str, ...]


class CapDivision:
    """Divides usage caps among nodes.

    Each data centre has the same part of a cap, and a bounded number of its
    nodes hold it. A small cap is held in some of the data centres only. All
    nodes that know the same members compute the same division, and the
    fractions of all nodes add up to 1.

    Parameters
    ----------
    own : str
        Name of this node.
    data_centre_by_name : mapping of str to str
        Data centres of all nodes, including this one.

    Examples
    --------
    >>> division = CapDivision('a', {'a': 'z', 'b': 'z', 'c': 'y'})
    >>> division.part_of('o', tokens=100.0)
    CapPart(fraction=0.25, holder_names=('b', 'c'))
    """

    def __init__(
        self, own: str, data_centre_by_name: Mapping[str, str]
    ) -> None:
        self._own = own
        self._rank = int.from_bytes(rank_of(own)[0])
        self._ring_by_data_centre: dict[str, list[str]] = {}
        for name in sorted(data_centre_by_name, key=rank_of):
            data_centre = data_centre_by_name[name]
            self._ring_by_data_centre.setdefault(data_centre, []).append(name)
        self._own_data_centre = data_centre_by_name.get(own, '')

    def part_of(self, cap_name: str, tokens: float) -> CapPart:
        """Return the part of this node in a usage cap.

        Parameters
        ----------
        cap_name : str
            Name of the cap.
        tokens : float
            Largest burst of all nodes together.
        """
        data_centres = _rotate(self._holding(cap_name, tokens), self._rank)
        data_centres.sort(key=lambda name: name != self._own_data_centre)
        count = max(1, int(tokens / MIN_SHARE_TOKENS / len(data_centres)))
        fraction = 0.0
        names: list[str] = []
        for data_centre in data_centres:
            holders = self._holders(data_centre, cap_name, count)
            if self._own in holders:
                fraction = 1.0 / len(data_centres) / len(holders)
            names += _rotate(holders, self._rank)
        return CapPart(
            fraction, tuple(name for name in names if name != self._own)
        )

    def _holding(self, cap_name: str, tokens: float) -> list[str]:
        count = max(1, int(tokens / MIN_DATA_CENTRE_TOKENS))
        first = int.from_bytes(rank_of(cap_name)[0])
        return _rotate(sorted(self._ring_by_data_centre), first)[:count]

    def _holders(
        self, data_centre: str, cap_name: str, count: int
    ) -> list[str]:
        ring = self._ring_by_data_centre[data_centre]
        candidates = ring[: max(count, CANDIDATES_PER_DATA_CENTRE)]
        first = int.from_bytes(rank_of(cap_name)[0])
        return _rotate(candidates, first)[:count]


def _rotate(names: Sequence[str], offset: int) -> list[str]:
    start = offset % len(names)
    return [*names[start:], *names[:start]]
