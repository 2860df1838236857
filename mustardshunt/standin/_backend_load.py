"""Slots, service time and counters of the fake backend server."""

import asyncio
import hashlib
import random
from collections.abc import AsyncGenerator, Generator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Final

# Factor on the service time at the beginning of a cold start. The factor falls
# linearly to 1 until the cold start ends.
_COLD_FACTOR: Final = 5.0


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Parameters of a backend server's behaviour under load.

    Parameters
    ----------
    service_time : float
        Seconds that a call takes, child calls not included.
    slots : int
        Most calls that run at the same time.
    max_waiting : int
        Most calls that wait for a slot; further calls are shed with 503.
    cold_start : float
        Seconds after the process start during which calls take longer, 5
        times as long at first.
    failure_rate : float
        Fraction of calls that fail with 500 after they ran.
    """

    service_time: float
    slots: int
    max_waiting: int
    cold_start: float
    failure_rate: float


@dataclass(frozen=True, slots=True)
class LoadCounters:
    """Counters of a backend server since its process started.

    Parameters
    ----------
    runs : int
        Calls whose execution began.
    max_runs : int
        Highest number of executions of one request body; empty bodies are
        not counted.
    active : int
        Calls that run or wait for a slot now.
    peak_running : int
        Most calls that ran at the same time.
    shed : int
        Calls refused because too many calls waited for a slot.
    expired : int
        Calls whose deadline passed before they ran.
    failed : int
        Calls that ran and then failed at random, see ``failure_rate``.
    """

    runs: int
    max_runs: int
    active: int
    peak_running: int
    shed: int
    expired: int
    failed: int


class ShedError(Exception):
    """The call is refused because too many calls wait for a slot."""


class ExpiredError(Exception):
    """The deadline of the call passed before the call ran."""


class BackendLoad:
    """Runs a limited number of calls at the same time and counts them.

    Parameters
    ----------
    model : LoadModel
        Service time, slots and failures.
    random_source : random.Random
        Draws which calls fail.
    """

    def __init__(
        self,
        model: LoadModel,
        random_source: random.Random,
    ) -> None:
        self.model = model
        self._random = random_source
        self._slots = asyncio.Semaphore(model.slots)
        self._idle = asyncio.Event()
        self._idle.set()
        self._started_at = asyncio.get_running_loop().time()
        self._cold_since = self._started_at
        self._runs_by_digest: dict[str, int] = {}
        self._count_by_name = {'shed': 0, 'expired': 0, 'failed': 0}
        self._active = 0
        self._running = 0
        self._peak_running = 0

    @property
    def is_cold(self) -> bool:
        """Whether the cold start after the process start still lasts.

        Cold starts that `turn_cold` begins are left out, because the health
        endpoints of real servers do not show such cold starts either.
        """
        age = asyncio.get_running_loop().time() - self._started_at
        return age < self.model.cold_start

    def turn_cold(self) -> None:
        """Begin a cold start now, which heartbeats to the node do not show."""
        self._cold_since = asyncio.get_running_loop().time()

    def counters(self) -> LoadCounters:
        """Return the current values of the counters."""
        empty = _digest(b'')
        return LoadCounters(
            runs=sum(self._runs_by_digest.values()),
            max_runs=max(
                (
                    runs
                    for digest, runs in self._runs_by_digest.items()
                    if digest != empty
                ),
                default=0,
            ),
            active=self._active,
            peak_running=self._peak_running,
            **self._count_by_name,
        )

    def runs_by_digest(self) -> Mapping[str, int]:
        """Return how often each request body has run, by its SHA-256 digest."""
        return dict(self._runs_by_digest)

    async def wait_idle(self) -> None:
        """Wait until no call runs and no call waits for a slot."""
        await self._idle.wait()

    @asynccontextmanager
    async def slot(self, deadline: float) -> AsyncGenerator[None, None]:
        """Wait for a slot and hold it while the context is open.

        Parameters
        ----------
        deadline : float
            Time of the event loop, in seconds, after which the call is not
            run.

        Raises
        ------
        ShedError
            Too many calls wait for a slot.
        ExpiredError
            The deadline passed while the call waited.
        """
        if self._active >= self.model.slots + self.model.max_waiting:
            self._count_by_name['shed'] += 1
            raise ShedError
        self._enter()
        try:
            async with self._slots:
                self._check_deadline(deadline)
                with self._count_as_running():
                    yield
        finally:
            self._leave()

    async def execute(self, body: bytes) -> int:
        """Run a call and return how often its request body has run so far.

        The call takes the service time. The caller must hold a slot.
        """
        digest = _digest(body)
        runs = self._runs_by_digest.get(digest, 0) + 1
        self._runs_by_digest[digest] = runs
        factor = 1.0
        if self.model.cold_start > 0:
            remaining_fraction = (
                self._remaining_cold_seconds() / self.model.cold_start
            )
            factor += (_COLD_FACTOR - 1.0) * remaining_fraction
        await asyncio.sleep(self.model.service_time * factor)
        return runs

    def draw_failure(self) -> bool:
        """Draw at random whether the call that has just run fails."""
        fails = self._random.random() < self.model.failure_rate
        self._count_by_name['failed'] += int(fails)
        return fails

    def _enter(self) -> None:
        self._active += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._active -= 1
        if not self._active:
            self._idle.set()

    @contextmanager
    def _count_as_running(self) -> Generator[None, None, None]:
        self._running += 1
        self._peak_running = max(self._peak_running, self._running)
        try:
            yield
        finally:
            self._running -= 1

    def _check_deadline(self, deadline: float) -> None:
        if asyncio.get_running_loop().time() > deadline:
            self._count_by_name['expired'] += 1
            raise ExpiredError

    def _remaining_cold_seconds(self) -> float:
        age = asyncio.get_running_loop().time() - self._cold_since
        return max(0.0, self.model.cold_start - age)


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
