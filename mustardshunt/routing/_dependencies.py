"""Child routes that the calls of a route need, as observed in past calls."""

from collections.abc import Callable

# A child route counts as a dependency of a route if the number of child calls
# is at least this ratio of the number of calls. Below this ratio, the child
# route is ignored.
DEPENDENCY_RATIO = 0.5
# Number of calls of a route at which its counts are halved. After a change of
# the backend server, the dependencies therefore change within about as many
# calls.
_MAX_COUNTED_CALLS = 256
# Smallest number of calls of a route for which dependencies are derived. With
# fewer calls, the ratio of child calls is not reliable and the route has no
# dependencies.
_MIN_CALLS = 8


class RouteDependencies:
    """Finds the child routes that each route needs, from counted calls.

    If a dependency of a route refuses the importance of a call, the call would
    fail after it has run in part. Such a call is refused before it starts.

    Examples
    --------
    >>> dependencies = RouteDependencies()
    >>> for _ in range(10):
    ...     dependencies.record_child_call('order', 'stock')
    ...     dependencies.record_call('order')
    >>> dependencies.find_shedding_threshold('order', {'stock': 3}.get)
    3
    >>> dependencies.find_shedding_threshold('stock', {'stock': 3}.get)
    0
    """

    def __init__(self) -> None:
        self._calls_by_route: dict[str, float] = {}
        self._children_by_route: dict[str, dict[str, float]] = {}

    def record_child_call(self, route: str, child: str) -> None:
        """Count a child call of a route towards the dependencies of the route.

        Parameters
        ----------
        route : str
            Route of the call that this node serves.
        child : str
            Route of the child call that the served call makes.
        """
        children = self._children_by_route.setdefault(route, {})
        children[child] = children.get(child, 0) + 1

    def record_call(self, route: str) -> None:
        """Count an answered call of a route.

        When the count reaches 256, the counts of the route are halved.
        """
        calls = self._calls_by_route.get(route, 0) + 1
        if calls >= _MAX_COUNTED_CALLS:
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
        """Return the lowest importance that all dependencies accept.

        Parameters
        ----------
        route : str
            Route of a call that is to be served.
        find_child_threshold : callable
            Returns the shedding threshold of a child route, or None when that
            threshold is not known.

        Returns
        -------
        int
            Highest known shedding threshold of the dependencies; 0 when no
            threshold is known.
        """
        children = self._children_by_route.get(route)
        calls = self._calls_by_route.get(route, 0)
        if not children or calls < _MIN_CALLS:
            return 0
        threshold = 0
        for child, count in children.items():
            if count < DEPENDENCY_RATIO * calls:
                continue
            threshold = max(threshold, find_child_threshold(child) or 0)
        return threshold
