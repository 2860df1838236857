"""State that the router keeps for one member."""

from dataclasses import dataclass, field

from mustardshunt.base import MemberRecord, MemberState, Reason
from mustardshunt.routing._model import RoutingRequest

# Time for which a received shedding threshold is used. Each answer from a
# member brings the present threshold of the member, so an older threshold is
# out of date.
THRESHOLD_LIFETIME_SECONDS = 1.0
# Shortest time between probes. A probe is a call that is sent although its
# importance is below the last known shedding threshold; its answer brings the
# present threshold. The interval is shorter than the lifetime of a threshold,
# so that a probe renews the threshold before it expires. Without a renewal, all
# calls held back by the threshold would be sent at once when it expires.
PROBE_INTERVAL_SECONDS = 0.5
# Time for which a member is avoided after it has refused a call: about as long
# as the gate of the member takes to change its concurrency limit.
REFUSAL_BACKOFF_SECONDS = 0.2
# Time for which a member is avoided after it has refused a call because it
# drains. By the end of this time, gossip has brought the changed record of the
# member to all nodes.
DRAINING_BACKOFF_SECONDS = 5.0
# Time from the return of a member until it gets its full share of calls. Until
# then, its share rises in proportion to the time.
RAMP_SECONDS = 10.0
# Part of its full share of calls that a member gets just after its return.
# Without any calls, the member would never warm up.
INITIAL_RAMP_SHARE = 0.05
# Largest part of its full share of calls that a member gets while it reports a
# cold start.
MAX_COLD_SHARE = 0.25

_UNKNOWN_THRESHOLD = (0, float('-inf'))
_AVAILABLE_STATES = frozenset((
    MemberState.READY,
    MemberState.COLD,
    MemberState.SUSPECT,
))
_BACKOFF_SECONDS_BY_REASON = {
    Reason.OVERLOADED: REFUSAL_BACKOFF_SECONDS,
    Reason.NOT_READY: REFUSAL_BACKOFF_SECONDS,
    Reason.BACKEND_SERVER_LOST: REFUSAL_BACKOFF_SECONDS,
    Reason.DRAINING: DRAINING_BACKOFF_SECONDS,
}


@dataclass(slots=True)
class Candidate:
    """A member's record and what this node has observed of the member.

    Parameters
    ----------
    record : MemberRecord
        Newest record.
    available_since : float or None
        Time since which the member has been available for calls without a
        break, in seconds; None while the member is not available.
    distance : int
        0 for this node's own backend server, 1 for another member in the data
        centre of this node, 2 for a member in another data centre, 3 for a
        suspect member in any data centre.
    full_share_from : float, default=inf
        Time from which the member gets its full share of calls, in seconds.
    in_flight : int, default=0
        Calls that this node has sent to the member and that have not ended.
    threshold_by_route : dict of str to tuple of int and float
        Last known shedding threshold of each route, and the time at which this
        threshold was received, in seconds.
    backoff_until : float, default=-inf
        Time until which the member is avoided after a refusal, in seconds.
    probed_at : float, default=-inf
        Time of the last probe, in seconds.
    unreachable_since : float or None, default=None
        Time since which the member has not answered, in seconds; None while the
        member answers.
    """

    record: MemberRecord
    available_since: float | None
    distance: int = 0
    # This time is updated when the availability of the member changes. A choice
    # among warm members then needs no computation of shares.
    full_share_from: float = float('inf')
    in_flight: int = 0
    # Thresholds are stored by route. If one route of a member needs an
    # overloaded service, the member accepts fewer calls on that route than on
    # its other routes.
    threshold_by_route: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )
    backoff_until: float = float('-inf')
    probed_at: float = float('-inf')
    unreachable_since: float | None = None

    def update_availability(self, *, is_evacuated: bool, now: float) -> None:
        """Start or end the period in which the member may get calls."""
        is_available = (
            not is_evacuated
            and self.unreachable_since is None
            and self.record.state in _AVAILABLE_STATES
        )
        if not is_available:
            self.available_since = None
        elif self.available_since is None:
            self.available_since = now
        self.full_share_from = float('inf')
        if self.available_since is not None and not self._is_cold():
            self.full_share_from = self.available_since + RAMP_SECONDS

    def record_refusal(self, reason: Reason, now: float) -> None:
        """Avoid the member for a while if it is overloaded or unavailable."""
        backoff_seconds = _BACKOFF_SECONDS_BY_REASON.get(reason)
        if backoff_seconds is not None:
            self.backoff_until = now + backoff_seconds

    def accepts(self, call: RoutingRequest, now: float) -> bool:
        """Tell whether the importance of a call reaches the known threshold."""
        return call.importance >= self.find_shedding_threshold(call.route, now)

    def find_shedding_threshold(self, route: str, now: float) -> int:
        """Return the shedding threshold of a route, 0 if unknown or expired."""
        threshold, seen_at = self.threshold_by_route.get(
            route, _UNKNOWN_THRESHOLD
        )
        return threshold if now - seen_at <= THRESHOLD_LIFETIME_SECONDS else 0

    def traffic_share(self, now: float) -> float:
        """Return the part of a full share of calls that the member gets.

        Parameters
        ----------
        now : float
            Time, in seconds.

        Returns
        -------
        float
            0 while the member is not available for calls. Just after its return
            0.05, then rising to 1, or only to 0.25 while the member is cold.
        """
        if self.available_since is None:
            return 0.0
        ramp = (now - self.available_since) / RAMP_SECONDS
        max_share = MAX_COLD_SHARE if self._is_cold() else 1.0
        return min(max(ramp, INITIAL_RAMP_SHARE), max_share)

    def _is_cold(self) -> bool:
        return self.record.state is MemberState.COLD
