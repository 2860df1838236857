"""Lookup of the route of a request."""

from collections.abc import Mapping
from typing import Final

from mustardshunt.policy._model import Policy, RoutePolicy

# Longer paths than this many segments are not searched segment by segment.
MAX_PREFIX_SEGMENTS: Final = 64


class RouteTable:
    """Routes by host and longest prefix.

    Parameters
    ----------
    policy : Policy
        Version whose routes are looked up.

    Examples
    --------
    >>> from mustardshunt.policy import RequestLimits, WeightedService
    >>> route = RoutePolicy(
    ...     'r', 'a.example', '/x/', True, 1.0, 0.5, 0,
    ...     (WeightedService('s', 1.0),), 2, False,
    ... )
    >>> table = RouteTable(
    ...     Policy(1, {'r': route}, {}, {}, {}, RequestLimits())
    ... )
    >>> table.find('A.example:80', '/x/y?z=1').name
    'r'
    >>> table.find('a.example', '/xy') is None
    True
    """

    def __init__(self, policy: Policy) -> None:
        self._by_prefix_by_host: dict[str, dict[str, RoutePolicy]] = {}
        for route in policy.route_by_name.values():
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> RoutePolicy | None:
        """Return the route with the longest prefix, None if there is none.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        target : str
            Path and query.
        """
        by_prefix = self._by_prefix_by_host.get(host)
        if by_prefix is None:
            by_prefix = self._by_prefix_by_host.get(_bare_host(host))
        if by_prefix is None:
            return None
        return _longest_match(by_prefix, target.partition('?')[0])


class PriorityRanking:
    """Ranks of a policy as positions without gaps.

    Nodes tell each other which positions they accept, so the positions must
    follow from the policy alone.

    Parameters
    ----------
    policy : Policy
        Version whose ranks are numbered.
    """

    def __init__(self, policy: Policy) -> None:
        ranks = {route.priority for route in policy.route_by_name.values()}
        for organisation in policy.organisation_by_name.values():
            if organisation.priority is not None:
                ranks.add(organisation.priority)
        self._position_by_rank = {
            rank: position for position, rank in enumerate(sorted(ranks))
        }

    def __len__(self) -> int:
        return max(1, len(self._position_by_rank))

    def rank(self, priority: int) -> int:
        """Return the position of a rank, 0 for the most important."""
        return self._position_by_rank.get(priority, 0)


def _bare_host(host: str) -> str:
    return host.partition(':')[0].lower()


def _longest_match(
    by_prefix: Mapping[str, RoutePolicy],
    path: str,
) -> RoutePolicy | None:
    end = path.rfind('/')
    for _ in range(MAX_PREFIX_SEGMENTS):
        if end < 0:
            return None
        route = by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None
