"""Event loop that wakes up less often on a busy node."""

import asyncio
import selectors
import time
from collections.abc import Callable
from typing import Final

# Turns of the loop that may follow each other without a look for new events.
# A request takes two or three turns on its way through a node.
MAX_SKIPPED: Final = 4
# From this rate on, events are gathered before they are handled, which saves
# processor time for fewer wake-ups. A call has two
# events at each of its two nodes: the rate is above that of an ordinary node
# of a deployment of the design size (128 calls/s) and below a busy one's.
BUSY_EVENTS_PER_SECOND: Final = 800.0
# How long events are gathered. A call waits for half of it at each of its
# four events; the shortest latency targets are 100 ms.
GATHER_SECONDS: Final = 0.002
# Time over which the rate of events is measured.
MEASURE_SECONDS: Final = 0.1


class BatchingSelector(selectors.EpollSelector):
    """Selector that asks the kernel for events less often.

    The event loop asks for events, without waiting, in each turn in which
    callbacks are ready. A task that is woken by an event needs one more turn,
    so half of the system calls for events would return nothing. On a busy
    node the selector also sleeps for a moment before it waits for events, so
    that one wake-up serves several of them.

    Parameters
    ----------
    clock : callable
        Returns seconds that never go back.
    pause : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._pause = pause
        self._skipped = 0
        self._events = 0
        self._measured_at = clock()
        self._is_busy = False

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return events, none when callbacks are to run first."""
        has_callbacks = timeout is not None and timeout <= 0
        if has_callbacks and self._skipped < MAX_SKIPPED:
            self._skipped += 1
            return []
        self._skipped = 0
        if self._is_busy and not has_callbacks:
            timeout = self._gather(timeout)
        events = super().select(timeout)
        self._events += len(events)
        self._measure()
        return events

    def _gather(self, timeout: float | None) -> float | None:
        if timeout is None:
            self._pause(GATHER_SECONDS)
            return None
        pause = min(GATHER_SECONDS, timeout)
        self._pause(pause)
        return timeout - pause

    def _measure(self) -> None:
        now = self._clock()
        passed = now - self._measured_at
        if passed < MEASURE_SECONDS:
            return
        self._is_busy = self._events > BUSY_EVENTS_PER_SECOND * passed
        self._events = 0
        self._measured_at = now


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Make the event loop of a node."""
    return asyncio.SelectorEventLoop(BatchingSelector())
