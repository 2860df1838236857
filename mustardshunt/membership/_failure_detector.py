"""What a node itself hears of the peers that it watches."""

from dataclasses import dataclass

from mustardshunt.base import Incarnation

PING_INTERVAL_SECONDS = 1.0
SUSPECT_AFTER_SECONDS = 1.5
# A link that was never open gets time for its handshake.
HANDSHAKE_TIMEOUT_SECONDS = 3.0
# A longer gap between ticks means that this node itself was paused.
MAX_TICK_GAP_SECONDS = 1.0
# First pause after a refutation by a peer that is not heard here; it doubles
# each time. Others do hear that peer.
MIN_SUSPICION_BACKOFF_SECONDS = 10.0
MAX_SUSPICION_BACKOFF_SECONDS = 300.0


@dataclass(slots=True)
class PeerEvidence:
    """Evidence on one peer.

    Parameters
    ----------
    heard_at : float
        When it was last heard, or when the first link to it was wanted.
    """

    heard_at: float
    silence_limit: float = HANDSHAKE_TIMEOUT_SECONDS
    pinged_at: float = float('-inf')
    reopened_at: float = float('-inf')
    is_linked: bool = False
    opened_here: bool = False
    suspicion_backoff: float = MIN_SUSPICION_BACKOFF_SECONDS / 2
    suspicion_paused_until: float = float('-inf')

    def record_heard(self, now: float) -> None:
        """Note that bytes have come."""
        self.heard_at = now
        self.silence_limit = SUSPECT_AFTER_SECONDS
        self.suspicion_backoff = MIN_SUSPICION_BACKOFF_SECONDS / 2

    def record_refuted(self, now: float) -> None:
        """Note that the peer lives although it is not heard here."""
        if self.is_silent(now):
            self.suspicion_backoff = min(
                self.suspicion_backoff * 2, MAX_SUSPICION_BACKOFF_SECONDS
            )
            self.suspicion_paused_until = now + self.suspicion_backoff

    def is_silent(self, now: float) -> bool:
        """Tell whether nothing has come for too long."""
        return now - self.heard_at >= self.silence_limit

    def take_due_ping(self, now: float) -> bool:
        """Tell whether a ping is due, and note it."""
        last = max(self.heard_at, self.pinged_at)
        if not self.is_linked or now - last < PING_INTERVAL_SECONDS:
            return False
        self.pinged_at = now
        return True

    def take_due_reopening(self, now: float) -> bool:
        """Tell whether a new link should be tried, and note it."""
        if now - self.reopened_at < SUSPECT_AFTER_SECONDS:
            return False
        self.reopened_at = now
        return True


class FailureDetector:
    """Evidence on all peers that are linked or should be."""

    def __init__(self) -> None:
        self.by_peer: dict[Incarnation, PeerEvidence] = {}
        self._last_tick: float | None = None

    def linked(self) -> list[Incarnation]:
        """Return the peers with an open link."""
        return [peer for peer, watch in self.by_peer.items() if watch.is_linked]

    def find_silent(self, now: float) -> list[Incarnation]:
        """Return the peers from which nothing has come for too long."""
        return [
            peer for peer, watch in self.by_peer.items() if watch.is_silent(now)
        ]

    def find_pings(self, now: float) -> list[Incarnation]:
        """Return the peers that need a ping now."""
        return [
            peer
            for peer, watch in self.by_peer.items()
            if watch.take_due_ping(now)
        ]

    def record_linked(
        self,
        peer: Incarnation,
        now: float,
        *,
        opened_here: bool,
    ) -> None:
        """Note that a link with a peer has finished its handshake."""
        watch = self.by_peer.setdefault(peer, PeerEvidence(now))
        watch.is_linked = True
        watch.opened_here = opened_here
        watch.record_heard(now)

    def record_unlinked(self, peer: Incarnation) -> None:
        """Note that the last link with a peer is closed."""
        watch = self.by_peer.get(peer)
        if watch is not None:
            watch.is_linked = False

    def record_heard(self, peer: Incarnation, now: float) -> None:
        """Note that bytes have come from a peer."""
        watch = self.by_peer.get(peer)
        if watch is not None and watch.is_linked:
            watch.record_heard(now)

    def record_refuted(self, peer: Incarnation, now: float) -> None:
        """Note that a peer has refuted that it is lost."""
        watch = self.by_peer.get(peer)
        if watch is not None:
            watch.record_refuted(now)

    def record_tick(self, now: float) -> None:
        """Excuse the peers for the time in which this node did not run."""
        last = now if self._last_tick is None else self._last_tick
        if now - last > MAX_TICK_GAP_SECONDS:
            for watch in self.by_peer.values():
                watch.heard_at += now - last
        self._last_tick = now

    def is_isolated(self, now: float) -> bool:
        """Tell whether this node is more likely cut off than its peers.

        Such a node accuses nobody. Otherwise its return would make the whole
        fleet refute it at once.
        """
        if len(self.by_peer) < 2:
            return False
        newest = max(watch.heard_at for watch in self.by_peer.values())
        return now - newest >= SUSPECT_AFTER_SECONDS
