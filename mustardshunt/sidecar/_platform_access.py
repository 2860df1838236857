"""When this node calls the platform, and whether the platform answers."""

import asyncio
from collections.abc import Awaitable
from typing import Final, TypeVar

from mustardshunt.base import RandomSource
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._ports import (
    EraChangedError,
    HistoryLostError,
    PlatformError,
)

# Pause after the first failed request, and longest pause after repeated
# failures. The longest pause is bounded because the node must use the
# platform's store again within two seconds after the store has recovered.
FIRST_PAUSE_SECONDS: Final = 0.2
MAX_PAUSE_SECONDS: Final = 1.4
# Pause after a request that has itself taken longer than the pause.
MIN_PAUSE_SECONDS: Final = 0.05

UpdateT = TypeVar('UpdateT')


class Backoff:
    """Exponential backoff with jitter between failed requests.

    A pause is counted from the end of the pause before it. The time in which a
    request had no answer is part of it, so that a request begins soon after the
    platform answers again, also if the platform has been silent.

    Parameters
    ----------
    random : RandomSource
        Source of the jitter.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._seconds = FIRST_PAUSE_SECONDS
        self._ended_at = 0.0

    def reset(self) -> None:
        """Start again with the first pause, after an answer."""
        self._seconds = FIRST_PAUSE_SECONDS

    async def wait(self) -> None:
        """Wait before the next request; the next pause is longer."""
        loop = asyncio.get_running_loop()
        pause = self._seconds * (0.7 + 0.6 * self._random.random())
        if self._seconds > FIRST_PAUSE_SECONDS:
            pause -= loop.time() - self._ended_at
        await asyncio.sleep(max(MIN_PAUSE_SECONDS, pause))
        self._ended_at = loop.time()
        self._seconds = min(MAX_PAUSE_SECONDS, self._seconds * 2)


class RepeatedLosses:
    """Pauses between losses of history that follow each other.

    After one loss the whole table is read at once. A platform that keeps no
    history at all would otherwise be read without a pause.

    Parameters
    ----------
    backoff : Backoff
        Makes the pauses from the second loss on.
    """

    def __init__(self, backoff: Backoff) -> None:
        self._backoff = backoff
        self._is_repeated = False

    def reset(self) -> None:
        """Record that the platform had the changes since a revision."""
        self._is_repeated = False
        self._backoff.reset()

    async def wait(self) -> None:
        """Wait after a loss, unless it is the first one."""
        if self._is_repeated:
            await self._backoff.wait()
        self._is_repeated = True


class FollowGate:
    """Lets this node read the platform's changes while it is a follower."""

    def __init__(self) -> None:
        self._opened = asyncio.Event()
        self._scopes: set[asyncio.Timeout] = set()

    @property
    def is_open(self) -> bool:
        """Whether this node follows the platform's changes."""
        return self._opened.is_set()

    def open(self) -> None:
        """Start to follow the platform's changes."""
        self._opened.set()

    def close(self) -> None:
        """Stop to follow; requests that wait for changes are interrupted."""
        self._opened.clear()
        self.interrupt()

    def interrupt(self) -> None:
        """End the open requests for changes, since their answers are late."""
        for scope in self._scopes:
            scope.reschedule(asyncio.get_running_loop().time())

    def interrupt_outdated(self, error: HistoryLostError) -> None:
        """End the other open requests if they are of a former era.

        Their answers may come only when the numbers of the new era have passed
        those of the former one.
        """
        if isinstance(error, EraChangedError):
            self.interrupt()

    async def wait(self) -> None:
        """Wait until this node follows the platform's changes."""
        await self._opened.wait()

    async def run(self, request: Awaitable[UpdateT]) -> UpdateT:
        """Return the answer to a request for changes.

        Raises
        ------
        TimeoutError
            The request was interrupted.
        """
        async with asyncio.timeout(None) as scope:
            self._scopes.add(scope)
            try:
                return await request
            finally:
                self._scopes.discard(scope)


class PlatformAvailability:
    """Tracks whether the platform answers; logs losses and recoveries.

    Parameters
    ----------
    duty : str
        Name of the background task that makes the requests.
    log : EventLog
        Log of losses and recoveries of the platform.
    metrics : SidecarMetrics
        Counts failed requests.
    """

    def __init__(
        self,
        duty: str,
        log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._duty = duty
        self._log = log
        self._metrics = metrics
        self._lost_at: float | None = None

    def record_success(self) -> None:
        """Record that the platform answered; log a recovery after a loss."""
        if self._lost_at is None:
            return
        now = asyncio.get_running_loop().time()
        self._log.record(
            'platform-regained',
            now,
            duty=self._duty,
            lost_for=round(now - self._lost_at, 3),
        )
        self._lost_at = None

    def record_failure(self, error: PlatformError) -> None:
        """Count a failed request; log the loss of the platform once."""
        self._metrics.platform_errors.labels(self._duty).inc()
        if self._lost_at is not None:
            return
        self._lost_at = asyncio.get_running_loop().time()
        self._log.record(
            'platform-lost',
            self._lost_at,
            duty=self._duty,
            error=error.message,
        )
