"""Shedding thresholds of routes, derived from the services they depend on."""

from mustardshunt.base import Clock
from mustardshunt.routing import RouteDependencies, Router
from mustardshunt.sheet import SheetReplica


class RouteSheddingThresholds:
    """Shedding threshold of each route, from those of its child routes.

    Parameters
    ----------
    dependencies : RouteDependencies
        Learns the child routes of each route.
    router : Router
        Knows the shedding thresholds of each service's members.
    registry : SheetReplica
        Holds the sheet in force.
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
        """Record a child call made by the own backend server."""
        self._dependencies.record_child_call(route, child)

    def record_call(self, route: str) -> None:
        """Record a call answered by the own backend server."""
        self._dependencies.record_call(route)

    def find_shedding_threshold(self, route: str) -> int:
        """Return the lowest importance that all dependencies accept."""
        return self._dependencies.find_shedding_threshold(
            route, self._find_child_threshold
        )

    def _find_child_threshold(self, child: str) -> int | None:
        route = self._registry.sheet.route_by_name.get(child)
        if route is None:
            return None
        now = self._clock.now()
        return self._router.find_shedding_threshold(route.service, child, now)
