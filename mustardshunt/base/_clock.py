"""Protocols of the clock and of the random number generator."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

ItemT = TypeVar('ItemT')


class Clock(Protocol):
    """Monotonic clock; the time during which the VM is suspended counts too."""

    def now(self) -> float:
        """Return the time in seconds; it never decreases."""
        ...


class RandomSource(Protocol):
    """Random number generator; ``random.Random`` implements the protocol."""

    def random(self) -> float:
        """Return a random number in [0, 1)."""
        ...

    def randrange(self, start: int, stop: int) -> int:
        """Return a random integer in [start, stop)."""
        ...

    def choice(self, seq: Sequence[ItemT]) -> ItemT:
        """Return a random item of a sequence that is not empty."""
        ...
