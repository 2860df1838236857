"""Which follower decides on a rollout."""

import math
from typing import Final

# Interval at which a decider tells its stage.
STAGE_SECONDS: Final = 0.4
# Time without a stage after which another follower decides, and the time by
# which followers of later data centres wait longer.
SILENCE_SECONDS: Final = 1.5
RANK_SECONDS: Final = 1.0


class DeciderTurn:
    """Tells whether this node decides on one rollout.

    The follower of the first data centre begins at once, and each further one a
    while later, if it has heard no stage. A decider goes on until it hears a
    better one; two deciders exist only while they cannot hear each other.

    Parameters
    ----------
    name : str
        Name of this node.
    now : float
        Time in seconds at which the order became known.

    Examples
    --------
    >>> turn = DeciderTurn('n', now=0.0)
    >>> turn.decides(0, now=0.0), DeciderTurn('n', 0.0).decides(1, now=0.9)
    (True, False)
    """

    def __init__(self, name: str, now: float) -> None:
        self._name = name
        self._known_at = now
        self._heard_at = -math.inf
        self._is_deciding = False
        self.last_term = 0

    def hear(self, rank: int, decider: str, own_rank: int, now: float) -> None:
        """Record a stage of another decider."""
        if decider == self._name:
            return
        self._heard_at = now
        if (rank, decider) < (own_rank, self._name):
            self._is_deciding = False

    def record_term(self, term: int) -> None:
        """Record the term of a stage."""
        self.last_term = max(self.last_term, term)

    def stop(self) -> None:
        """Stop to decide, since this node does not follow any more."""
        self._is_deciding = False

    def decides(self, rank: int, now: float) -> bool:
        """Tell whether this node decides, given its data centre's rank."""
        if self._is_deciding:
            return True
        wait = rank * RANK_SECONDS
        if now < self._known_at + wait:
            return False
        if now < self._heard_at + SILENCE_SECONDS + wait:
            return False
        self._is_deciding = True
        return True
