"""Supervised background tasks of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from loguru import logger

from mustardshunt.observability import NodeMetrics

BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]

_RESTART_DELAY_SECONDS: Final = 1.0


class BackgroundTasks:
    """Runs background tasks, and restarts each task that ends or fails.

    Parameters
    ----------
    metrics : NodeMetrics
        Counters.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, background_task: BackgroundTask) -> None:
        """Start a background task, which is restarted until ``stop``."""
        task = asyncio.create_task(self._run(name, background_task), name=name)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str, background_task: BackgroundTask) -> None:
        while True:
            try:
                await background_task()
            except Exception:
                # A failed background task must not stop the node, because the
                # node can serve calls without the task. Operators can set an
                # alert on the counted event.
                self._metrics.count_event(f'duty-failed-{name}')
                logger.exception(
                    'background task {} failed; restarting it in {} s',
                    name,
                    _RESTART_DELAY_SECONDS,
                )
            await asyncio.sleep(_RESTART_DELAY_SECONDS)


async def run_periodically(
    seconds: float, action: Callable[[], object]
) -> None:
    """Call a function again and again, with a fixed pause between the calls.

    The calls go on until the task that runs this coroutine is cancelled.

    Parameters
    ----------
    seconds : float
        Time between the end of a call and the start of the next one.
    action : callable
        Function without parameters.
    """
    while True:
        await asyncio.sleep(seconds)
        action()
