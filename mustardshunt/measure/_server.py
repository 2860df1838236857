"""Fake backend server in virtual time."""

import math
import random
from collections import deque
from typing import Final, Protocol

from mustardshunt.admission import BackendServerState, CallFailureKind
from mustardshunt.measure._model import ServiceSpec
from mustardshunt.measure._timeline import Timeline

# Beyond the knee the self time rises a little faster than the load, so
# that throughput falls with further load.
_THRASHING: Final = 1.2
# Log-normal service times that vary by half their mean.
_SIGMA: Final = math.sqrt(math.log(1.25))
_COLD_KNEE: Final = 2.0
_WARMING_PER_CALL: Final = 0.25
_DOWN_SECONDS: Final = 1.0
# A crash shows in the heartbeats only this much later.
_HEALTH_LAG: Final = 1.0
_SHED_SECONDS: Final = 0.005


class Job(Protocol):
    """A call as the backend server sees it."""

    worked: float

    def on_accepted(self) -> None:
        """Note that the backend server has the call."""
        ...

    def on_processed(self) -> None:
        """Continue with child calls, or end."""
        ...

    def on_failed(self, kind: CallFailureKind) -> None:
        """Take a failure."""
        ...


class SimulatedServer:
    """Slots, knee, cold start, crashes, shed answers and lagging health."""

    def __init__(
        self,
        spec: ServiceSpec,
        timeline: Timeline,
        source: random.Random,
    ) -> None:
        self.spec = spec
        self.slowdown = 1.0
        self.busy_seconds = 0.0
        self._timeline = timeline
        self._source = source
        self._waiting: deque[Job] = deque()
        # a dictionary keeps its order, so that runs are repeatable
        self._running: dict[Job, None] = {}
        self._at_work: set[Job] = set()
        self._knee = float(spec.knee)
        self._down_until = -math.inf
        self._starts = 1
        self._reported_starts = 1

    def health(self) -> tuple[BackendServerState, str]:
        """Return what its heartbeat says."""
        return BackendServerState.READY, f's{self._reported_starts}'

    def turn_cold(self) -> None:
        """Become cold without a word."""
        self._knee = _COLD_KNEE

    def restart(self) -> None:
        """Become cold with a new start id, known at once."""
        self._knee = _COLD_KNEE
        self._starts += 1
        self._reported_starts = self._starts

    def accept(self, job: Job) -> None:
        """Run a call, queue it, shed it or lose it."""
        job.on_accepted()
        if self._timeline.now < self._down_until:
            self._fail_later(job, CallFailureKind.CONNECTION_LOST)
        elif len(self._running) < self.spec.slots:
            self._begin(job)
        elif len(self._waiting) < self.spec.connections - self.spec.slots:
            self._waiting.append(job)
        else:
            self._fail_later(job, CallFailureKind.SHED)
        if self._is_falling_over():
            self._crash()

    def release(self, job: Job) -> None:
        """End a call that runs or waits here."""
        if job not in self._running:
            if job in self._waiting:
                self._waiting.remove(job)
            return
        del self._running[job]
        self._at_work.discard(job)
        self._knee = min(self.spec.knee, self._knee + _WARMING_PER_CALL)
        if self._waiting and len(self._running) < self.spec.slots:
            self._begin(self._waiting.popleft())

    def _begin(self, job: Job) -> None:
        self._running[job] = None
        self._at_work.add(job)
        # only full-speed work counts, so that a stretch is not work done
        self.busy_seconds += self.spec.service_time
        job.worked += self.spec.service_time
        stretch = max(1.0, len(self._at_work) / self._knee) ** _THRASHING
        draw = self._source.lognormvariate(-_SIGMA * _SIGMA / 2, _SIGMA)
        taken = self.spec.service_time * self.slowdown * stretch * draw
        now = self._timeline.now
        self._timeline.call_at(now + taken, self._end_work, job)

    def _end_work(self, job: Job) -> None:
        if job in self._at_work:
            self._at_work.remove(job)
            job.on_processed()

    def _is_falling_over(self) -> bool:
        is_cold = self._knee < self.spec.knee
        load = len(self._running) + len(self._waiting)
        return is_cold and load > 3 * self._knee + 2

    def _crash(self) -> None:
        now = self._timeline.now
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._at_work.clear()
        self._waiting.clear()
        self._knee = _COLD_KNEE
        self._down_until = now + _DOWN_SECONDS
        self._starts += 1
        self._timeline.call_at(
            now + _DOWN_SECONDS + _HEALTH_LAG,
            self._report_start,
            self._starts,
        )
        for job in lost:
            self._fail_later(job, CallFailureKind.CONNECTION_LOST)

    def _report_start(self, starts: int) -> None:
        self._reported_starts = starts

    def _fail_later(self, job: Job, kind: CallFailureKind) -> None:
        later = self._timeline.now + _SHED_SECONDS
        self._timeline.call_at(later, job.on_failed, kind)
