"""Order in which organisations are served within a priority rank."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, Protocol

from mustardshunt.upstream._decaying_counts import DecayingCounts

# Time constant of the count of an organisation's starts. Over a longer time, an
# organisation whose burst has ended would be served last for seconds.
SERVED_SECONDS: Final = 3.0
# Organisations whose starts are counted; about twice those of a large policy.
MAX_ORGANISATIONS: Final = 2048


class QueueOrdering(Protocol):
    """Chooses among the organisations that wait within a priority rank."""

    def choose(self, organisations: Iterable[str], now: float) -> str:
        """Return the organisation whose call starts next.

        Parameters
        ----------
        organisations : iterable of str
            Organisations with calls in the queue, at least one. The one that
            has had no turn for the longest time comes first.
        now : float
            Time in seconds.
        """
        ...

    def record_start(self, organisation: str, now: float) -> None:
        """Count a call of an organisation that starts."""
        ...

    def choose_displaced(
        self, queued_by_organisation: Mapping[str, int]
    ) -> str | None:
        """Return the organisation whose newest call leaves a full queue.

        Parameters
        ----------
        queued_by_organisation : mapping of str to int
            Queued calls of the least important rank, at least one. The
            arriving call is of a more important rank.

        Returns
        -------
        str or None
            None if the arriving call is refused instead.
        """
        ...


class RoundRobin:
    """Organisations take turns; a full queue refuses all arriving calls.

    Examples
    --------
    >>> RoundRobin().choose(['b', 'a'], now=0.0)
    'b'
    """

    def choose(self, organisations: Iterable[str], now: float) -> str:
        """Return the organisation that has had no turn for longest."""
        return next(iter(organisations))

    def record_start(self, organisation: str, now: float) -> None:
        """Ignore the start: turns depend on the queue only."""

    def choose_displaced(
        self, queued_by_organisation: Mapping[str, int]
    ) -> str | None:
        """Return None."""


class LeastServedFirst:
    """The organisation with the fewest recent starts goes first.

    The starts are counted whether or not the calls have waited, and however
    many entry nodes have sent them. A more important call displaces a call of
    the least important rank from a full queue, which would otherwise refuse it
    while less important calls are served. Calls of the same rank do not
    displace each other: this was measured to refuse more calls of all ranks.

    Examples
    --------
    >>> ordering = LeastServedFirst()
    >>> for _ in range(4):
    ...     ordering.record_start('a', now=0.0)
    >>> ordering.choose(['a', 'b'], now=1.0)
    'b'
    >>> ordering.choose_displaced({'a': 3, 'b': 1})
    'a'
    """

    def __init__(self) -> None:
        self._starts = DecayingCounts[str](SERVED_SECONDS, MAX_ORGANISATIONS)

    def choose(self, organisations: Iterable[str], now: float) -> str:
        """Return an organisation that was served least, in turn."""
        return min(
            organisations,
            key=lambda organisation: self._service_class(organisation, now),
        )

    def record_start(self, organisation: str, now: float) -> None:
        """Count a call of an organisation that starts."""
        self._starts.record(organisation, now)

    def choose_displaced(
        self, queued_by_organisation: Mapping[str, int]
    ) -> str | None:
        """Return the organisation with the most queued calls."""
        return max(
            queued_by_organisation, key=queued_by_organisation.__getitem__
        )

    def _service_class(self, organisation: str, now: float) -> int:
        # Organisations whose counts differ by less than a factor of about 2
        # take turns. In the exact order, new calls of one organisation overtake
        # older ones of another, and more calls expire.
        return int(math.log2(1 + self._starts.count(organisation, now)))
