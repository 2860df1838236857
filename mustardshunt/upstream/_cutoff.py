"""Cutoff of the priority ranks that are accepted under overload."""

import math
from dataclasses import dataclass
from typing import Final

# Pause in seconds after the largest decrease of the cutoff. The cutoff stays
# the same during the pause. After a smaller decrease the pause is
# proportionally shorter. Entry nodes receive the new cutoff with a delay. The
# requests that they have accepted until then make child calls for about the
# length of the pause. Without the pause, the cutoff would decrease twice for
# the same overload. The system would then oscillate between refusing too many
# requests and overload.
SETTLE_SECONDS: Final = 1.2
# Target for the ratio of a queued child call's wait to its allowed wait. Above
# this ratio the cutoff decreases. Up to this ratio, waits do not change the
# cutoff. The child calls of one request wait one after the other, so their
# waits add up. With longer waits, requests miss their deadlines, and the work
# that was done for these requests is lost.
TARGET_WAIT_RATIO: Final = 0.35
# Lowest ratio of the cutoff after a decrease to the cutoff before the decrease.
MIN_KEPT_RATIO: Final = 0.5
# Relative decrease of the cutoff when all calls were refused: the cutoff loses
# this fraction of its value. When only a part of the calls was refused, the
# decrease is proportionally smaller.
REFUSED_SHARE_FACTOR: Final = 0.5
# Refused calls decrease the cutoff when at least MIN_CALLS calls have arrived
# or MAX_MEASUREMENT_SECONDS have passed. Before that, the measurement goes on:
# a single refused call would be a large part of few calls.
MIN_CALLS: Final = 12
MAX_MEASUREMENT_SECONDS: Final = 0.3
# Without overload the cutoff increases every 0.1 s. The bound of the fast
# increase is FAST_INCREASE_RATIO times the cutoff at which the last overload
# began. Below this bound, the cutoff increases by FAST_INCREMENT. Above the
# bound, the increment depends on the utilisation. It is BUSY_INCREMENT when the
# backend server is fully used and rises to IDLE_INCREMENT when the backend
# server is idle.
FAST_INCREASE_RATIO: Final = 0.7
FAST_INCREMENT: Final = 0.1
BUSY_INCREMENT: Final = 0.02
IDLE_INCREMENT: Final = 0.06
# Lowest value of the cutoff: entry nodes always accept at least 30 % of the
# requests of rank 0, the most important rank.
MIN_CUTOFF: Final = 0.3


@dataclass(frozen=True, slots=True)
class CutoffDecrease:
    """A decrease of the cutoff, and the measurements that caused it.

    Parameters
    ----------
    cutoff : float
        Cutoff after the decrease.
    arrived : int
        Calls that arrived since the measurement began.
    refused : int
        Calls that were refused since the measurement began. A call of the
        least important rank counts only if it is a child call.
    wait_ratio : float
        Highest ratio of a queued child call's wait to the allowed wait.
    """

    cutoff: float
    arrived: int
    refused: int
    wait_ratio: float


class Cutoff:
    """Bound on the priority ranks that a backend server accepts.

    Entry nodes accept requests whose priority rank is below the cutoff, and
    refuse all other requests. Entry nodes refuse a request before any work is
    done for the request. Without a cutoff, an overloaded service would refuse a
    child call of the request later, and the work until then would be lost.

    The cutoff need not be a whole number: with 1.3, entry nodes accept all
    requests of rank 0 and 30 % of the requests of rank 1. The admission queue
    sheds the least important calls by itself. The cutoff therefore reacts only
    to overload that the queue cannot handle.

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
        """Set the number of ranks.

        If the number of ranks changes, the cutoff is reset to accept all ranks.

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
        """Count a call that arrived while the gate was open."""
        self._arrived += 1

    def record_refusal(self, priority_rank: int, is_child_call: bool) -> None:
        """Count a call that the gate refused.

        A call of the least important rank counts only if it is a child call.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the call, 0 is the most important.
        is_child_call : bool
            Whether the call was made by a request that already runs.
        """
        # A refused child call may lower the cutoff to its minimum. Any other
        # refused call cuts off only ranks that are less important than the rank
        # of this call. The queue sheds calls of the same rank by itself.
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
        """Decrease the cutoff under overload, otherwise increase the cutoff.

        The method must be called every 0.1 s. During the pause after a decrease
        and until enough calls have arrived, the cutoff stays the same.

        Parameters
        ----------
        now : float
            Time in seconds.
        utilisation : float
            Running calls divided by the backend server's concurrency limit.
        wait_ratio : float
            Highest ratio of a queued child call's wait to the allowed wait.

        Returns
        -------
        CutoffDecrease or None
            The decrease and its measurements. None if the cutoff was increased
            or stays the same.
        """
        if now < self._measurement_start:
            # Calls that arrive during the pause are not counted. They belong
            # to requests that entry nodes accepted with the former cutoff.
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
        # A single decrease cuts off one rank at most. Ranks differ in their
        # load, so refusing the least important accepted rank may be enough.
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
        # If no new overload occurs, the cutoff can exceed the value at which
        # the last overload began. The bound of the fast increase then rises as
        # well.
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
