"""Which ranks a backend server accepts under overload."""

import math
from dataclasses import dataclass
from typing import Final

# Requests that were accepted before the largest step go on making calls for
# about this long, and the new cutoff needs a part of it to reach the nodes at
# which requests enter. A further step before that would answer the same
# overload twice; service then swings between refused and overloaded. Smaller
# steps wait for a shorter time.
SETTLE_SECONDS: Final = 1.2
# Part of its patience that a call of a running request may wait for. A chain
# makes several calls one after the other, and each of them waits; with longer
# waits whole chains come to their deadlines and all of their work is lost.
TARGET_WAIT_RATIO: Final = 0.35
# A step keeps at least this part of the cutoff.
LEAST_KEPT: Final = 0.5
# The same for each refused part of the calls that need no queue for others.
STEP_FOR_REFUSED: Final = 0.5
# A step follows from at least so many calls, or so many seconds.
LEAST_CALLS: Final = 12
MEASURE_SECONDS: Final = 0.3
# Rise each 0.1 s up to this part of the cutoff at which the last overload
# began, and above it, where the backend server is full and where it is free.
SURE_PART: Final = 0.7
SURE_STEP_UP: Final = 0.1
STEP_UP: Final = 0.02
FREE_STEP_UP: Final = 0.06
# The part of the most important rank that is accepted under any load.
MIN_CUTOFF: Final = 0.3


@dataclass(frozen=True, slots=True)
class CutoffDecrease:
    """A step down, and what it follows from.

    Parameters
    ----------
    cutoff : float
        Cutoff after the step.
    arrived : int
        Calls that came since the last step had settled.
    refused : int
        Those of them that the queue could not settle.
    wait_ratio : float
        Longest wait of a call of a running request, as a part of its patience.
    """

    cutoff: float
    arrived: int
    refused: int
    wait_ratio: float


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
    >>> cutoff.set_rank_count(3)
    >>> cutoff.adjust(1.0, utilisation=1.0, wait_ratio=0.7).cutoff < 3.0
    True
    """

    def __init__(self) -> None:
        self.value = 1.0
        self.maximum = 1.0
        self._overload_level = 1.0
        self._is_overloaded = False
        self._arrived = 0
        self._refused = 0
        self._lowest = float('inf')
        self._measured_from = 0.0

    def set_rank_count(self, count: int) -> None:
        """Start anew for a policy with another number of ranks."""
        if count == self.maximum:
            return
        self.maximum = float(count)
        self.value = self.maximum
        self._overload_level = self.maximum

    def record_arrival(self) -> None:
        """Note a call that came to the gate."""
        self._arrived += 1

    def record_refusal(self, priority_rank: int, is_child_call: bool) -> None:
        """Note a call that was turned away.

        Parameters
        ----------
        priority_rank : int
            Position of its rank.
        is_child_call : bool
            Whether a request that already runs needed it.
        """
        # A refused continuation may belong to any rank. Otherwise only ranks
        # below the refused one give way: the queue sheds within a rank.
        lowest = MIN_CUTOFF if is_child_call else priority_rank + 1.0
        if lowest < self.maximum:
            self._refused += 1
            self._lowest = min(self._lowest, lowest)

    def adjust(
        self,
        now: float,
        utilisation: float,
        wait_ratio: float,
    ) -> CutoffDecrease | None:
        """Adapt the cutoff to what was noted; called each 0.1 s.

        Parameters
        ----------
        now : float
            Time in seconds.
        utilisation : float
            Part of the backend server's limit that is in use.
        wait_ratio : float
            Longest wait of a call of a running request, as a part of its
            patience.

        Returns
        -------
        CutoffDecrease or None
            None unless the cutoff was lowered.
        """
        if now < self._measured_from:
            # What comes now was accepted before the last step.
            self._forget()
            return None
        kept = min(1.0, TARGET_WAIT_RATIO / max(wait_ratio, TARGET_WAIT_RATIO))
        if kept < 1:
            self._lowest = MIN_CUTOFF
        elif not self._refused:
            self._is_overloaded = False
            self._rise(utilisation)
            self._restart(now)
            return None
        elif not self._has_seen_enough(now):
            return None
        share = min(1.0, self._refused / max(1, self._arrived))
        kept = max(LEAST_KEPT, min(kept, 1.0 - STEP_FOR_REFUSED * share))
        if not self._is_overloaded:
            self._is_overloaded = True
            self._overload_level = self.value
        # Ranks differ in their demand, and a rank must not give way for the
        # one below it: a step takes out the rest of one rank at most.
        next_rank = math.ceil(self.value) - 1.0
        lowered = max(self._lowest, next_rank, self.value * kept)
        self.value = min(self.value, lowered)
        taken = CutoffDecrease(
            self.value, self._arrived, self._refused, wait_ratio
        )
        part = (1.0 - kept) / (1.0 - LEAST_KEPT)
        self._restart(now + SETTLE_SECONDS * part)
        return taken

    def _rise(self, used: float) -> None:
        step = STEP_UP + (FREE_STEP_UP - STEP_UP) * max(0.0, 1.0 - used)
        if self.value < SURE_PART * self._overload_level:
            step = SURE_STEP_UP
        self.value = min(self.maximum, self.value + step)
        # What was too much once need not be so for ever.
        self._overload_level = max(self._overload_level, self.value)

    def _has_seen_enough(self, now: float) -> bool:
        if self._arrived >= LEAST_CALLS:
            return True
        return now - self._measured_from >= MEASURE_SECONDS

    def _restart(self, measured_from: float) -> None:
        self._measured_from = measured_from
        self._forget()

    def _forget(self) -> None:
        self._arrived = 0
        self._refused = 0
        self._lowest = float('inf')
