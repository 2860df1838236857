"""Forecast of the time after which a refused call would find capacity."""

from typing import Final

from mustardshunt.upstream._decaying_counts import DecayingCounts
from mustardshunt.upstream._events import AdmissionRequest
from mustardshunt.upstream._queue import AdmissionQueue

# Time constant of the counts of starts and refusals.
MEASUREMENT_SECONDS: Final = 1.0
# With fewer recent starts, their rate is unknown.
MIN_STARTS: Final = 5.0
# Longest forecast, also for a rank of which no call starts.
MAX_SECONDS: Final = 5.0
# Part of the refusals of a gate that are the last one of their request. An
# entry node sends a refused request to up to three other members, so each
# member counts the refusals of nearly all requests.
LAST_REFUSAL_SHARE: Final = 0.25
# Ranks whose starts and refusals are counted.
MAX_RANKS: Final = 64


class RoomForecast:
    """Forecasts when the backend server has capacity for a rank.

    Capacity for a rank comes from starts of calls of this rank and of less
    important ones, which give way to it. It goes first to queued calls, and to
    the calls that were refused within the last second: their callers will
    return. Calls of more important ranks go before. Child calls are not
    counted: they have their own part of the starts.

    The forecast is an aggregate of counts. Nothing is reserved for a caller.

    Parameters
    ----------
    queue : AdmissionQueue
        Queue of the backend server's gate.

    Examples
    --------
    >>> from mustardshunt.upstream._ordering import RoundRobin
    >>> from mustardshunt.upstream._start_rules import StartAlways
    >>> queue = AdmissionQueue(RoundRobin(), StartAlways())
    >>> forecast = RoomForecast(queue)
    >>> forecast.retry_after(0, now=0.0)
    0.0
    >>> for _ in range(20):
    ...     forecast.record_start(1, now=0.0)
    ...     forecast.record_refusal(1, now=0.0)
    >>> forecast.retry_after(0, now=0.0), forecast.retry_after(1, now=0.0)
    (0.05, 0.3)
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._starts = DecayingCounts[int](MEASUREMENT_SECONDS, MAX_RANKS)
        self._refusals = DecayingCounts[int](MEASUREMENT_SECONDS, MAX_RANKS)

    def record_start(self, priority_rank: int, now: float) -> None:
        """Count the start of a call that is no child call."""
        self._starts.record(priority_rank, now)

    def record_refusal(self, priority_rank: int, now: float) -> None:
        """Count the refusal of a call that is no child call."""
        self._refusals.record(priority_rank, now)

    def retry_after(self, priority_rank: int, now: float) -> float:
        """Return the seconds after which a refused call may find capacity.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the call, 0 is the most important.
        now : float
            Time in seconds.

        Returns
        -------
        float
            At most ``MAX_SECONDS``; 0 if too few calls have started recently.
        """
        start_rate = self._start_rate(0, now)
        if start_rate * MEASUREMENT_SECONDS < MIN_STARTS:
            return 0.0
        seconds = 1.0 / start_rate
        for rank in range(priority_rank + 1):
            returning = LAST_REFUSAL_SHARE * self._refusals.count(rank, now)
            ahead = self._queue.count(rank) + returning
            if not ahead:
                continue
            rate = self._start_rate(rank, now)
            if rate * MAX_SECONDS < ahead:
                return MAX_SECONDS
            seconds += ahead / rate
        return min(MAX_SECONDS, seconds)

    def least_wait(self, request: AdmissionRequest, now: float) -> float:
        """Return the least time in seconds that a call would be queued.

        Only more important calls are counted: calls of the same rank may start
        later. The time is 0 for child calls, which have their own part of the
        starts, and while the rate of starts is unknown.
        """
        start_rate = self._start_rate(0, now)
        is_unknown = start_rate * MEASUREMENT_SECONDS < MIN_STARTS
        if request.is_child_call or is_unknown:
            return 0.0
        before = sum(
            self._queue.count(rank) for rank in range(request.priority_rank)
        )
        return before / start_rate

    def _start_rate(self, most_important_rank: int, now: float) -> float:
        starts = sum(
            self._starts.count(rank, now)
            for rank in self._starts.recent_keys()
            if rank >= most_important_rank
        )
        return starts / MEASUREMENT_SECONDS
