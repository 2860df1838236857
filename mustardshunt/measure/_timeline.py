"""Scheduler of callbacks in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timeline:
    """Runs callbacks in the order of their times.

    Examples
    --------
    >>> timeline = Timeline()
    >>> timeline.call_at(2.0, print, 'second')
    >>> timeline.call_at(1.0, print, 'first')
    >>> timeline.run(until=3.0)
    first
    second
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()

    def call_at(
        self,
        time: float,
        callback: Callable[..., None],
        *values: Any,
    ) -> None:
        """Schedule a callback at a time in seconds.

        Callbacks of the same time run in the order of scheduling.
        """
        item = (time, next(self._numbers), callback, values)
        heapq.heappush(self._heap, item)

    def run(self, until: float) -> None:
        """Run all callbacks that are due at or before a time in seconds."""
        while self._heap and self._heap[0][0] <= until:
            due, _, callback, values = heapq.heappop(self._heap)
            self.now = due
            callback(*values)
