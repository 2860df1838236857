"""Which ranks a backend server accepts under overload."""

from typing import Final

# Steps each 0.1 s. Requests that were accepted go on making calls for a second
# or so, and a larger step turns away far too much until they have ended.
STEP_DOWN: Final = 0.06
STEP_UP: Final = 0.03
# The part of the most important rank that is accepted under any load.
LOWEST_CUTOFF: Final = 0.3


class Cutoff:
    """Positions below the cutoff are accepted, the rest is refused early.

    Nodes at which requests enter refuse by the cutoff, so that a request is
    not half done when a service down its chain cannot take its calls. It is a
    fraction of a position, so that a rank is thinned out and not switched on
    and off. The queue of the gate itself sheds calls by importance; the
    cutoff only reacts to what that queue cannot settle.

    Examples
    --------
    >>> cutoff = Cutoff()
    >>> cutoff.set_positions(3)
    >>> cutoff.note_refusal(position=0, is_continuation=False)
    >>> cutoff.review()
    >>> cutoff.level < 3.0
    True
    """

    def __init__(self) -> None:
        self.level = 1.0
        self._top = 1.0
        self._lowest = float('inf')

    def set_positions(self, count: int) -> None:
        """Start anew for a policy with another number of ranks."""
        if count == self._top:
            return
        self._top = float(count)
        self.level = self._top

    def note_refusal(self, position: int, is_continuation: bool) -> None:
        """Note a call that was turned away or has waited for too long.

        Parameters
        ----------
        position : int
            Position of its rank.
        is_continuation : bool
            Whether a request that already runs needed it.
        """
        # A refused continuation may belong to any rank. Otherwise only ranks
        # below the refused one give way: the queue sheds within a rank.
        lowest = LOWEST_CUTOFF if is_continuation else position + 1.0
        self._lowest = min(self._lowest, lowest)

    def review(self) -> None:
        """Adapt the cutoff to what was noted; called each 0.1 s."""
        lowest = self._lowest
        self._lowest = float('inf')
        if lowest < self.level:
            self.level = max(lowest, self.level - STEP_DOWN)
        elif lowest >= self._top:
            self.level = min(self._top, self.level + STEP_UP)
