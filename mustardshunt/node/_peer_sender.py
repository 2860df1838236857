"""Sends frames to peers over links that are already open."""

from mustardshunt.base import Incarnation
from mustardshunt.node._member_sync import MemberSync
from mustardshunt.transport import LinkPool


class PeerSender:
    """Sends frames to one peer, or to all neighbours.

    Parameters
    ----------
    links : LinkPool
        Links of this node.
    members : MemberSync
        Members that are known to this node.
    """

    def __init__(self, links: LinkPool, members: MemberSync) -> None:
        self._links = links
        self._members = members

    def send(self, peer: Incarnation, frame: object) -> bool:
        """Send a frame to a peer over an open link.

        When no link is open, the frame is dropped and a link is opened for
        later frames.

        Returns
        -------
        bool
            True when the frame was sent, False when the frame was dropped.
        """
        link = self._links.find_any(peer)
        if link is not None:
            return link.send(frame)
        record = self._members.find(peer)
        if record is not None:
            self._links.open(record.address)
        return False

    def broadcast(self, frame: object) -> None:
        """Send a frame to all neighbours."""
        for peer in self._members.list_neighbours():
            self.send(peer, frame)

    def broadcast_in_data_centre(self, frame: object) -> None:
        """Send a frame to the neighbours in this node's data centre."""
        own = self._members.own
        for peer in self._members.list_neighbours():
            record = self._members.find(peer)
            if record is not None and record.data_centre == own.data_centre:
                self.send(peer, frame)
