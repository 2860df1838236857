"""Links of this node, opened on demand and closed when unused."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from mustardshunt.load_balancing import Member
from mustardshunt.sidecar._peer_link import PeerLink

# Time without use after which a link that is not planned is closed. Results of
# calls and requested tokens arrive well within this time.
UNPLANNED_LINK_SECONDS: Final = 5.0


class LinkPool:
    """Links to other members, by the name of the node.

    Parameters
    ----------
    open_link : callable
        Creates the link to a member.
    most : int
        Links that may exist at once.
    """

    def __init__(
        self, open_link: Callable[[Member], PeerLink], most: int
    ) -> None:
        self._open_link = open_link
        self._most = most
        self._member_by_name: Mapping[str, Member] = {}
        self._planned_names: frozenset[str] = frozenset()
        self._link_by_name: dict[str, PeerLink] = {}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}
        self._used_at_by_name: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of links."""
        return len(self._link_by_name)

    def find(self, name: str) -> PeerLink | None:
        """Return the link to a node, None if no link exists."""
        return self._link_by_name.get(name)

    def open(self, name: str) -> PeerLink | None:
        """Return the link to a node.

        None if the node is not known, or if all links are planned or in use.

        A link that is not planned is closed when it has not been used for
        ``UNPLANNED_LINK_SECONDS``.
        """
        member = self._member_by_name.get(name)
        if member is None:
            return None
        if name not in self._link_by_name and not self._has_room():
            return None
        self._used_at_by_name[name] = asyncio.get_running_loop().time()
        if name not in self._link_by_name:
            link = self._open_link(member)
            self._link_by_name[name] = link
            self._task_by_name[name] = asyncio.create_task(
                link.run(),
                name=f'link to {name}',
            )
        return self._link_by_name[name]

    def open_links(self) -> list[PeerLink]:
        """Return the links on which frames can be sent."""
        return [link for link in self._link_by_name.values() if link.is_open]

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Set the members, and close links to changed or removed members."""
        self._member_by_name = by_name
        for name, link in list(self._link_by_name.items()):
            member = by_name.get(name)
            if member is None or not link.adopt(member):
                self._close(name)

    def set_planned(self, names: frozenset[str]) -> None:
        """Open links to some members and keep them open."""
        self._planned_names = names
        for name in sorted(names - self._link_by_name.keys()):
            self.open(name)

    def check(self, now: float) -> None:
        """Check all links for silent peers; called every 0.1 s.

        Closes unplanned links on which no call waits.
        """
        # Planned links for which there was no room before.
        for name in sorted(self._planned_names - self._link_by_name.keys()):
            self.open(name)
        for name, link in list(self._link_by_name.items()):
            link.check(now)
            if name in self._planned_names or link.has_calls:
                self._used_at_by_name[name] = now
            elif now - self._used_at_by_name[name] > UNPLANNED_LINK_SECONDS:
                self._close(name)

    def close(self) -> None:
        """Close all links."""
        self.set_members({})

    def _has_room(self) -> bool:
        """Tell if one more link may be opened; close an unused one for it."""
        if len(self._link_by_name) < self._most:
            return True
        for name in sorted(self._used_at_by_name, key=self._used_at):
            if name in self._planned_names:
                continue
            if not self._link_by_name[name].has_calls:
                self._close(name)
                return True
        return False

    def _used_at(self, name: str) -> float:
        return self._used_at_by_name[name]

    def _close(self, name: str) -> None:
        del self._link_by_name[name]
        self._used_at_by_name.pop(name, None)
        self._task_by_name.pop(name).cancel()
