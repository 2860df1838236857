"""Rules for the number of calls that may be in flight."""

import math
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.admission._samples import SampleWindow, SlidingMinimum
from mustardshunt.base import check_range

# Self times vary by their own mean, so fewer samples would make the lowest
# mean of a minute fall far below the usual one.
_WINDOW_SAMPLES: Final = 20
# A window closes after this many seconds even when samples are few.
_WINDOW_SECONDS: Final = 0.5
_SMOOTHING: Final = 0.5
# Slower smoothing for the base.
_STEADY_SMOOTHING: Final = 0.1
_BASE_SECONDS: Final = 60.0
# The limit grows only when this part of it was in use. Growth by the whole
# root lets twice the knee wait inside the backend server, where importance
# does not count.
_IN_USE: Final = 0.9
# Under load alone the gradient settles near 0.85 at a limit of 40.
_PROBE_GRADIENT: Final = 0.75
# The mean of 40 samples that vary by half their mean is off by 8 %. At half
# the load a ratio near 0.5 says that load was the cause; a higher one says
# that the load is now below the knee, so the self time is the new base.
_PROBE_SAMPLES: Final = 40
_PROBE_SECONDS: Final = 2.0
_PROBE_VERDICT: Final = 0.57


class ConcurrencyLimit(Protocol):
    """Learns how many calls the backend server can run at once."""

    def limit(self) -> float:
        """Return the number of calls that may be in flight."""
        ...

    def base_self_time(self) -> float:
        """Return the usual self time without load, 0 when not known."""
        ...

    def smoothed_self_time(self) -> float:
        """Return the self time of late, 0 when not known."""
        ...

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Take the self time of an answer and the calls in flight then."""
        ...

    def record_overload(self, now: float) -> None:
        """Take a failure or a shed answer."""
        ...


class StaticLimit:
    """A limit that never changes.

    Parameters
    ----------
    limit : float
        Calls that may be in flight; infinity stands for no control.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit

    def limit(self) -> float:
        """Return the fixed limit."""
        return self._limit

    def base_self_time(self) -> float:
        """Return 0: nothing is learned."""
        return 0.0

    def smoothed_self_time(self) -> float:
        """Return 0: nothing is learned."""
        return 0.0

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Ignore an answer."""

    def record_overload(self, now: float) -> None:
        """Ignore a failure."""


class GradientLimit:
    """A limit that follows the gradient of the self time.

    Beyond the knee, fewer calls in flight make each of them quicker. When
    the self time is far above its base, a probe halves the load once and
    compares. If the self time falls by much less than half, the backend
    server itself has become slower: the base rises to the new self time and
    the limit returns to the knee that the two measurements give.

    Parameters
    ----------
    initial : float
        Limit before anything is learned.
    maximum : float
        Upper bound, usually the connections of the backend server.
    tolerance : float, default=1.5
        Ratio of self time to base up to which the limit is kept.
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
        self._smoothed = 0.0
        self._steady = 0.0
        self._lows = SlidingMinimum(_BASE_SECONDS)
        self._window = SampleWindow()
        self._probe: _Probe | None = None
        self._next_halving = -math.inf

    def limit(self) -> float:
        """Return the number of calls that may be in flight."""
        return self._limit

    def base_self_time(self) -> float:
        """Return the lowest smoothed self time of the last minute."""
        return self._lows.lowest()

    def smoothed_self_time(self) -> float:
        """Return the smoothed self time, 0 before the first window."""
        return self._smoothed

    def record_answer(
        self,
        self_time: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Add a sample; adjust the limit at the end of a window."""
        probe = self._probe
        if probe is not None and now < probe.settled_at:
            return
        window = self._window
        window.add(self_time, in_flight, now)
        if probe is not None:
            if window.is_full(_PROBE_SAMPLES, 0.0, _PROBE_SECONDS, now):
                self._advance_probe(probe, now)
            return
        enough = max(_WINDOW_SAMPLES, self._limit / 2)
        if window.is_full(enough, self._smoothed, _WINDOW_SECONDS, now):
            self._close_window(now)

    def record_overload(self, now: float) -> None:
        """Halve the limit, at most once per self time."""
        if now < self._next_halving:
            return
        self._probe = None
        self._limit = max(1.0, self._limit / 2)
        self._next_halving = now + self._smoothed

    def _close_window(self, now: float) -> None:
        mean = self._window.mean()
        peak = self._window.peak
        if self._smoothed:
            # a window of few samples counts for less
            filled = min(1.0, self._window.samples / _WINDOW_SAMPLES)
            self._smoothed += _SMOOTHING * filled * (mean - self._smoothed)
            self._steady += _STEADY_SMOOTHING * filled * (mean - self._steady)
        else:
            self._smoothed = mean
            self._steady = mean
        self._window.clear()
        # the lowest of many noisy means is too low, so both must be low
        self._lows.record(max(self._smoothed, self._steady), now)
        gradient = self._tolerance * self.base_self_time() / self._smoothed
        if gradient < _PROBE_GRADIENT:
            self._probe = _Probe()
        else:
            self._adjust(gradient, peak)

    def _adjust(self, gradient: float, peak: int) -> None:
        changed = self._limit * min(1.0, gradient)
        if peak >= _IN_USE * self._limit:
            changed += math.sqrt(self._limit) / 2
        self._limit = max(1.0, min(self._maximum, changed))

    def _advance_probe(self, probe: '_Probe', now: float) -> None:
        mean = self._window.mean()
        load = min(self._limit, self._window.peak)
        self._window.clear()
        self._smoothed = mean
        self._steady = mean
        self._probe = None
        if probe.load:
            self._judge(probe, mean, now)
            return
        if self._tolerance * self.base_self_time() >= _PROBE_GRADIENT * mean:
            return
        if load < 2:
            # with one call in flight, load cannot be the cause
            self._raise_base(mean, now)
            return
        self._probe = _Probe(load, mean, now + mean)
        self._limit = load / 2

    def _judge(self, probe: '_Probe', mean: float, now: float) -> None:
        ratio = mean / probe.mean
        if ratio <= _PROBE_VERDICT:
            self._lows.record(mean, now)
            return
        self._raise_base(mean, now)
        knee = probe.load * min(1.0, ratio * self._tolerance)
        self._limit = max(self._limit, knee)

    def _raise_base(self, mean: float, now: float) -> None:
        self._lows.clear()
        self._lows.record(mean, now)


@dataclass(frozen=True, slots=True)
class _Probe:
    """A probe under way; without load it still measures the time before."""

    load: float = 0.0
    mean: float = 0.0
    settled_at: float = -math.inf


def make_gradient_limit(
    initial: float,
    maximum: float,
    tolerance: float = 1.5,
) -> GradientLimit:
    """Make a gradient limit from checked parameters.

    Parameters
    ----------
    initial : float
        Limit before anything is learned.
    maximum : float
        Upper bound, usually the connections of the backend server.
    tolerance : float, default=1.5
        Ratio of self time to base up to which the limit is kept.

    Raises
    ------
    ParameterError
        A parameter is outside what is allowed.
    """
    check_range('initial', initial, 1)
    check_range('maximum', maximum, 1)
    check_range('tolerance', tolerance, 1, 10)
    return GradientLimit(initial, maximum, tolerance)
