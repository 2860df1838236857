"""Derives the shedding threshold of a route from its dependencies.

The dependencies are the services that are called while a call of the route
runs.
"""

from mustardshunt.base import Clock
from mustardshunt.routing import RouteDependencies, Router
from mustardshunt.sheet import SheetReplica


class RouteSheddingThresholds:
    """Finds the shedding threshold of a route from its child routes.

    A child route is a route that is called while a call of the route runs.

    Parameters
    ----------
    dependencies : RouteDependencies
        Records which child routes the calls of each route use.
    router : Router
        Stores the shedding thresholds of the members of each service.
    registry : SheetReplica
        Holds the active sheet, which lists the service of each route.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        dependencies: RouteDependencies,
        router: Router,
        registry: SheetReplica,
        clock: Clock,
    ) -> None:
        self._dependencies = dependencies
        self._router = router
        self._registry = registry
        self._clock = clock

    def record_child_call(self, route: str, child: str) -> None:
        """Record a child call that this node's backend server has made."""
        self._dependencies.record_child_call(route, child)

    def record_call(self, route: str) -> None:
        """Record a call that this node's backend server has answered."""
        self._dependencies.record_call(route)

    def find_shedding_threshold(self, route: str) -> int:
        """Return the lowest importance that a route's dependencies accept."""
        return self._dependencies.find_shedding_threshold(
            route, self._find_child_threshold
        )

    def _find_child_threshold(self, child: str) -> int | None:
        route = self._registry.sheet.route_by_name.get(child)
        if route is None:
            return None
        now = self._clock.now()
        return self._router.find_shedding_threshold(route.service, child, now)
