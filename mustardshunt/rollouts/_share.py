"""Share of an entry node's requests that it may send to a target."""

from typing import Final

# Most requests that a node may send to the target at once, after it had no
# upstream of the target for a while.
MAX_CREDIT: Final = 2.0


class VersionShare:
    """Counts the requests of one node for a service, and those for its target.

    The node's own runs earn the share, and each request for the target costs
    one. The sum over all nodes therefore keeps to the share, whatever the nodes
    know of each other. What the nodes may send before they have earned it is
    part of the slack.

    Parameters
    ----------
    credit : float
        Requests that the node may send before it has earned them, below 1.

    Examples
    --------
    >>> share = VersionShare(0.5)
    >>> share.record_run(0.25), share.draw()
    (None, False)
    >>> share.record_run(0.25), share.draw(), share.draw()
    (None, True, False)
    """

    def __init__(self, credit: float) -> None:
        self._credit = credit

    def record_run(self, share: float) -> None:
        """Count a request that has reached an upstream of the service."""
        self._credit = min(MAX_CREDIT, self._credit + share)

    def draw(self) -> bool:
        """Take one request for the target; return False without credit."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def refund(self) -> None:
        """Return a request that has not run."""
        self._credit = min(MAX_CREDIT, self._credit + 1)


def first_credit(position: int, nodes: int, slack: float) -> float:
    """Return the credit with which a node begins.

    The credits of the nodes are spread evenly, so that a few requests reach the
    target even if each node has earned only a part of one. Their sum is at most
    half of the slack.

    Parameters
    ----------
    position : int
        Position of the node in an order of all nodes.
    nodes : int
        Number of all nodes.
    slack : float
        Requests that are allowed beyond the share.

    Examples
    --------
    >>> sum(first_credit(position, 400, 50) for position in range(400)) <= 25
    True
    """
    if nodes <= 0:
        return 0.0
    return position / nodes * min(1.0, slack / nodes)
