"""Counts of recent events by key, in bounded memory."""

import math
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT')


class DecayingCounts(Generic[KeyT]):
    """Counts events by key; the weight of an event decays with its age.

    If events occur at a constant rate, the count of their key approaches the
    rate times the time constant.

    Parameters
    ----------
    time_constant : float
        Seconds after which the weight of an event has fallen to 1/e.
    max_keys : int
        Most keys that are stored. The key with the lowest count is removed
        when there would be more.

    Examples
    --------
    >>> counts = DecayingCounts[str](1.0, max_keys=2)
    >>> for key in ('a', 'a', 'b', 'c'):
    ...     counts.record(key, now=5.0)
    >>> [round(counts.count(key, now=6.0), 2) for key in ('a', 'b', 'c')]
    [0.74, 0.0, 0.37]
    """

    def __init__(self, time_constant: float, max_keys: int) -> None:
        self.time_constant = time_constant
        self._max_keys = max_keys
        self._count_by_key: dict[KeyT, float] = {}
        self._counted_at_by_key: dict[KeyT, float] = {}

    def record(self, key: KeyT, now: float) -> None:
        """Count an event of a key at the time ``now`` in seconds."""
        count = self.count(key, now)
        if key not in self._count_by_key:
            self._make_room(now)
        self._count_by_key[key] = count + 1
        self._counted_at_by_key[key] = now

    def count(self, key: KeyT, now: float) -> float:
        """Return the weighted number of recent events of a key."""
        count = self._count_by_key.get(key)
        if count is None:
            return 0.0
        age = max(0.0, now - self._counted_at_by_key[key])
        return count * math.exp(-age / self.time_constant)

    def recent_keys(self) -> list[KeyT]:
        """Return the keys with recent events."""
        return list(self._count_by_key)

    def _make_room(self, now: float) -> None:
        if len(self._count_by_key) < self._max_keys:
            return
        lowest = min(self._count_by_key, key=lambda key: self.count(key, now))
        del self._count_by_key[lowest]
        del self._counted_at_by_key[lowest]
