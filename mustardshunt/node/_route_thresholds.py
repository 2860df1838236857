"""Acceptance level of a route, the services it needs included."""

from mustardshunt.base import Clock
from mustardshunt.routing import RouteDependencies, Router
from mustardshunt.sheet import SheetReplica


class RouteSheddingThresholds:
    """Level that the services behind a route accept.

    Parameters
    ----------
    needs : RouteDependencies
        Child routes of each route.
    router : Router
        Levels of the members of each service.
    registry : SheetReplica
        Sheet in force.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        needs: RouteDependencies,
        router: Router,
        registry: SheetReplica,
        clock: Clock,
    ) -> None:
        self._needs = needs
        self._router = router
        self._registry = registry
        self._clock = clock

    def record_child_call(self, route: str, child: str) -> None:
        """Count a child call that the own backend server makes."""
        self._needs.record_child_call(route, child)

    def record_call(self, route: str) -> None:
        """Count a call that the own backend server has answered."""
        self._needs.record_call(route)

    def find_shedding_threshold(self, route: str) -> int:
        """Return the lowest importance that all needed services accept."""
        return self._needs.find_shedding_threshold(
            route, self._find_child_level
        )

    def _find_child_level(self, child: str) -> int | None:
        route = self._registry.sheet.route_by_name.get(child)
        if route is None:
            return None
        now = self._clock.now()
        return self._router.find_shedding_threshold(route.service, child, now)
