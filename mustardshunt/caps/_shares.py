"""This node's share of each organisation's rate and burst."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.policy import OrganisationPolicy

# Part of the tolerated overage that is used; the rest is for nodes that have
# not heard of a new node yet and so hold too large a share.
USED_OVERAGE: Final = 0.5
USED_SLACK: Final = 0.9
# A new node spends nothing until the others have made room for its share.
JOIN_SECONDS: Final = 1.5


@dataclass(frozen=True, slots=True)
class CapBounds:
    """By how much an organisation may exceed its rate.

    Parameters
    ----------
    overage : float
        Tolerated part of rate and burst.
    slack : int
        Tolerated requests in a window.
    """

    overage: float
    slack: int


@dataclass(slots=True)
class _Bucket:
    level: float
    updated_at: float


class CapShares:
    """Token buckets that hold an equal part of each rate and burst.

    The parts sum to the whole by construction, so nothing has to be asked
    for and nothing is exceeded when nodes or the platform are cut off. The
    price is that a node cannot use what another leaves unused.

    Parameters
    ----------
    bounds : CapBounds
        By how much an organisation may exceed its rate.
    starts_full : bool
        Whether no earlier run of this node can have spent its share.
    usable_from : float
        Time in seconds before which nothing is spent.

    Examples
    --------
    >>> shares = CapShares(CapBounds(0.0, 0), starts_full=True)
    >>> shares.set_nodes(2)
    >>> shares.set_caps({'o': OrganisationPolicy('o', None, 2.0, 4.0)}, 0.0)
    >>> [shares.spend('o', now=0.0) for _ in range(3)]
    [0.0, 0.0, 1.0]
    >>> shares.spend('o', now=1.0)
    0.0
    """

    def __init__(
        self,
        bounds: CapBounds,
        starts_full: bool,
        usable_from: float = 0.0,
    ) -> None:
        self._bounds = bounds
        self._starts_full = starts_full
        self._usable_from = usable_from
        self._nodes = 1
        self._cap_by_name: Mapping[str, OrganisationPolicy] = {}
        self._bucket_by_name: dict[str, _Bucket] = {}

    def set_nodes(self, count: int) -> None:
        """Take the number of nodes among which caps are divided."""
        self._nodes = max(1, count)

    def set_caps(
        self,
        cap_by_name: Mapping[str, OrganisationPolicy],
        now: float,
    ) -> None:
        """Take the caps of a new policy; what was spent stays spent."""
        for name in list(self._bucket_by_name):
            if name not in cap_by_name:
                del self._bucket_by_name[name]
        self._cap_by_name = cap_by_name
        for name, cap in cap_by_name.items():
            known = self._bucket_by_name.get(name)
            if known is None:
                level = self._depth(cap) if self._starts_full else 0.0
                self._bucket_by_name[name] = _Bucket(level, now)
                continue
            known.level = min(known.level, self._depth(cap))

    def end_start(self) -> None:
        """Let organisations that appear from now on start empty."""
        self._starts_full = False

    def spend(self, organisation: str, now: float) -> float:
        """Spend one request.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        now : float
            Time in seconds.

        Returns
        -------
        float
            0 when the request is within the cap, otherwise the seconds
            after which the next one is.
        """
        cap = self._cap_by_name.get(organisation)
        if cap is None or not cap.rate:
            return 0.0
        if now < self._usable_from:
            return self._usable_from - now
        rate = cap.rate * self._factor() / self._nodes
        bucket = self._bucket_by_name[organisation]
        passed = max(0.0, now - bucket.updated_at)
        bucket.updated_at = now
        bucket.level = min(self._depth(cap), bucket.level + passed * rate)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return 0.0
        return (1.0 - bucket.level) / rate

    def _factor(self) -> float:
        return 1.0 + self._bounds.overage * USED_OVERAGE

    def _depth(self, cap: OrganisationPolicy) -> float:
        whole = cap.burst * self._factor() + self._bounds.slack * USED_SLACK
        return whole / self._nodes
