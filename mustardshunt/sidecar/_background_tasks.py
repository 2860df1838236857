"""Tasks that run as long as the node does."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from mustardshunt.base import Clock
from mustardshunt.observability import EventLog

# Delay before a task that has failed is started again.
RESTART_DELAY_SECONDS: Final = 0.5


class BackgroundTasks:
    """Runs tasks, and starts each one again after an unexpected error.

    Parameters
    ----------
    log : EventLog
        Log of tasks that have failed.
    clock : Clock
        Source of the time.
    """

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task.

        Parameters
        ----------
        name : str
            Name of the task in the log.
        run : callable
            Runs until it is cancelled.
        """
        self._task_by_name[name] = asyncio.create_task(
            self._run(name, run), name=name
        )

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._task_by_name.values():
            task.cancel()

    async def _run(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await run()
            except Exception as error:
                self._log.record(
                    'duty-failed',
                    self._clock.now(),
                    duty=name,
                    error=repr(error),
                )
            await asyncio.sleep(RESTART_DELAY_SECONDS)
