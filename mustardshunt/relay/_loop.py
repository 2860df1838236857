"""Event loop that asks the kernel for events less often."""

import asyncio
import selectors
from typing import Final

# Turns of the loop that may follow each other without a look for new events.
# A request takes two or three turns on its way through a node.
MAX_SKIPPED: Final = 4


class SparingSelector(selectors.EpollSelector):
    """Selector that does not ask for events while callbacks are waiting.

    The event loop asks for events, without waiting, in each turn in which
    callbacks are ready. A task that is woken by an event needs one more turn,
    so half of the system calls for events would return nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

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
        return super().select(timeout)


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Make the event loop of a node."""
    return asyncio.SelectorEventLoop(SparingSelector())
