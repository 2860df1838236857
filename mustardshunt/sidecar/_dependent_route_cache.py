"""Which cutoff holds for a request at the node at which it enters."""

from typing import Final

from mustardshunt.load_balancing import MemberLoad

# What an answer tells of its route is forgotten after this time. A request is
# then accepted by the backend server's own cutoff, and its answer tells anew.
KEPT_SECONDS: Final = 10.0


class DependentRouteCache:
    """Routes whose answers tell that they need other services.

    A request of another route is refused only when the backend server that
    is to run it is overloaded itself.

    Examples
    --------
    >>> from mustardshunt.base import VmAddress
    >>> from mustardshunt.load_balancing import Member
    >>> from mustardshunt.upstream import BackendServerStatus, ServerPhase
    >>> member = Member('n', 'n-1', 'desk', 'z', VmAddress('127.0.0.1', 1))
    >>> view = BackendServerStatus(ServerPhase.READY, False, 0, 9, 1.2, 1, 3.0)
    >>> load = MemberLoad(member, view, cutoff=1.2)
    >>> known = DependentRouteCache()
    >>> known.note('booking', is_dependent=True, now=0.0)
    >>> [known.cutoff(route, load, 1.0) for route in ('booking', 'payment')]
    [1.2, 3.0]
    """

    def __init__(self) -> None:
        self._until_by_route: dict[str, float] = {}

    def note(self, route: str, is_dependent: bool, now: float) -> None:
        """Take what an answer tells of its route."""
        if is_dependent:
            self._until_by_route[route] = now + KEPT_SECONDS
        elif self._until_by_route:
            self._until_by_route.pop(route, None)

    def cutoff(self, route: str, load: MemberLoad, now: float) -> float:
        """Return the positions that a member accepts of a route.

        Parameters
        ----------
        route : str
            Name of the route.
        load : MemberLoad
            The member.
        now : float
            Time in seconds.
        """
        if now < self._until_by_route.get(route, 0.0):
            return load.cutoff
        return max(load.cutoff, load.status.own_cutoff)
