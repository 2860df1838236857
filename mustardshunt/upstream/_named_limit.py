"""Limit of requests a second that a backend server names in its answers."""

from typing import Final

from mustardshunt.upstream._events import ServerRun
from mustardshunt.upstream._recent_starts import RecentStarts

# Calls that may start at once after a pause, in seconds of the limit; at least
# one call may.
BURST_SECONDS: Final = 0.25
# A backend server that names a new limit has had more calls in the second
# before. In this time it gets so few that both together stay within
# FIRST_WINDOW_RATIO times the limit.
SETTLE_SECONDS: Final = 3.0
FIRST_WINDOW_RATIO: Final = 1.25
# Lowest rate in calls a second at which calls start. Without calls there are no
# answers, and the end of a limit of 0 would not be found.
MIN_RATE: Final = 0.25


class NamedLimit:
    """Limit that the current run of a backend server names.

    All calls to a backend server pass the node beside it, so calls of all nodes
    together keep to the limit when they do so here. The limit holds as long as
    the answers of the run name it. It ends with an answer to a call that was
    sent after the last answer that named it: an answer to an earlier call may
    have been made before. Another run inherits nothing.

    Parameters
    ----------
    recent_starts : RecentStarts
        Calls that started within the last second.

    Examples
    --------
    >>> limit = NamedLimit(RecentStarts())
    >>> run = ServerRun('i-1', 100)
    >>> limit.set_run(run)
    >>> limit.record_named(run, 20.0, now=5.0)
    True
    >>> limit.record_unnamed(run, sent_at=4.9), limit.rate
    (False, 20.0)
    >>> limit.record_unnamed(run, sent_at=5.1), limit.rate
    (True, None)
    """

    def __init__(self, recent_starts: RecentStarts) -> None:
        self.rate: float | None = None
        self._recent_starts = recent_starts
        self._run: ServerRun | None = None
        self._has_answered = False
        self._named_at = 0.0
        self._tokens = 0.0
        self._updated_at = 0.0

    def set_run(self, run: ServerRun) -> None:
        """Set the current run; another run has named no limit yet."""
        if run == self._run:
            return
        self._run = run
        self._has_answered = False
        self.rate = None

    def record_named(
        self, run: ServerRun | None, rate: float, now: float
    ) -> bool:
        """Record an answer that names the limit; tell if the limit changed.

        Parameters
        ----------
        run : ServerRun or None
            Run that has answered; any run but the current one is ignored.
        rate : float
            Requests a second that the run takes from all nodes together.
        now : float
            Time in seconds.
        """
        if run is None or run != self._run:
            return False
        self._has_answered = True
        return self._set_rate(rate, now)

    def record_unnamed(self, run: ServerRun | None, sent_at: float) -> bool:
        """Record an answer that names no limit; tell if the limit ended.

        Parameters
        ----------
        run : ServerRun or None
            Run that has answered.
        sent_at : float
            Time in seconds at which the answered call was sent.
        """
        if run is None or run != self._run or sent_at <= self._named_at:
            return False
        self._has_answered = True
        was_limited = self.rate is not None
        self.rate = None
        return was_limited

    def adopt(self, run: ServerRun, rate: float, now: float) -> bool:
        """Use a limit that a caller has seen before this node was restarted.

        Parameters
        ----------
        run : ServerRun
            Run that named the limit.
        rate : float
            The limit in requests a second.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the limit changed. False also if the run has answered a call
            since the start of this node: its answers count, not the report.
        """
        if run != self._run or self._has_answered:
            return False
        if self.rate is not None and self.rate <= rate:
            return False
        return self._set_rate(rate, now)

    def may_start(self, now: float) -> bool:
        """Return whether the limit allows a call to start now."""
        return self.rate is None or self._refill(now) >= 1

    def record_start(self, now: float) -> None:
        """Count a call that starts at the time ``now`` in seconds."""
        if self.rate is not None:
            self._tokens = self._refill(now) - 1

    def seconds_until_start(self, calls_before: int, now: float) -> float:
        """Return the seconds after which a call can start.

        Parameters
        ----------
        calls_before : int
            Calls that start before this one.
        now : float
            Time in seconds.
        """
        if self.rate is None:
            return 0.0
        missing = calls_before + 1 - self._refill(now)
        return max(0.0, missing / max(self.rate, MIN_RATE))

    def utilisation(self, now: float) -> float:
        """Return the used part of the limit: 0 without limit, 1 when used up.

        While a call would have to wait, the limit counts as used up.
        """
        if self.rate is None:
            return 0.0
        used = self._recent_starts.rate(now) / max(self.rate, MIN_RATE)
        return used if self._refill(now) >= 1 else max(1.0, used)

    def _set_rate(self, rate: float, now: float) -> bool:
        self._named_at = now
        former_rate = self.rate
        if rate == former_rate:
            return False
        tokens = 0.0 if former_rate is None else self._refill(now)
        self.rate = rate
        self._updated_at = now
        excess = self._excess(now)
        if excess:
            tokens = min(tokens, -excess)
        self._tokens = tokens
        return True

    def _excess(self, now: float) -> float:
        rate = max(self.rate or 0.0, MIN_RATE)
        allowed = FIRST_WINDOW_RATIO * (SETTLE_SECONDS + 1) * rate
        left = max(0.0, allowed - self._recent_starts.rate(now))
        return max(0.0, SETTLE_SECONDS * rate - left)

    def _refill(self, now: float) -> float:
        rate = max(self.rate or 0.0, MIN_RATE)
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        burst = max(1.0, rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + elapsed * rate)
        return self._tokens
