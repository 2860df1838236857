"""Clock of the event loop."""

import asyncio


class LoopClock:
    """Monotonic clock that the timers of the event loop use too."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()
