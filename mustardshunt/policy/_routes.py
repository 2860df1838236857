"""Lookup of the route of a request, and the ranking of priorities."""

from collections.abc import Mapping
from typing import Final

from mustardshunt.policy._model import Policy, RoutePolicy

# Most prefixes of a path for which a route is looked up, starting with the
# longest prefix. The bound limits the lookup time for a path with very many
# segments.
MAX_PREFIX_SEGMENTS: Final = 64


class RouteTable:
    """Finds the route of a request by host and longest path prefix.

    Parameters
    ----------
    policy : Policy
        Policy that contains the routes.

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
        self._route_by_prefix_by_host: dict[str, dict[str, RoutePolicy]] = {}
        for route in policy.route_by_name.values():
            route_by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host, {}
            )
            route_by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> RoutePolicy | None:
        """Return the route with the longest prefix that matches a request.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        target : str
            Path and query.

        Returns
        -------
        RoutePolicy or None
            None if no route matches.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            route_by_prefix = self._route_by_prefix_by_host.get(
                _host_without_port(host)
            )
        if route_by_prefix is None:
            return None
        return _longest_match(route_by_prefix, target.partition('?')[0])


class PriorityRanking:
    """Maps the priorities of a policy to consecutive ranks from 0.

    The ranks depend on the policy alone. Nodes publish which ranks they accept,
    so two nodes with the same policy must compute the same ranks.

    Parameters
    ----------
    policy : Policy
        Policy whose priorities are ranked.
    """

    def __init__(self, policy: Policy) -> None:
        priorities = {route.priority for route in policy.route_by_name.values()}
        for organisation in policy.organisation_by_name.values():
            if organisation.priority is not None:
                priorities.add(organisation.priority)
        self._rank_by_priority = {
            priority: rank for rank, priority in enumerate(sorted(priorities))
        }

    def __len__(self) -> int:
        return max(1, len(self._rank_by_priority))

    def rank(self, priority: int) -> int:
        """Return the rank of a priority, 0 for the most important.

        The rank of a priority that the policy does not contain is 0.
        """
        return self._rank_by_priority.get(priority, 0)


def _host_without_port(host: str) -> str:
    return host.partition(':')[0].lower()


def _longest_match(
    route_by_prefix: Mapping[str, RoutePolicy],
    path: str,
) -> RoutePolicy | None:
    end = path.rfind('/')
    for _ in range(MAX_PREFIX_SEGMENTS):
        if end < 0:
            return None
        route = route_by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None
