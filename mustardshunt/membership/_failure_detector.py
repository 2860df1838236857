"""Failure detection from the bytes that arrive directly from peers."""

from dataclasses import dataclass

from mustardshunt.base import Incarnation

PING_INTERVAL_SECONDS = 1.0
SUSPECT_AFTER_SECONDS = 1.5
# Silence limit of a peer that was never linked. Longer than
# ``SUSPECT_AFTER_SECONDS``, since the handshake takes time.
HANDSHAKE_TIMEOUT_SECONDS = 3.0
# A longer gap between ticks means that this node itself was paused, so the
# silence of its peers in the gap is no evidence.
MAX_TICK_GAP_SECONDS = 1.0
# Pause before this node suspects a silent peer again after the peer has refuted
# a suspicion: the refutation shows that other nodes receive the peer's bytes.
# Doubles with each refutation up to the maximum.
MIN_SUSPICION_BACKOFF_SECONDS = 10.0
MAX_SUSPICION_BACKOFF_SECONDS = 300.0


@dataclass(slots=True)
class PeerEvidence:
    """Evidence of whether one peer is alive.

    Parameters
    ----------
    heard_at : float
        Time of the last bytes from the peer, in seconds; before the first
        bytes, time at which this node began to monitor the peer.
    silence_limit : float, default=3.0
        Seconds without bytes after which the peer is silent.
    pinged_at : float, default=-inf
        Time of the last ping, in seconds.
    reopened_at : float, default=-inf
        Time of the last attempt to open a link, in seconds.
    is_linked : bool, default=False
        Whether a link with the peer is open.
    opened_here : bool, default=False
        Whether this node opened the link.
    suspicion_backoff : float, default=5.0
        Seconds of the last pause in suspicion, doubled for the next one. It
        starts at half of the minimum, which makes the minimum the first.
    suspicion_paused_until : float, default=-inf
        Time before which this node does not suspect the peer, in seconds.
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
        """Record that bytes have arrived, and reset the suspicion backoff."""
        self.heard_at = now
        self.silence_limit = SUSPECT_AFTER_SECONDS
        self.suspicion_backoff = MIN_SUSPICION_BACKOFF_SECONDS / 2

    def record_refuted(self, now: float) -> None:
        """Pause suspicion if the peer is alive but silent to this node."""
        if self.is_silent(now):
            self.suspicion_backoff = min(
                self.suspicion_backoff * 2, MAX_SUSPICION_BACKOFF_SECONDS
            )
            self.suspicion_paused_until = now + self.suspicion_backoff

    def is_silent(self, now: float) -> bool:
        """Return whether the time without bytes has reached its limit."""
        return now - self.heard_at >= self.silence_limit

    def take_due_ping(self, now: float) -> bool:
        """Return whether a ping is due, and record it as sent."""
        last = max(self.heard_at, self.pinged_at)
        if not self.is_linked or now - last < PING_INTERVAL_SECONDS:
            return False
        self.pinged_at = now
        return True

    def take_due_reopening(self, now: float) -> bool:
        """Return whether a new link is due, and record the attempt."""
        if now - self.reopened_at < SUSPECT_AFTER_SECONDS:
            return False
        self.reopened_at = now
        return True


class FailureDetector:
    """Evidence on each peer that is linked or that this node monitors."""

    def __init__(self) -> None:
        self.by_peer: dict[Incarnation, PeerEvidence] = {}
        self._last_tick: float | None = None

    def linked(self) -> list[Incarnation]:
        """Return the peers with an open link."""
        return [
            peer
            for peer, evidence in self.by_peer.items()
            if evidence.is_linked
        ]

    def find_silent(self, now: float) -> list[Incarnation]:
        """Return the peers whose silence has reached its limit."""
        return [
            peer
            for peer, evidence in self.by_peer.items()
            if evidence.is_silent(now)
        ]

    def find_pings(self, now: float) -> list[Incarnation]:
        """Return the peers to ping now, and record the pings as sent."""
        return [
            peer
            for peer, evidence in self.by_peer.items()
            if evidence.take_due_ping(now)
        ]

    def record_linked(
        self,
        peer: Incarnation,
        now: float,
        *,
        opened_here: bool,
    ) -> None:
        """Record that the handshake of a link with a peer is complete."""
        evidence = self.by_peer.setdefault(peer, PeerEvidence(now))
        evidence.is_linked = True
        evidence.opened_here = opened_here
        evidence.record_heard(now)

    def record_unlinked(self, peer: Incarnation) -> None:
        """Record that the last link with a peer has closed."""
        evidence = self.by_peer.get(peer)
        if evidence is not None:
            evidence.is_linked = False

    def record_heard(self, peer: Incarnation, now: float) -> None:
        """Record that bytes have arrived from a linked peer."""
        evidence = self.by_peer.get(peer)
        if evidence is not None and evidence.is_linked:
            evidence.record_heard(now)

    def record_refuted(self, peer: Incarnation, now: float) -> None:
        """Record that a peer has refuted a suspicion."""
        evidence = self.by_peer.get(peer)
        if evidence is not None:
            evidence.record_refuted(now)

    def record_tick(self, now: float) -> None:
        """Record a tick; a pause of this node is not silence of its peers."""
        last = now if self._last_tick is None else self._last_tick
        if now - last > MAX_TICK_GAP_SECONDS:
            for evidence in self.by_peer.values():
                evidence.heard_at += now - last
        self._last_tick = now

    def is_isolated(self, now: float) -> bool:
        """Return whether at least two peers are known and all are silent.

        This node is then more likely to be cut off than all its peers to have
        failed, so it suspects none of them. Otherwise every member would have
        to refute a suspicion at once when this node reconnects.
        """
        if len(self.by_peer) < 2:
            return False
        last_heard_at = max(
            evidence.heard_at for evidence in self.by_peer.values()
        )
        return now - last_heard_at >= SUSPECT_AFTER_SECONDS
