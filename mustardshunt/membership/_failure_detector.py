"""What a node itself hears of the peers that it watches."""

from dataclasses import dataclass

from mustardshunt.base import Incarnation

PING_INTERVAL = 1.0
SUSPECT_AFTER = 1.5
# A link that was never open gets time for its handshake.
OPEN_TIMEOUT = 3.0
# A longer gap between ticks means that this node itself was paused.
PAUSE_LIMIT = 1.0
# First pause after a refutation by a peer that is not heard here; it doubles
# each time. Others do hear that peer.
FIRST_DOUBT = 10.0
LAST_DOUBT = 300.0


@dataclass(slots=True)
class Watch:
    """Evidence on one peer.

    Parameters
    ----------
    heard : float
        When it was last heard, or when the first link to it was wanted.
    """

    heard: float
    limit: float = OPEN_TIMEOUT
    pinged: float = float('-inf')
    reopened: float = float('-inf')
    linked: bool = False
    opened_here: bool = False
    doubt: float = FIRST_DOUBT / 2
    doubted_until: float = float('-inf')

    def note_heard(self, now: float) -> None:
        """Note that bytes have come."""
        self.heard = now
        self.limit = SUSPECT_AFTER
        self.doubt = FIRST_DOUBT / 2

    def note_refuted(self, now: float) -> None:
        """Note that the peer lives although it is not heard here."""
        if self.is_silent(now):
            self.doubt = min(self.doubt * 2, LAST_DOUBT)
            self.doubted_until = now + self.doubt

    def is_silent(self, now: float) -> bool:
        """Tell whether nothing has come for too long."""
        return now - self.heard >= self.limit

    def wants_ping(self, now: float) -> bool:
        """Tell whether a ping is due, and note it."""
        last = max(self.heard, self.pinged)
        if not self.linked or now - last < PING_INTERVAL:
            return False
        self.pinged = now
        return True

    def wants_reopening(self, now: float) -> bool:
        """Tell whether a new link should be tried, and note it."""
        if now - self.reopened < SUSPECT_AFTER:
            return False
        self.reopened = now
        return True


class WatchList:
    """Evidence on all peers that are linked or should be."""

    def __init__(self) -> None:
        self.by_peer: dict[Incarnation, Watch] = {}
        self._last_tick: float | None = None

    def linked(self) -> list[Incarnation]:
        """Return the peers with an open link."""
        return [peer for peer, watch in self.by_peer.items() if watch.linked]

    def silent(self, now: float) -> list[Incarnation]:
        """Return the peers from which nothing has come for too long."""
        return [
            peer for peer, watch in self.by_peer.items() if watch.is_silent(now)
        ]

    def find_pings(self, now: float) -> list[Incarnation]:
        """Return the peers that need a ping now."""
        return [
            peer
            for peer, watch in self.by_peer.items()
            if watch.wants_ping(now)
        ]

    def note_linked(
        self,
        peer: Incarnation,
        now: float,
        *,
        opened_here: bool,
    ) -> None:
        """Note that a link with a peer has finished its handshake."""
        watch = self.by_peer.setdefault(peer, Watch(now))
        watch.linked = True
        watch.opened_here = opened_here
        watch.note_heard(now)

    def note_unlinked(self, peer: Incarnation) -> None:
        """Note that the last link with a peer is closed."""
        watch = self.by_peer.get(peer)
        if watch is not None:
            watch.linked = False

    def note_heard(self, peer: Incarnation, now: float) -> None:
        """Note that bytes have come from a peer."""
        watch = self.by_peer.get(peer)
        if watch is not None and watch.linked:
            watch.note_heard(now)

    def note_refuted(self, peer: Incarnation, now: float) -> None:
        """Note that a peer has refuted that it is lost."""
        watch = self.by_peer.get(peer)
        if watch is not None:
            watch.note_refuted(now)

    def note_tick(self, now: float) -> None:
        """Excuse the peers for the time in which this node did not run."""
        last = now if self._last_tick is None else self._last_tick
        if now - last > PAUSE_LIMIT:
            for watch in self.by_peer.values():
                watch.heard += now - last
        self._last_tick = now

    def is_isolated(self, now: float) -> bool:
        """Tell whether this node is more likely cut off than its peers.

        Such a node accuses nobody. Otherwise its return would make the whole
        fleet refute it at once.
        """
        if len(self.by_peer) < 2:
            return False
        newest = max(watch.heard for watch in self.by_peer.values())
        return now - newest >= SUSPECT_AFTER
