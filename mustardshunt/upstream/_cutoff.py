"""Which ranks a backend server accepts under overload."""

from typing import Final

# A queue that has not been empty for this long is a standing one: it adds
# delay without adding throughput.
STANDING_SECONDS: Final = 0.06
# Steps each tick of 0.1 s: overload has to be answered within a second, and
# the way back must not bring it up again.
STEP_DOWN: Final = 0.12
STEP_UP: Final = 0.03
# The part of the most important rank that is accepted under any load.
LOWEST_CUTOFF: Final = 0.3


class Cutoff:
    """Positions below the cutoff are accepted, the rest is refused early.

    The cutoff is a fraction of a position, so that a rank is thinned out and
    not switched on and off.

    Examples
    --------
    >>> cutoff = Cutoff()
    >>> cutoff.set_positions(3)
    >>> cutoff.review(standing=0.5)
    >>> cutoff.level < 3.0
    True
    """

    def __init__(self) -> None:
        self.level = 1.0
        self._top = 1.0

    def set_positions(self, count: int) -> None:
        """Start anew for a policy with another number of ranks."""
        if count == self._top:
            return
        self._top = float(count)
        self.level = self._top

    def review(self, standing: float) -> None:
        """Adapt the cutoff.

        Parameters
        ----------
        standing : float
            Seconds for which the queue has not been empty.
        """
        if standing > STANDING_SECONDS:
            self.level = max(LOWEST_CUTOFF, self.level - STEP_DOWN)
            return
        self.level = min(self._top, self.level + STEP_UP)

    def is_open(self) -> bool:
        """Tell whether every rank is accepted."""
        return self.level >= self._top
