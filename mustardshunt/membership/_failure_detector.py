"""Failure detection from the bytes that arrive directly from peers."""

from dataclasses import dataclass

from mustardshunt.base import Incarnation

PING_INTERVAL_SECONDS = 1.0
SUSPECT_AFTER_SECONDS = 1.5
# Time without bytes after which a peer that was never linked counts as silent.
# This time is longer than ``SUSPECT_AFTER_SECONDS``, because the handshake
# takes time.
HANDSHAKE_TIMEOUT_SECONDS = 3.0
# Longest time between two ticks of a node that runs normally. If more time has
# passed, this node itself was paused. Bytes missing from its peers are then no
# evidence that the peers have failed.
MAX_TICK_GAP_SECONDS = 1.0
# Bounds of the suspicion backoff. After a silent peer has refuted a suspicion,
# this node does not suspect the peer again for this time: the refutation shows
# that other nodes receive bytes from the peer. The backoff doubles with each
# refutation, up to the maximum.
MIN_SUSPICION_BACKOFF_SECONDS = 10.0
MAX_SUSPICION_BACKOFF_SECONDS = 300.0


@dataclass(slots=True)
class PeerEvidence:
    """Evidence of whether one peer is alive.

    Parameters
    ----------
    heard_at : float
        Time of the last bytes from the peer, in seconds. Before the first bytes
        arrive, time at which this node began to monitor the peer.
    silence_limit : float, default=3.0
        Seconds without bytes after which the peer counts as silent.
    pinged_at : float, default=-inf
        Time of the last ping, in seconds.
    reopened_at : float, default=-inf
        Time of the last attempt to open a link, in seconds.
    is_linked : bool, default=False
        Whether a link with the peer is open.
    opened_here : bool, default=False
        Whether this node opened the link.
    suspicion_backoff : float, default=5.0
        Seconds for which the peer was not suspected after its last refutation.
        The value is doubled at each refutation. The initial value is half the
        minimum, so that the first refutation gives the minimum.
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
        """Pause suspicion of a silent peer whose bytes reach other nodes."""
        if self.is_silent(now):
            self.suspicion_backoff = min(
                self.suspicion_backoff * 2, MAX_SUSPICION_BACKOFF_SECONDS
            )
            self.suspicion_paused_until = now + self.suspicion_backoff

    def is_silent(self, now: float) -> bool:
        """Return whether no bytes arrived for at least the silence limit."""
        return now - self.heard_at >= self.silence_limit

    def take_due_ping(self, now: float) -> bool:
        """Return whether a ping is due; if so, record the ping as sent."""
        last = max(self.heard_at, self.pinged_at)
        if not self.is_linked or now - last < PING_INTERVAL_SECONDS:
            return False
        self.pinged_at = now
        return True

    def take_due_reopening(self, now: float) -> bool:
        """Return whether a new link is due; if so, record the attempt."""
        if now - self.reopened_at < SUSPECT_AFTER_SECONDS:
            return False
        self.reopened_at = now
        return True


class FailureDetector:
    """Detects failed peers from the bytes that arrive from each of them.

    All peers that are linked to this node or monitored by it are covered.
    """

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
        """Return the peers from which no bytes have arrived for too long."""
        return [
            peer
            for peer, evidence in self.by_peer.items()
            if evidence.is_silent(now)
        ]

    def find_pings(self, now: float) -> list[Incarnation]:
        """Return the peers to which a ping is due, and record these pings."""
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
        """Pause suspicions of a silent peer that has refuted a suspicion."""
        evidence = self.by_peer.get(peer)
        if evidence is not None:
            evidence.record_refuted(now)

    def record_tick(self, now: float) -> None:
        """Record a tick.

        If this node was paused since the last tick, the time of the pause does
        not count as silence of the peers.
        """
        last = now if self._last_tick is None else self._last_tick
        if now - last > MAX_TICK_GAP_SECONDS:
            for evidence in self.by_peer.values():
                evidence.heard_at += now - last
        self._last_tick = now

    def is_isolated(self, now: float) -> bool:
        """Return whether this node has at least two peers and all are silent.

        In this case, it is more likely that this node has lost its network than
        that all its peers have failed. The node then suspects none of its
        peers. Otherwise, all members would have to refute a suspicion when this
        node reconnects.
        """
        if len(self.by_peer) < 2:
            return False
        last_heard_at = max(
            evidence.heard_at for evidence in self.by_peer.values()
        )
        return now - last_heard_at >= SUSPECT_AFTER_SECONDS
