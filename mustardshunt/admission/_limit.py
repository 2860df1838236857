"""Concurrency limits: how many calls may be in flight at once."""

import math
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.admission._samples import SampleWindow, SlidingMinimum
from mustardshunt.base import check_range

# Smallest number of samples of the self time for one mean. The self time is the
# time spent in the backend server itself, without child calls. The standard
# deviation of self times is about as large as their mean. With fewer samples,
# the lowest mean of a minute would therefore be far below the usual mean.
_MIN_WINDOW_SAMPLES: Final = 20
# Longest time over which samples of the self time are collected for one mean.
# After this time, the mean is computed even from few samples.
_MAX_WINDOW_SECONDS: Final = 0.5
# Weight, from 0 to 1, of the newest mean in the smoothed self time that follows
# changes quickly.
_FAST_SMOOTHING: Final = 0.5
# Weight, from 0 to 1, of the newest mean in the smoothed self time that follows
# changes slowly. This smoothed self time is used to estimate the self time
# without load.
_SLOW_SMOOTHING: Final = 0.1
# Time window of the estimated self time without load, which is the lowest
# smoothed self time within this window.
_BASE_WINDOW_SECONDS: Final = 60.0
# Part of the concurrency limit that must have been in use before the limit
# grows; with less in use, the limit does not grow. The limit grows by half its
# square root. Growth by the whole square root would let twice as many calls as
# the knee wait inside the backend server, which does not order calls by
# importance. The knee is the number of calls in flight at which the throughput
# stops growing.
_GROWTH_UTILISATION: Final = 0.9
# A gradient below this value starts a probe, which tests whether load is the
# cause of long self times. At or above this value, the gradient adjusts the
# limit. The gradient is the tolerated ratio of the present self time to the
# self time without load, divided by the measured ratio. When load is the only
# cause, the gradient settles near 0.85 at a limit of 40 calls.
_PROBE_GRADIENT: Final = 0.75
# Samples of the self time for each of the two means that a probe compares. If
# the standard deviation is half the mean, the mean of 40 samples has a standard
# error of 8 %.
_PROBE_SAMPLES: Final = 40
_MAX_PROBE_SECONDS: Final = 2.0
# Ratio of the self time at half the load to the self time before. Up to this
# value, load counts as the cause of long self times; load alone gives a ratio
# of about 0.5. A higher ratio means that half the load is below the knee, the
# number of calls in flight at which the throughput stops growing. The self time
# at half the load is then the new self time without load.
_MAX_LOAD_RATIO: Final = 0.57


class ConcurrencyLimit(Protocol):
    """Sets how many calls may be in flight at the backend server."""

    def limit(self) -> float:
        """Return how many calls may be in flight."""
        ...

    def base_self_time(self) -> float:
        """Return the self time without load in seconds, 0 if not known.

        The self time is the time spent in the backend server itself for a call,
        without child calls.
        """
        ...

    def smoothed_self_time(self) -> float:
        """Return the recent self time in seconds, 0 if not known.

        The self time is the time spent in the backend server itself for a call,
        without child calls.
        """
        ...

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Record an answered call.

        Parameters
        ----------
        self_time : float
            Self time of the call, in seconds.
        in_flight : int
            Calls in flight when the call was answered, including the call.
        now : float
            Time, in seconds.
        """
        ...

    def record_overload(self, now: float) -> None:
        """Record that the backend server has failed or shed a call."""
        ...


class StaticLimit:
    """A limit that never changes.

    Parameters
    ----------
    limit : float
        Calls that may be in flight; infinity for no limit.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit

    def limit(self) -> float:
        """Return the fixed limit."""
        return self._limit

    def base_self_time(self) -> float:
        """Return 0: self times are not measured."""
        return 0.0

    def smoothed_self_time(self) -> float:
        """Return 0: self times are not measured."""
        return 0.0

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Ignore the answer: the limit is fixed."""

    def record_overload(self, now: float) -> None:
        """Ignore the failure: the limit is fixed."""


class GradientLimit:
    """Concurrency limit that adapts to the measured self times.

    The self time is the time spent in the backend server itself for a call,
    without child calls. The base is the self time without load. The gradient is
    the tolerated ratio of self time to base, divided by the measured ratio. A
    gradient below 1 lowers the limit.

    The knee is the number of calls in flight above which the self time grows
    with the load. When the self time is far above the base, a probe halves the
    load once and compares the self times. If the self time falls by much less
    than half, the backend server itself has become slower: the base rises to
    the new self time, and the limit is raised to the knee estimated from the
    two measurements.

    Parameters
    ----------
    initial : float
        Limit before any self time is measured, in calls.
    maximum : float
        Upper bound of the limit, usually the number of connections that the
        backend server accepts.
    tolerance : float, default=1.5
        Ratio of the self time to the self time without load up to which the
        limit is not lowered.
    """

    def __init__(
        self,
        initial: float,
        maximum: float,
        tolerance: float = 1.5,
    ) -> None:
        self._limit = min(initial, maximum)
        self._maximum = maximum
        self._tolerance = tolerance
        self._fast_smoothed = 0.0
        self._slow_smoothed = 0.0
        self._recent_minimum = SlidingMinimum(_BASE_WINDOW_SECONDS)
        self._window = SampleWindow()
        self._probe: _Probe | None = None
        self._next_halving_at = -math.inf

    def limit(self) -> float:
        """Return how many calls may be in flight."""
        return self._limit

    def base_self_time(self) -> float:
        """Return the lowest smoothed self time of the last minute, in s."""
        return self._recent_minimum.lowest()

    def smoothed_self_time(self) -> float:
        """Return the smoothed self time in seconds, 0 if not known."""
        return self._fast_smoothed

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Add a self time, and adjust the limit after enough answers.

        After a probe has halved the limit, self times are ignored for the mean
        time of a call. In this time, most of the calls that started under the
        old limit end.
        """
        probe = self._probe
        if probe is not None and now < probe.settled_at:
            return
        window = self._window
        window.add(self_time, in_flight, now)
        if probe is not None:
            if window.is_full(_PROBE_SAMPLES, 0.0, _MAX_PROBE_SECONDS, now):
                self._advance_probe(probe, now)
            return
        min_samples = max(_MIN_WINDOW_SAMPLES, self._limit / 2)
        if window.is_full(
            min_samples, self._fast_smoothed, _MAX_WINDOW_SECONDS, now
        ):
            self._close_window(now)

    def record_overload(self, now: float) -> None:
        """Halve the limit after a failure.

        Further failures within the usual self time of a call are assumed to
        have the same cause. They do not halve the limit again.
        """
        if now < self._next_halving_at:
            return
        self._probe = None
        self._limit = max(1.0, self._limit / 2)
        self._next_halving_at = now + self._fast_smoothed

    def _close_window(self, now: float) -> None:
        mean = self._window.mean()
        peak_in_flight = self._window.peak_in_flight
        if self._fast_smoothed:
            # A mean of fewer samples than usual is less reliable and gets a
            # lower weight.
            fill_ratio = min(1.0, self._window.samples / _MIN_WINDOW_SAMPLES)
            self._fast_smoothed += (
                _FAST_SMOOTHING * fill_ratio * (mean - self._fast_smoothed)
            )
            self._slow_smoothed += (
                _SLOW_SMOOTHING * fill_ratio * (mean - self._slow_smoothed)
            )
        else:
            self._fast_smoothed = mean
            self._slow_smoothed = mean
        self._window.clear()
        # The lowest of many noisy means is below the true self time without
        # load. The slowly smoothed mean is less noisy. The higher of the two
        # smoothed means is recorded, so the estimate falls only when both have
        # fallen.
        self._recent_minimum.record(
            max(self._fast_smoothed, self._slow_smoothed), now
        )
        gradient = self._tolerance * self.base_self_time() / self._fast_smoothed
        if gradient < _PROBE_GRADIENT:
            self._probe = _Probe()
        else:
            self._adjust(gradient, peak_in_flight)

    def _adjust(self, gradient: float, peak_in_flight: int) -> None:
        new_limit = self._limit * min(1.0, gradient)
        if peak_in_flight >= _GROWTH_UTILISATION * self._limit:
            new_limit += math.sqrt(self._limit) / 2
        self._limit = max(1.0, min(self._maximum, new_limit))

    def _advance_probe(self, probe: '_Probe', now: float) -> None:
        mean = self._window.mean()
        in_flight = min(self._limit, self._window.peak_in_flight)
        self._window.clear()
        self._fast_smoothed = mean
        self._slow_smoothed = mean
        self._probe = None
        if probe.in_flight:
            self._finish_probe(probe, mean, now)
            return
        if self._tolerance * self.base_self_time() >= _PROBE_GRADIENT * mean:
            return
        if in_flight < 2:
            # With a single call in flight, load cannot be the cause of a long
            # self time. The backend server itself is slower.
            self._raise_base(mean, now)
            return
        self._probe = _Probe(in_flight, mean, now + mean)
        self._limit = in_flight / 2

    def _finish_probe(self, probe: '_Probe', mean: float, now: float) -> None:
        ratio = mean / probe.mean
        if ratio <= _MAX_LOAD_RATIO:
            self._recent_minimum.record(mean, now)
            return
        self._raise_base(mean, now)
        knee = probe.in_flight * min(1.0, ratio * self._tolerance)
        self._limit = max(self._limit, knee)

    def _raise_base(self, mean: float, now: float) -> None:
        self._recent_minimum.clear()
        self._recent_minimum.record(mean, now)


@dataclass(frozen=True, slots=True)
class _Probe:
    """A test of whether load is the cause of long self times.

    The probe measures the mean self time, halves the concurrency limit and
    measures again. ``in_flight`` is 0 during the first measurement.

    Parameters
    ----------
    in_flight : float, default=0.0
        Calls in flight before the limit was halved; 0 until then.
    mean : float, default=0.0
        Mean self time before the limit was halved, in seconds.
    settled_at : float, default=-inf
        Time from which self times are measured again after the limit was
        halved, in seconds.
    """

    in_flight: float = 0.0
    mean: float = 0.0
    settled_at: float = -math.inf


def make_gradient_limit(
    initial: float,
    maximum: float,
    tolerance: float = 1.5,
) -> GradientLimit:
    """Check the parameters and make a gradient limit.

    Parameters
    ----------
    initial : float
        Limit before any self time is measured, in calls.
    maximum : float
        Upper bound of the limit, usually the number of connections that the
        backend server accepts.
    tolerance : float, default=1.5
        Ratio of the self time to the self time without load up to which the
        limit is not lowered.

    Raises
    ------
    ParameterError
        A parameter is outside its allowed range.
    """
    check_range('initial', initial, 1)
    check_range('maximum', maximum, 1)
    check_range('tolerance', tolerance, 1, 10)
    return GradientLimit(initial, maximum, tolerance)
