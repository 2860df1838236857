"""Acceptance level of a route, the services it needs included."""

from mustardshunt.base import Clock
from mustardshunt.routing import RouteNeeds, Router
from mustardshunt.sheet import Registry


class RouteLevels:
    """Level that the services behind a route accept.

    Parameters
    ----------
    needs : RouteNeeds
        Child routes of each route.
    router : Router
        Levels of the members of each service.
    registry : Registry
        Sheet in force.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        needs: RouteNeeds,
        router: Router,
        registry: Registry,
        clock: Clock,
    ) -> None:
        self._needs = needs
        self._router = router
        self._registry = registry
        self._clock = clock

    def note_child(self, route: str, child: str) -> None:
        """Count a child call that the own backend server makes."""
        self._needs.note_child(route, child)

    def note_call(self, route: str) -> None:
        """Count a call that the own backend server has answered."""
        self._needs.note_call(route)

    def find_level(self, route: str) -> int:
        """Return the lowest importance that all needed services accept."""
        return self._needs.find_level(route, self._find_child_level)

    def _find_child_level(self, child: str) -> int | None:
        route = self._registry.sheet.route_by_name.get(child)
        if route is None:
            return None
        now = self._clock.now()
        return self._router.find_level(route.service, child, now)
