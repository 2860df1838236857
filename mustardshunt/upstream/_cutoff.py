"""Cutoff of the priority ranks that are accepted under overload."""

import math
from dataclasses import dataclass
from typing import Final

# Pause of the measurements after the largest decrease; a smaller decrease has
# a proportionally shorter pause. Entry nodes learn the new cutoff with a
# delay, and requests that they accepted before make calls for about this
# long. A second decrease for the same overload would make the system
# oscillate between refusing too much and overload.
SETTLE_SECONDS: Final = 1.2
# The cutoff decreases when a child call waits for more than this part of its
# allowed wait. A chain makes several calls in sequence, and each of them
# waits; with longer waits, chains miss their deadlines and their work is lost.
TARGET_WAIT_RATIO: Final = 0.35
# Lower bound of the ratio of the new cutoff to the old one in one decrease.
MIN_KEPT_RATIO: Final = 0.5
# Relative decrease of the cutoff when all calls were refused; proportionally
# less when a part of them was refused.
REFUSED_SHARE_FACTOR: Final = 0.5
# Refusals lead to a decrease after this many arrivals or this many seconds,
# whichever comes first.
MIN_CALLS: Final = 12
MAX_MEASUREMENT_SECONDS: Final = 0.3
# The cutoff increases each 0.1 s: by FAST_INCREMENT below this part of the
# cutoff at which the last overload began; above it by BUSY_INCREMENT with a
# full backend server, up to IDLE_INCREMENT with an idle one.
FAST_INCREASE_RATIO: Final = 0.7
FAST_INCREMENT: Final = 0.1
BUSY_INCREMENT: Final = 0.02
IDLE_INCREMENT: Final = 0.06
# This part of the calls of the most important rank is always accepted.
MIN_CUTOFF: Final = 0.3


@dataclass(frozen=True, slots=True)
class CutoffDecrease:
    """A decrease of the cutoff and the measurements that led to it.

    Parameters
    ----------
    cutoff : float
        Cutoff after the decrease.
    arrived : int
        Calls that arrived during the measurement.
    refused : int
        Refused calls among them; calls of the least important rank count
        only if they are child calls.
    wait_ratio : float
        Longest wait of a queued child call, relative to its allowed wait.
    """

    cutoff: float
    arrived: int
    refused: int
    wait_ratio: float


class Cutoff:
    """Bound on the priority ranks that a backend server accepts.

    Entry nodes accept the ranks below the cutoff and refuse all others. A
    request is therefore refused before it starts, and not after a part of its
    work, when an overloaded service refuses one of its child calls. The
    cutoff need not be a whole number: with 1.3, entry nodes accept all
    requests of rank 0 and 30 % of those of rank 1. The admission queue sheds
    the least important calls by itself, so the cutoff reacts only to overload
    that the queue cannot handle.

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
        self._overload_cutoff = 1.0
        self._is_overloaded = False
        self._arrived = 0
        self._refused = 0
        self._floor = float('inf')
        self._measurement_start = 0.0

    def set_rank_count(self, count: int) -> None:
        """Set the number of ranks; a changed number accepts all ranks again.

        Parameters
        ----------
        count : int
            Number of priority ranks in the active policy.
        """
        if count == self.maximum:
            return
        self.maximum = float(count)
        self.value = self.maximum
        self._overload_cutoff = self.maximum

    def record_arrival(self) -> None:
        """Count a call that arrived at the gate."""
        self._arrived += 1

    def record_refusal(self, priority_rank: int, is_child_call: bool) -> None:
        """Count a call that the gate refused.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the call, 0 is the most important.
        is_child_call : bool
            Whether the call was made by a request that already runs.
        """
        # A refused child call allows the cutoff to fall to its minimum. After
        # another refused call only less important ranks are cut off, because
        # the queue sheds calls of the same rank by itself.
        floor = MIN_CUTOFF if is_child_call else priority_rank + 1.0
        if floor < self.maximum:
            self._refused += 1
            self._floor = min(self._floor, floor)

    def adjust(
        self,
        now: float,
        utilisation: float,
        wait_ratio: float,
    ) -> CutoffDecrease | None:
        """Adjust the cutoff to the recorded calls; called each 0.1 s.

        Parameters
        ----------
        now : float
            Time in seconds.
        utilisation : float
            Used part of the backend server's concurrency limit.
        wait_ratio : float
            Longest wait of a queued child call, relative to its allowed wait.

        Returns
        -------
        CutoffDecrease or None
            None unless the cutoff was decreased.
        """
        if now < self._measurement_start:
            # Calls that arrive now belong to requests that were accepted
            # before the last decrease.
            self._reset_counts()
            return None
        kept_ratio = min(
            1.0, TARGET_WAIT_RATIO / max(wait_ratio, TARGET_WAIT_RATIO)
        )
        if kept_ratio < 1:
            self._floor = MIN_CUTOFF
        elif not self._refused:
            self._is_overloaded = False
            self._increase(utilisation)
            self._start_measurement(now)
            return None
        elif not self._has_enough_calls(now):
            return None
        share = min(1.0, self._refused / max(1, self._arrived))
        kept_ratio = max(
            MIN_KEPT_RATIO, min(kept_ratio, 1.0 - REFUSED_SHARE_FACTOR * share)
        )
        if not self._is_overloaded:
            self._is_overloaded = True
            self._overload_cutoff = self.value
        # One decrease cuts off the rest of one rank at most. Ranks differ in
        # their load, so cutting off the less important rank may be enough.
        next_rank = math.ceil(self.value) - 1.0
        lowered = max(self._floor, next_rank, self.value * kept_ratio)
        self.value = min(self.value, lowered)
        decrease = CutoffDecrease(
            self.value, self._arrived, self._refused, wait_ratio
        )
        step_ratio = (1.0 - kept_ratio) / (1.0 - MIN_KEPT_RATIO)
        self._start_measurement(now + SETTLE_SECONDS * step_ratio)
        return decrease

    def _increase(self, utilisation: float) -> None:
        step = BUSY_INCREMENT + (IDLE_INCREMENT - BUSY_INCREMENT) * max(
            0.0, 1.0 - utilisation
        )
        if self.value < FAST_INCREASE_RATIO * self._overload_cutoff:
            step = FAST_INCREMENT
        self.value = min(self.maximum, self.value + step)
        # A cutoff above that of the last overload caused no new overload, so
        # the bound of the fast increase rises with it.
        self._overload_cutoff = max(self._overload_cutoff, self.value)

    def _has_enough_calls(self, now: float) -> bool:
        if self._arrived >= MIN_CALLS:
            return True
        return now - self._measurement_start >= MAX_MEASUREMENT_SECONDS

    def _start_measurement(self, start: float) -> None:
        self._measurement_start = start
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._arrived = 0
        self._refused = 0
        self._floor = float('inf')
