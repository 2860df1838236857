"""Learned dependencies of a route: the child routes that its calls need."""

from collections.abc import Callable

# Smallest ratio of child calls to calls of a route from which the child route
# counts as a dependency of that route.
DEPENDENCY_RATIO = 0.5
# Number of calls after which the counts are halved. When the backend server
# changes, the dependencies follow within about as many calls.
_MAX_COUNTED_CALLS = 256
# Smallest number of calls from which dependencies are derived. With fewer
# calls, the ratio of child calls is not reliable.
_MIN_CALLS = 8


class RouteDependencies:
    """Learns the child routes of each route from the calls served here.

    A call whose importance is refused by a dependency of its route would fail
    after it has run in part. Such a call is refused before it starts.

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
        """Count a child call.

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
        """Count an answered call of a route."""
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
            Returns the shedding threshold of a child route, None when it is
            not known.

        Returns
        -------
        int
            Highest threshold of the dependencies; 0 when none is known.
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
