"""Cap on the calls in flight at a backend server after a cold start."""

import math
from typing import Final, Protocol

# Calls that may be in flight at the start of a ramp: about as many as a cold
# backend server can run at the same time.
_INITIAL_CAP: Final = 2.0
# Shortest time in which the cap may double, however quick the answers are.
_DOUBLING_SECONDS: Final = 1.0


class RampRule(Protocol):
    """Caps the calls in flight at a cold backend server."""

    def cap(self) -> float:
        """Return how many calls may be in flight; infinity outside a ramp."""
        ...

    def restart(self, now: float) -> None:
        """Begin a ramp, because the backend server is cold."""
        ...

    def record_answer(self, limit: float, now: float) -> None:
        """Record that a call was answered before its deadline.

        The ramp ends when the cap exceeds ``limit``, the present concurrency
        limit.
        """
        ...

    def record_failure(self) -> None:
        """Record that a call has failed."""
        ...


class NoRamp:
    """Ramp rule without a cap; a baseline to compare other rules with."""

    def cap(self) -> float:
        """Return infinity: the load is never capped."""
        return math.inf

    def restart(self, now: float) -> None:
        """Ignore the cold start: the load is never capped."""

    def record_answer(self, limit: float, now: float) -> None:
        """Ignore the answer: the load is never capped."""

    def record_failure(self) -> None:
        """Ignore the failure: the load is never capped."""


class ColdRamp:
    """Cap on the calls in flight at a cold backend server.

    The cap starts at 2 calls and rises by one for each call answered in time.
    The cap at most doubles each second: quick answers must not raise the cap
    before the backend server has warmed up. Each failure halves the cap.
    """

    def __init__(self) -> None:
        self._cap = math.inf
        self._period_max_cap = math.inf
        self._period_end = -math.inf

    def cap(self) -> float:
        """Return the cap, infinity when no ramp is in progress."""
        return self._cap

    def restart(self, now: float) -> None:
        """Begin a ramp at a cap of 2 calls."""
        self._cap = _INITIAL_CAP
        self._begin_period(now)

    def record_answer(self, limit: float, now: float) -> None:
        """Raise the cap by one, for a call that was answered in time.

        Within one second, the cap at most doubles. When the cap exceeds the
        concurrency limit ``limit``, the ramp ends and the cap no longer
        applies.
        """
        if self._cap == math.inf:
            return
        if now >= self._period_end:
            self._begin_period(now)
        self._cap = min(self._cap + 1, self._period_max_cap)
        if self._cap > limit:
            self._cap = math.inf

    def record_failure(self) -> None:
        """Halve the cap, but not below 2 calls."""
        if self._cap == math.inf:
            return
        self._cap = max(_INITIAL_CAP, self._cap / 2)
        self._period_max_cap = 2 * self._cap

    def _begin_period(self, now: float) -> None:
        self._period_max_cap = 2 * self._cap
        self._period_end = now + _DOUBLING_SECONDS
