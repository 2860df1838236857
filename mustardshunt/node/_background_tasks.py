"""Periodic duties of a node, one task for each."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from loguru import logger

from mustardshunt.observability import NodeMetrics

BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]

_RESTART_SECONDS: Final = 1.0


class BackgroundTasks:
    """Runs duties until the node stops.

    Parameters
    ----------
    metrics : NodeMetrics
        Counters.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, duty: BackgroundTask) -> None:
        """Run a duty in a task of its own."""
        task = asyncio.create_task(self._run(name, duty), name=name)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all duties."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str, duty: BackgroundTask) -> None:
        while True:
            try:
                await duty()
            except Exception:
                # A fault in one duty must not stop the node, since calls go
                # on without it; the counter raises an alarm.
                self._metrics.count_event(f'duty-failed-{name}')
                logger.exception('duty {} failed and is restarted', name)
            await asyncio.sleep(_RESTART_SECONDS)


async def run_periodically(
    seconds: float, action: Callable[[], object]
) -> None:
    """Call a function again and again.

    Parameters
    ----------
    seconds : float
        Time between two calls.
    action : callable
        Function without parameters.
    """
    while True:
        await asyncio.sleep(seconds)
        action()
