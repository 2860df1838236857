"""Event loop that makes fewer system calls and wake-ups on a busy node."""

import asyncio
import selectors
import time
from collections.abc import Callable
from typing import Final

# After this many iterations without polling for I/O events, the next iteration
# of the event loop polls. A request takes two or three iterations to pass a
# node.
MAX_SKIPPED_POLLS: Final = 4
# Above this rate of I/O events, the selector collects a batch of events before
# it returns, which saves the processor time of wake-ups. Below this rate, the
# selector returns at the first event, which adds no latency. A call has two
# events at each of its two nodes. An ordinary node of a deployment of the
# design size (128 calls/s) stays below this rate; a busy node exceeds it.
BUSY_EVENTS_PER_SECOND: Final = 800.0
# Time for which a batch of events is collected. Each of the four events of a
# call is delayed by half of this time on average. The shortest latency targets
# are 100 ms.
BATCH_SECONDS: Final = 0.002
# Time over which the rate of I/O events is measured.
RATE_WINDOW_SECONDS: Final = 0.1


class BatchingSelector(selectors.EpollSelector):
    """Selector that polls the kernel for I/O events less often.

    While callbacks are ready, the event loop polls for events in each iteration
    without waiting. A task that an event wakes needs one more iteration, so
    half of these polls would return nothing. This selector skips such polls. On
    a busy node it also sleeps before it waits for events, so that one wake-up
    handles several events.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    pause : callable
        Blocks for a number of seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._pause = pause
        self._skipped_polls = 0
        self._event_count = 0
        self._window_start = clock()
        self._is_busy = False

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready events, or no events if ready callbacks run first."""
        has_callbacks = timeout is not None and timeout <= 0
        if has_callbacks and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        if self._is_busy and not has_callbacks:
            timeout = self._wait_for_batch(timeout)
        events = super().select(timeout)
        self._event_count += len(events)
        self._measure_rate()
        return events

    def _wait_for_batch(self, timeout: float | None) -> float | None:
        if timeout is None:
            self._pause(BATCH_SECONDS)
            return None
        pause = min(BATCH_SECONDS, timeout)
        self._pause(pause)
        return timeout - pause

    def _measure_rate(self) -> None:
        now = self._clock()
        elapsed = now - self._window_start
        if elapsed < RATE_WINDOW_SECONDS:
            return
        self._is_busy = self._event_count > BUSY_EVENTS_PER_SECOND * elapsed
        self._event_count = 0
        self._window_start = now


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop that polls through a ``BatchingSelector``."""
    return asyncio.SelectorEventLoop(BatchingSelector())
