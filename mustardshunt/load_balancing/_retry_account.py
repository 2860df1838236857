"""Account of the retries of one node to one service."""

from itertools import accumulate, repeat
from typing import Final

# Weights of the requests in the window, in the one before, and in the one half
# a window before. Their sum must not exceed 1. The first alone would take the
# budget away when fewer requests are admitted, the second alone would give none
# in the first window after a start.
CURRENT_WEIGHT: Final = 0.1
FORMER_WEIGHT: Final = 0.8
OVERLAPPING_WEIGHT: Final = 0.1
# Events are counted in this many bins for each window. A window that begins
# inside a bin is charged the retries of the whole bin and credited with no
# request of it, which costs a twentieth of the budget.
BINS: Final = 40
_HALF: Final = BINS // 2
_HISTORY: Final = 2 * BINS
# Bins for which unused tokens are kept as a burst. Without this limit, the
# retries of a whole window could go to the requests of its first second.
BURST_BINS: Final = 4
# The last of the headroom is spent at a rate at which it would last for this
# many bins, so that it does not end all at once.
LAST_BINS: Final = 16
# The burst fills faster than the rate by this factor, since the retries of call
# chains come unevenly.
REFILL_FACTOR: Final = 1.5
# Least burst, for nodes with few requests: what four runs of four calls need
# when 55 of 100 attempts are rejected.
MIN_BURST: Final = 20.0
# Seconds over which the share of repeated runs is measured.
SHARE_SECONDS: Final = 2.0


class RepeatShare:
    """Share of the runs of the last seconds that were repeats."""

    def __init__(self) -> None:
        self._runs = 0.0
        self._repeats = 0.0
        self._updated_at = 0.0

    def record(self, is_repeat: bool, now: float) -> None:
        """Count a run."""
        self._fade(now)
        self._runs += 1.0
        self._repeats += is_repeat

    def share(self, now: float) -> float:
        """Return the share of repeats, 0 without runs."""
        if not self._repeats:
            return 0.0
        self._fade(now)
        return self._repeats / self._runs if self._runs else 0.0

    def _fade(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        kept = max(0.0, 1.0 - elapsed / SHARE_SECONDS)
        self._runs *= kept
        self._repeats *= kept


class RetryAccount:
    """Requests and retries of the last two windows, by bins.

    A clock that jumps back leaves the events in the newest bin; one that jumps
    ahead empties the bins that it passes.

    Parameters
    ----------
    ratio : float
        Retries for each request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._newest = 0
        self._requests = list(repeat(0, _HISTORY))
        self._retries = list(repeat(0, _HISTORY))
        self._headroom = 0.0
        self._burst = MIN_BURST
        self._rate = 0.0
        self._inherited = 0.0

    def set_ratio(self, ratio: float) -> None:
        """Use another ratio, also for the requests already counted."""
        self._ratio = ratio
        self._measure()

    def earn(self, number: int) -> None:
        """Count a request in a bin."""
        self._advance(number)
        self._requests[-1] += 1

    def charge(self, number: int) -> None:
        """Count a retry in a bin, also if no token is left."""
        self._advance(number)
        self._retries[-1] += 1
        self._headroom -= 1.0
        self._burst -= 1.0

    def has_token(self, number: int) -> bool:
        """Tell whether a retry is allowed."""
        self._advance(number)
        return self._headroom >= 1 and self._burst >= 1

    def left(self, number: int) -> float:
        """Return the retries that are allowed at once."""
        self._advance(number)
        return max(0.0, min(self._headroom, self._burst))

    def rate(self, number: int) -> float:
        """Return the retries for each bin at which the account is spent."""
        self._advance(number)
        return self._rate

    def is_repeated(self, share: float) -> bool:
        """Tell whether the next child call counts as made by a repeat."""
        self._inherited += share
        if self._inherited < 1:
            return False
        self._inherited -= 1.0
        return True

    def _advance(self, number: int) -> None:
        passed = number - self._newest
        if passed <= 0:
            return
        self._newest = number
        self._burst += REFILL_FACTOR * self._rate * min(passed, BURST_BINS)
        cleared = list(repeat(0, min(passed, _HISTORY)))
        self._requests = (self._requests + cleared)[-_HISTORY:]
        self._retries = (self._retries + cleared)[-_HISTORY:]
        self._measure()

    def _measure(self) -> None:
        """Compute the retries that all windows from now on leave room for.

        Requests that come later in this bin are counted from the next bin on.
        """
        requests = [0, *accumulate(self._requests)]
        retries = [0, *accumulate(self._retries)]
        headroom = float('inf')
        sustained = 0.0
        for ahead in range(BINS + 1):
            current = (
                _counted(requests, BINS - 1 - ahead, 0) if ahead < BINS else 0
            )
            former = _counted(requests, 2 * BINS - 1 - ahead, BINS + 1 - ahead)
            overlapping = _counted(
                requests, BINS + _HALF - 1 - ahead, max(0, _HALF + 1 - ahead)
            )
            allowed = self._ratio * (
                CURRENT_WEIGHT * current
                + FORMER_WEIGHT * former
                + OVERLAPPING_WEIGHT * overlapping
            )
            if not ahead:
                sustained = allowed / BINS
            spent = retries[-1] - retries[_HISTORY - 1 - (BINS - ahead)]
            headroom = min(headroom, allowed - spent)
        self._headroom = headroom
        self._rate = min(sustained, max(0.0, headroom) / LAST_BINS)
        self._burst = min(self._burst, max(MIN_BURST, self._rate * BURST_BINS))


def _counted(sums: list[int], first: int, last: int) -> int:
    """Return the events in the bins of the ages from first to last.

    The newest bin has the age 0; ``sums`` are the running sums from the oldest
    bin on.
    """
    newest = sums[max(0, _HISTORY - max(0, last))]
    return newest - sums[max(0, _HISTORY - 1 - first)]
