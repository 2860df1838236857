"""Cutoff for the call chains that need a service which rejects calls."""

from dataclasses import dataclass
from typing import Final

# Target for the share of the calls that fail for want of a retry. A chain of
# eight calls fails with eight times this share.
TARGET_SHARE: Final = 0.01
# Seconds of a measurement: the shorter time if calls fail.
MIN_SECONDS: Final = 0.1
MAX_SECONDS: Final = 0.4
# Least number of calls that show a shortage in less than MAX_SECONDS.
MIN_CALLS: Final = 12
# Longest time between two adjustments. After a longer one, the clock has jumped
# or the process has been frozen.
MAX_GAP_SECONDS: Final = 2.0
# Pause after the cutoff was lowered. Chains that were admitted before make
# their calls for about this long; their failures say nothing about the cutoff.
SETTLE_SECONDS: Final = 0.8
# Share of the allowed retries that the admitted calls should need. The rest is
# for the variation between one second and the next.
USED_SHARE: Final = 0.6
# Weight of a new measurement in the usual rate.
USUAL_WEIGHT: Final = 0.2
# Weight of the former measurements in the required retries.
KEPT_WEIGHT: Final = 0.8
# Bounds of one step of the correction, and of the correction. The part of its
# logarithm that a step keeps makes the corrections of several nodes converge:
# each sees only the sum of what all have admitted.
MIN_FACTOR: Final = 0.8
MAX_FACTOR: Final = 1.1
MIN_CORRECTION: Final = 0.05
MAX_CORRECTION: Final = 2.0
CORRECTION_KEPT: Final = 0.95
# Increase once the service rejects no more than CALM_SHARE of the calls; it
# doubles with each further such measurement.
FAST_INCREMENT: Final = 0.3
CALM_SHARE: Final = 0.05
# Fewer calls may all have been accepted by chance. With 6, one measurement in
# 120 is wrong where 55 of 100 calls are rejected, and too much is admitted.
MIN_CALM_CALLS: Final = 8
# Increase after each measurement with few calls and no rejection, so that more
# calls show whether the service still rejects them.
IDLE_INCREMENT: Final = 0.02
# Calls of a run for which retries must be left when it begins. Otherwise it
# fails halfway, at a node that has used more of its retries than others.
CALLS_OF_RUN: Final = 4
# Share of that which is kept for each run that has begun.
RUNNING_SHARE: Final = 0.1
# Lowest cutoff. The calls of the requests that are still admitted show when the
# service accepts calls again.
MIN_CUTOFF: Final = 0.03


@dataclass(frozen=True, slots=True)
class ChainCutoffChange:
    """A change of the cutoff, and the measurements that caused it.

    Parameters
    ----------
    cutoff : float
        Cutoff after the change.
    ended : int
        Calls that ended since the measurement began.
    failed : int
        Calls of these that failed for want of a retry.
    rejected : int
        Attempts of these calls that were rejected.
    """

    cutoff: float
    ended: int
    failed: int
    rejected: int


class ChainCutoff:
    """Bound on the priority ranks whose call chains have enough retries.

    A service rejects calls, and the retries that are allowed are too few for
    all of them. A request that makes several calls then fails with one of them,
    and what was done for it is lost. With fewer requests, the same retries are
    enough to complete those that are admitted.

    Examples
    --------
    >>> cutoff = ChainCutoff(3.0)
    >>> cutoff.adjust(0.9, retry_rate=10.0)
    >>> for number in range(40):
    ...     cutoff.record_call(rejections=1, has_failed=number % 2 == 0)
    >>> change = cutoff.adjust(1.01, retry_rate=10.0)
    >>> change.failed, change.cutoff < 3.0
    (20, True)
    """

    def __init__(self, maximum: float) -> None:
        self.value = maximum
        self._maximum = maximum
        self._correction = 1.0
        self._calm_step = 0.0
        # Calls per second in calm, and retries that a call needs until it is
        # accepted; both are smoothed.
        self._usual_rate = 0.0
        self._required_retries = 0.0
        self._all_rejected = 0.0
        self._all_accepted = 0.0
        self._measurement_start = 0.0
        self._ended = 0
        self._failed = 0
        self._rejected = 0
        self._refused_runs = 0

    @property
    def is_lowered(self) -> bool:
        """Whether some requests are refused."""
        return self.value < self._maximum

    def set_maximum(self, maximum: float) -> None:
        """Set the number of ranks; another number resets the cutoff."""
        if maximum != self._maximum:
            self._maximum = maximum
            self.value = maximum

    def record_call(self, rejections: int, has_failed: bool) -> None:
        """Count a call that has ended.

        Parameters
        ----------
        rejections : int
            Attempts of the call that the service has rejected.
        has_failed : bool
            Whether the call failed for want of a retry.
        """
        self._ended += 1
        self._rejected += rejections
        self._failed += has_failed

    def lacks_retries(
        self, priority_rank: int, running: int, tokens: float
    ) -> bool:
        """Tell whether a run is refused, as too few retries are left.

        More important runs may begin with fewer tokens.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the run, 0 is the most important.
        running : int
            Runs that have begun and make calls.
        tokens : float
            Retries that are allowed now.
        """
        if not self.is_lowered:
            return False
        runs = 1 + priority_rank + RUNNING_SHARE * running
        if tokens >= CALLS_OF_RUN * self._required_retries * runs:
            return False
        self._refused_runs += 1
        return True

    def adjust(self, now: float, retry_rate: float) -> ChainCutoffChange | None:
        """Adapt the cutoff to the retries that the admitted calls need.

        The method must be called every 0.1 s.

        Parameters
        ----------
        now : float
            Time in seconds.
        retry_rate : float
            Retries per second that are allowed.

        Returns
        -------
        ChainCutoffChange or None
            The change if the cutoff was lowered for the first time, or if it
            has reached its maximum again.
        """
        measured = now - self._measurement_start
        if not -SETTLE_SECONDS <= measured <= MAX_GAP_SECONDS:
            # The first call, or the clock has jumped.
            self._start_measurement(now)
            return None
        if measured < 0:
            self._reset_counts()
            return None
        if not self.is_lowered:
            return self._watch(now, measured, retry_rate)
        if self._is_calm():
            self._calm_step = max(FAST_INCREMENT, 2 * self._calm_step)
            return self._raise(now, self._calm_step)
        has_shortage = self._failed or self._refused_runs
        needed = MIN_SECONDS if has_shortage else MAX_SECONDS
        if measured < needed:
            return None
        self._calm_step = 0.0
        if not self._rejected and not has_shortage:
            return self._raise(now, IDLE_INCREMENT)
        self._correct(retry_rate * measured)
        self._set_value(retry_rate)
        self._start_measurement(now)
        return None

    def _watch(
        self, now: float, measured: float, retry_rate: float
    ) -> ChainCutoffChange | None:
        """Lower the cutoff if calls fail, measure the usual rate if not."""
        if self._failed <= TARGET_SHARE * self._ended:
            if measured >= MAX_SECONDS:
                rate = self._ended / measured
                weight = USUAL_WEIGHT if self._usual_rate else 1.0
                self._usual_rate += weight * (rate - self._usual_rate)
                self._start_measurement(now)
            return None
        needed = MIN_SECONDS if self._ended >= MIN_CALLS else MAX_SECONDS
        if measured < needed:
            return None
        self._correction = 1.0
        # A node that was restarted knows no usual rate.
        self._usual_rate = max(self._usual_rate, self._ended / measured)
        self._all_rejected = 0.0
        self._all_accepted = 0.0
        self._update_required_retries()
        self._set_value(retry_rate)
        change = self._make_change()
        self._start_measurement(now + SETTLE_SECONDS)
        return change if self.is_lowered else None

    def _is_calm(self) -> bool:
        has_shortage = self._failed or self._refused_runs
        if has_shortage or self._ended < MIN_CALM_CALLS:
            return False
        return self._rejected <= CALM_SHARE * self._ended

    def _update_required_retries(self) -> None:
        """Measure the retries that a call needs until it is accepted.

        They follow from the share of the attempts that are rejected. Calls that
        failed have not made all of theirs.
        """
        self._all_rejected = KEPT_WEIGHT * self._all_rejected + self._rejected
        accepted = self._ended - self._failed
        self._all_accepted = KEPT_WEIGHT * self._all_accepted + accepted
        self._required_retries = self._all_rejected / max(
            1.0, self._all_accepted
        )

    def _correct(self, allowed_retries: float) -> None:
        """Adapt the correction to the measured use of the retries.

        The ranks have different loads, so the load does not fall in proportion
        to the cutoff.
        """
        self._update_required_retries()
        calls = self._ended + CALLS_OF_RUN * self._refused_runs
        required = calls * self._required_retries
        factor = USED_SHARE * allowed_retries / max(required, 1.0)
        failed = self._failed + CALLS_OF_RUN * self._refused_runs
        if failed > TARGET_SHARE * calls:
            factor = min(factor, 1.0 - failed / calls)
        factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        self._correction = min(
            MAX_CORRECTION,
            max(MIN_CORRECTION, self._correction**CORRECTION_KEPT * factor),
        )

    def _set_value(self, retry_rate: float) -> None:
        required_rate = self._usual_rate * self._required_retries
        supported = USED_SHARE * retry_rate / max(required_rate, 1.0)
        self.value = min(
            self._maximum,
            max(MIN_CUTOFF, self._maximum * supported * self._correction),
        )

    def _raise(self, now: float, step: float) -> ChainCutoffChange | None:
        self.value = min(self._maximum, self.value + step)
        change = None if self.is_lowered else self._make_change()
        self._start_measurement(now)
        return change

    def _make_change(self) -> ChainCutoffChange:
        return ChainCutoffChange(
            self.value, self._ended, self._failed, self._rejected
        )

    def _start_measurement(self, start: float) -> None:
        self._measurement_start = start
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._ended = 0
        self._failed = 0
        self._rejected = 0
        self._refused_runs = 0
