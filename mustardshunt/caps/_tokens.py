"""Requests for tokens, and what a node shows of its share."""

from dataclasses import dataclass
from typing import Final

# Period ahead for which a node requests tokens from other nodes. A node that
# grants tokens keeps the tokens that it needs itself in this period.
PREFETCH_SECONDS: Final = 0.3
# Time without a grant after which a token request counts as lost and another
# node is asked. A waiting request of a caller thus outlives one silent node.
REQUEST_TIMEOUT_SECONDS: Final = 0.05


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request for tokens from another node.

    Parameters
    ----------
    cap_name : str
        Name of the cap of the tokens.
    node : str
        Name of the node that the request goes to.
    wanted : int
        Number of tokens requested: those for waiting calls or, if larger, the
        expected demand of the near future.
    """

    cap_name: str
    node: str
    wanted: int


@dataclass(frozen=True, slots=True)
class ShareView:
    """Snapshot of this node's share of a cap.

    Parameters
    ----------
    level : float
        Tokens in the bucket.
    capacity : float
        Most tokens that the bucket holds.
    rate : float
        Tokens that accrue per second.
    holders : int
        Number of nodes that hold a share of the usage cap.
    """

    level: float
    capacity: float
    rate: float
    holders: int

    def seconds_until_token(self) -> float:
        """Return the seconds until the bucket of this node has a whole token.

        When this node has no share, the result is ``PREFETCH_SECONDS``.
        """
        if self.rate <= 0:
            return PREFETCH_SECONDS
        return max(0.0, 1.0 - self.level) / self.rate
