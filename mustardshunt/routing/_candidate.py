"""What the router keeps of one member."""

from dataclasses import dataclass, field

from mustardshunt.base import MemberRecord, MemberState, Reason
from mustardshunt.routing._model import RoutingRequest

# A level is renewed by each answer, so an older one says nothing.
LEVEL_LIFETIME = 1.0
# Below the lifetime of a level, so that a probe renews it in time and calls
# do not all go through at once when it expires.
PROBE_INTERVAL = 0.5
# A member that refused for another reason than its level is left alone for
# about as long as its gate takes to change its limit.
REFUSAL_PAUSE = 0.2
# Time until the flooded record of a draining member has surely arrived.
DRAINING_PAUSE = 5.0
# A returned member gets its full part of the calls after this time.
RAMP_TIME = 10.0
# Part of the calls that a returned member gets at first; it must get some,
# or it would never be known to be warm.
RAMP_START = 0.05
# Part that a member gets as long as it says that it is cold.
COLD_PART = 0.25

_UNKNOWN_LEVEL = (0, float('-inf'))
_OFFERED = frozenset((
    MemberState.READY,
    MemberState.COLD,
    MemberState.SUSPECT,
))
_PAUSE_BY_REASON = {
    Reason.OVERLOADED: REFUSAL_PAUSE,
    Reason.NOT_READY: REFUSAL_PAUSE,
    Reason.BACKEND_SERVER_LOST: REFUSAL_PAUSE,
    Reason.DRAINING: DRAINING_PAUSE,
}


@dataclass(slots=True)
class Candidate:
    """A member's record and what this node has itself seen of it.

    Parameters
    ----------
    record : MemberRecord
        Newest record.
    available_since : float or None
        Since when the member takes calls without a break; None while it
        takes none.
    distance : int
        0 for this node's own backend server, 1 in its data centre, 2 in
        another, 3 for a suspect member.
    """

    record: MemberRecord
    available_since: float | None
    distance: int = 0
    # From when on the member gets its full part, so that a choice among warm
    # members computes no ramp.
    full_share_from: float = float('inf')
    in_flight: int = 0
    # Level of each route and when it was seen; a member that needs another
    # service for one route may accept less there than on its other routes.
    threshold_by_route: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )
    backoff_until: float = float('-inf')
    probed_at: float = float('-inf')
    unreachable_since: float | None = None

    def update_availability(self, *, is_evacuated: bool, now: float) -> None:
        """Start or end the time for which the member takes calls."""
        offered = (
            not is_evacuated
            and self.unreachable_since is None
            and self.record.state in _OFFERED
        )
        if not offered:
            self.available_since = None
        elif self.available_since is None:
            self.available_since = now
        self.full_share_from = float('inf')
        if self.available_since is not None and not self._is_cold():
            self.full_share_from = self.available_since + RAMP_TIME

    def record_refusal(self, reason: Reason, now: float) -> None:
        """Leave a member alone that refused a call."""
        pause = _PAUSE_BY_REASON.get(reason)
        if pause is not None:
            self.backoff_until = now + pause

    def accepts(self, call: RoutingRequest, now: float) -> bool:
        """Tell whether the newest level, if any, lets a call through."""
        return call.importance >= self.find_shedding_threshold(call.route, now)

    def find_shedding_threshold(self, route: str, now: float) -> int:
        """Return the level of a route, 0 when it is not known any more."""
        level, seen = self.threshold_by_route.get(route, _UNKNOWN_LEVEL)
        return level if now - seen <= LEVEL_LIFETIME else 0

    def traffic_share(self, now: float) -> float:
        """Return the part of its share of calls that the member gets.

        Parameters
        ----------
        now : float
            Time, in seconds.

        Returns
        -------
        float
            Between 0.05 just after a return and 1.
        """
        if self.available_since is None:
            return 0.0
        ramp = (now - self.available_since) / RAMP_TIME
        most = COLD_PART if self._is_cold() else 1.0
        return min(max(ramp, RAMP_START), most)

    def _is_cold(self) -> bool:
        return self.record.state is MemberState.COLD
