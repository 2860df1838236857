"""State that the router keeps for one member."""

from dataclasses import dataclass, field

from mustardshunt.base import MemberRecord, MemberState, Reason
from mustardshunt.routing._model import RoutingRequest

# Each answer renews the shedding threshold, so an older one is out of date.
THRESHOLD_LIFETIME_SECONDS = 1.0
# Shorter than the lifetime of a threshold, so that a probe renews it before it
# expires; otherwise all held-back calls would be sent at once.
PROBE_INTERVAL_SECONDS = 0.5
# A member that refused a call is avoided for about as long as its gate takes to
# change its concurrency limit.
REFUSAL_BACKOFF_SECONDS = 0.2
# By this time, gossip has brought the record of a draining member to all nodes.
DRAINING_BACKOFF_SECONDS = 5.0
# A returned member gets its full share of calls after this time.
RAMP_SECONDS = 10.0
# Part of its share that a returned member gets at first. It must get some
# calls, or it would never warm up.
INITIAL_RAMP_SHARE = 0.05
# Largest part of its share that a member gets while it reports a cold start.
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
        Time since which the member has taken calls without a break, in
        seconds; None while it takes none.
    distance : int
        0 for this node's own backend server, 1 for a member in its data
        centre, 2 for one in another data centre, 3 for a suspect member.
    full_share_from : float, default=inf
        Time from which the member gets its full share of calls, in seconds.
    in_flight : int, default=0
        Calls that this node has sent to the member and that have not ended.
    threshold_by_route : dict of str to tuple of int and float
        Shedding threshold of each route, and when it was received, in seconds.
    backoff_until : float, default=-inf
        Time until which the member is avoided after a refusal, in seconds.
    probed_at : float, default=-inf
        Time of the last probe, in seconds.
    unreachable_since : float or None, default=None
        Time since which the member has not answered, in seconds; None while
        it answers.
    """

    record: MemberRecord
    available_since: float | None
    distance: int = 0
    # Kept in advance, so that a choice among warm members computes no ramp.
    full_share_from: float = float('inf')
    in_flight: int = 0
    # Kept by route, because a member that needs an overloaded service for one
    # route accepts less on that route than on its others.
    threshold_by_route: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )
    backoff_until: float = float('-inf')
    probed_at: float = float('-inf')
    unreachable_since: float | None = None

    def update_availability(self, *, is_evacuated: bool, now: float) -> None:
        """Start or end the period in which the member takes calls."""
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
        """Avoid the member for a while if the refusal's reason calls for it."""
        backoff_seconds = _BACKOFF_SECONDS_BY_REASON.get(reason)
        if backoff_seconds is not None:
            self.backoff_until = now + backoff_seconds

    def accepts(self, call: RoutingRequest, now: float) -> bool:
        """Tell whether the member's last known threshold accepts a call."""
        return call.importance >= self.find_shedding_threshold(call.route, now)

    def find_shedding_threshold(self, route: str, now: float) -> int:
        """Return the shedding threshold of a route, 0 when none is valid."""
        threshold, seen_at = self.threshold_by_route.get(
            route, _UNKNOWN_THRESHOLD
        )
        return threshold if now - seen_at <= THRESHOLD_LIFETIME_SECONDS else 0

    def traffic_share(self, now: float) -> float:
        """Return the part of its equal share of calls that the member gets.

        Parameters
        ----------
        now : float
            Time, in seconds.

        Returns
        -------
        float
            0 while the member takes no calls; otherwise from 0.05, just after
            its return, to 1, or to 0.25 while it is cold.
        """
        if self.available_since is None:
            return 0.0
        ramp = (now - self.available_since) / RAMP_SECONDS
        max_share = MAX_COLD_SHARE if self._is_cold() else 1.0
        return min(max(ramp, INITIAL_RAMP_SHARE), max_share)

    def _is_cold(self) -> bool:
        return self.record.state is MemberState.COLD
