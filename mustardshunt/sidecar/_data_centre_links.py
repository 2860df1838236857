"""Links through which a follower and the other data centres hear changes."""

from collections.abc import Iterable
from typing import Final

from mustardshunt.base import NO_REVISION, Clock, Revision
from mustardshunt.load_balancing import Member
from mustardshunt.membership import DataCentreWatch
from mustardshunt.relay import Ping
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._peer_link import PeerLink

# Interval of the pings by which a follower hears another data centre.
PING_SECONDS: Final = 1.0


class DataCentreLinks:
    """Keeps links to other data centres while this node follows.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    links : LinkManager
        Links to the other nodes.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self, data_centre: str, links: LinkManager, clock: Clock
    ) -> None:
        self._watch = DataCentreWatch(data_centre)
        self._links = links
        self._clock = clock
        self._told_changes = (NO_REVISION, NO_REVISION)
        self._pinged_at = 0.0

    def set_members(self, by_name: dict[str, Member]) -> None:
        """Set the nodes of the deployment."""
        self._watch.set_members({
            name: member.data_centre for name, member in by_name.items()
        })

    def record(self, name: str) -> None:
        """Record a frame of a node."""
        self._watch.record(name, self._clock.now())

    def hears(self, name: str) -> bool:
        """Tell whether changes that a node finds are reported to this node."""
        return self._watch.hears(name, self._clock.now())

    def report(self, changes: tuple[Revision, Revision]) -> None:
        """Tell other data centres the newest changes; called every 0.1 s.

        Parameters
        ----------
        changes : tuple of Revision
            Newest known changes of operators and of members.
        """
        now = self._clock.now()
        names = self._watch.choose(now)
        self._links.set_watched(names)
        is_new = changes != self._told_changes
        if not is_new and now - self._pinged_at < PING_SECONDS:
            return
        self._told_changes = changes
        self._pinged_at = now
        for link in find_open_links(self._links, names):
            link.send(Ping(*changes, is_follower=False))

    def close(self) -> None:
        """Close the links that only this task needs."""
        self._links.set_watched(frozenset())


def find_open_links(links: LinkManager, names: Iterable[str]) -> list[PeerLink]:
    """Return the open links to some nodes."""
    found = []
    for name in names:
        link = links.find(name)
        if link is not None and link.is_open:
            found.append(link)
    return found
