"""Selects the cutoff that an entry node applies to a request."""

from typing import Final

from mustardshunt.load_balancing import MemberLoad

# Seconds for which a route counts as dependent (its requests need other
# services) after an answer that says so. After that time, the backend server's
# own cutoff applies to the next request of the route, and the answer tells
# whether the route is still dependent.
DEPENDENT_ROUTE_TTL_SECONDS: Final = 10.0


class DependentRouteCache:
    """Stores which routes need other services, as answers to calls say.

    Requests of other routes are refused only when the chosen backend server
    itself is overloaded. An overload of a service that this backend server
    calls does not affect such requests.

    Examples
    --------
    >>> from mustardshunt.base import VmAddress
    >>> from mustardshunt.load_balancing import Member
    >>> from mustardshunt.upstream import BackendServerStatus, ServerPhase
    >>> member = Member('n', 'n-1', 'desk', 'z', VmAddress('127.0.0.1', 1))
    >>> phase = ServerPhase.READY
    >>> status = BackendServerStatus(phase, False, 0, 9, 1.2, 1, 3.0)
    >>> load = MemberLoad(member, status, cutoff=1.2)
    >>> cache = DependentRouteCache()
    >>> cache.record_answer('booking', is_dependent=True, now=0.0)
    >>> [cache.cutoff(route, load, 1.0) for route in ('booking', 'payment')]
    [1.2, 3.0]
    """

    def __init__(self) -> None:
        self._expiry_by_route: dict[str, float] = {}

    def record_answer(self, route: str, is_dependent: bool, now: float) -> None:
        """Store whether an answer marks its route as needing other services."""
        if is_dependent:
            self._expiry_by_route[route] = now + DEPENDENT_ROUTE_TTL_SECONDS
        elif self._expiry_by_route:
            self._expiry_by_route.pop(route, None)

    def cutoff(self, route: str, load: MemberLoad, now: float) -> float:
        """Return the cutoff that applies to requests of a route at a member.

        Parameters
        ----------
        route : str
            Name of the route.
        load : MemberLoad
            Load and status of the member.
        now : float
            Time in seconds.
        """
        if now < self._expiry_by_route.get(route, 0.0):
            return load.cutoff
        return max(load.cutoff, load.status.own_cutoff)
