"""Backend server simulated in virtual time."""

import math
import random
from collections import deque
from typing import Final, Protocol

from mustardshunt.admission import BackendServerState, CallFailureKind
from mustardshunt.measure._model import ServiceSpec
from mustardshunt.measure._timeline import Timeline

# Exponent above 1: beyond the knee the self time grows faster than the load,
# so that throughput falls.
_OVERLOAD_EXPONENT: Final = 1.2
# Sigma of the log-normal self times. With this value their standard deviation
# is half their mean.
_SELF_TIME_SIGMA: Final = math.sqrt(math.log(1.25))
_COLD_KNEE: Final = 2.0
_KNEE_GAIN_PER_CALL: Final = 0.25
_RESTART_SECONDS: Final = 1.0
# Delay between the restart after a crash and the first heartbeat that shows the
# new start id.
_RESTART_REPORT_DELAY_SECONDS: Final = 1.0
_FAILURE_DELAY_SECONDS: Final = 0.005


class Job(Protocol):
    """A call that runs on a backend server."""

    worked: float

    def on_accepted(self) -> None:
        """Record that the backend server has received the call."""
        ...

    def on_processed(self) -> None:
        """Send the child call.

        A call without a child call ends as answered.
        """
        ...

    def on_failed(self, kind: CallFailureKind) -> None:
        """End the call as failed."""
        ...


class SimulatedServer:
    """Backend server that slows down under load and crashes when cold.

    Parameters
    ----------
    spec : ServiceSpec
        Slots, connections, knee and self time.
    timeline : Timeline
        Virtual time.
    rng : random.Random
        Generator of self times.
    """

    def __init__(
        self,
        spec: ServiceSpec,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.spec = spec
        self.slowdown = 1.0
        self.busy_seconds = 0.0
        self._timeline = timeline
        self._rng = rng
        self._queued: deque[Job] = deque()
        # A dictionary keeps the insertion order, so that runs are repeatable.
        self._running: dict[Job, None] = {}
        self._processing: set[Job] = set()
        self._knee = float(spec.knee)
        self._down_until = -math.inf
        self._starts = 1
        self._reported_starts = 1

    def health(self) -> tuple[BackendServerState, str]:
        """Return the state and the start id that the next heartbeat carries."""
        return BackendServerState.READY, f's{self._reported_starts}'

    def turn_cold(self) -> None:
        """Become cold without a change of the start id.

        Heartbeats therefore do not show the cold start.
        """
        self._knee = _COLD_KNEE

    def restart(self) -> None:
        """Become cold with a new start id, and report the id at once."""
        self._knee = _COLD_KNEE
        self._starts += 1
        self._reported_starts = self._starts

    def accept(self, job: Job) -> None:
        """Run, queue or shed a call.

        While the backend server is down, each call fails.
        """
        job.on_accepted()
        if self._timeline.now < self._down_until:
            self._fail_later(job, CallFailureKind.CONNECTION_LOST)
        elif len(self._running) < self.spec.slots:
            self._begin(job)
        elif len(self._queued) < self.spec.connections - self.spec.slots:
            self._queued.append(job)
        else:
            self._fail_later(job, CallFailureKind.SHED)
        if self._is_cold_overload():
            self._crash()

    def release(self, job: Job) -> None:
        """Remove a call that runs or is queued.

        If a slot is free then, the next queued call starts.
        """
        if job not in self._running:
            if job in self._queued:
                self._queued.remove(job)
            return
        del self._running[job]
        self._processing.discard(job)
        self._knee = min(self.spec.knee, self._knee + _KNEE_GAIN_PER_CALL)
        if self._queued and len(self._running) < self.spec.slots:
            self._begin(self._queued.popleft())

    def _begin(self, job: Job) -> None:
        self._running[job] = None
        self._processing.add(job)
        # Counts the self time without the slowdown by load, because the
        # slowdown does no work.
        self.busy_seconds += self.spec.service_time
        job.worked += self.spec.service_time
        load_factor = (
            max(1.0, len(self._processing) / self._knee) ** _OVERLOAD_EXPONENT
        )
        random_factor = self._rng.lognormvariate(
            -_SELF_TIME_SIGMA * _SELF_TIME_SIGMA / 2, _SELF_TIME_SIGMA
        )
        self_time = (
            self.spec.service_time * self.slowdown * load_factor * random_factor
        )
        now = self._timeline.now
        self._timeline.call_at(now + self_time, self._end_processing, job)

    def _end_processing(self, job: Job) -> None:
        if job in self._processing:
            self._processing.remove(job)
            job.on_processed()

    def _is_cold_overload(self) -> bool:
        is_cold = self._knee < self.spec.knee
        load = len(self._running) + len(self._queued)
        return is_cold and load > 3 * self._knee + 2

    def _crash(self) -> None:
        now = self._timeline.now
        lost = [*self._running, *self._queued]
        self._running.clear()
        self._processing.clear()
        self._queued.clear()
        self._knee = _COLD_KNEE
        self._down_until = now + _RESTART_SECONDS
        self._starts += 1
        self._timeline.call_at(
            now + _RESTART_SECONDS + _RESTART_REPORT_DELAY_SECONDS,
            self._report_start,
            self._starts,
        )
        for job in lost:
            self._fail_later(job, CallFailureKind.CONNECTION_LOST)

    def _report_start(self, starts: int) -> None:
        self._reported_starts = starts

    def _fail_later(self, job: Job, kind: CallFailureKind) -> None:
        failed_at = self._timeline.now + _FAILURE_DELAY_SECONDS
        self._timeline.call_at(failed_at, job.on_failed, kind)
