"""Which routes the calls of a route go on to call."""

from collections.abc import Callable

# Part of a route's calls that must make a child call before the child's
# acceptance level counts for the route.
NEEDED_RATIO = 0.5
# Counts are halved at this many calls, so that a changed backend server is
# learned within as many calls.
_COUNT_LIMIT = 256
# Fewer calls than this say nothing.
_LEAST_CALLS = 8


class RouteDependencies:
    """Learns the child routes of each route from the calls served here.

    A call whose child route accepts nothing of its importance would be run
    in vain, so it is better refused before it starts.

    Examples
    --------
    >>> needs = RouteDependencies()
    >>> for _ in range(10):
    ...     needs.record_child_call('order', 'stock')
    ...     needs.record_call('order')
    >>> needs.find_shedding_threshold('order', {'stock': 3}.get)
    3
    >>> needs.find_shedding_threshold('stock', {'stock': 3}.get)
    0
    """

    def __init__(self) -> None:
        self._calls_by_route: dict[str, float] = {}
        self._children_by_route: dict[str, dict[str, float]] = {}

    def record_child_call(self, route: str, child: str) -> None:
        """Count a child call.

        Parameters
        ----------
        route : str
            Route of the call that is served.
        child : str
            Route of the child call.
        """
        children = self._children_by_route.setdefault(route, {})
        children[child] = children.get(child, 0) + 1

    def record_call(self, route: str) -> None:
        """Count a call that was answered."""
        calls = self._calls_by_route.get(route, 0) + 1
        if calls >= _COUNT_LIMIT:
            calls /= 2
            children = self._children_by_route.get(route, {})
            for child in children:
                children[child] /= 2
        self._calls_by_route[route] = calls

    def find_shedding_threshold(
        self,
        route: str,
        find_child_threshold: Callable[[str], int | None],
    ) -> int:
        """Return the lowest importance that all needed child routes accept.

        Parameters
        ----------
        route : str
            Route of a call that is to be served.
        find_child_threshold : callable
            Returns the level of a child route, None when not known.

        Returns
        -------
        int
            0 when nothing is known of any needed child route.
        """
        children = self._children_by_route.get(route)
        calls = self._calls_by_route.get(route, 0)
        if not children or calls < _LEAST_CALLS:
            return 0
        level = 0
        for child, count in children.items():
            if count < NEEDED_RATIO * calls:
                continue
            level = max(level, find_child_threshold(child) or 0)
        return level
