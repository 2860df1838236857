"""Watching the leases of holders."""

from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Incarnation, check_range
from mustardshunt.rate._units import LEASE_SECONDS, RECLAIM_MARGIN_SECONDS

# At 940 nodes the rows are read once in 60 s, which is as long as the margin;
# a reading that comes a little late must not count as a gap.
_GAP_MARGINS: Final = 2


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """A lease row that nobody renewed.

    The row is to be deleted by a compare-and-set on the version, so that a
    late renewal fails; after that ``HolderGone`` may be told to holders.

    Parameters
    ----------
    holder : Incarnation
        Owner of the lease.
    version : int
        Version of its row that was unchanged.
    """

    holder: Incarnation
    version: int


class LeaseWatch:
    """Finds leases that were unchanged for the lease and a margin.

    Only the watcher's own clock is used: the time since it first saw the
    version, which is never before the renewal was sent. After a gap in its
    readings it waits for the margin, so that live holders can renew first:
    when the platform returns after a long outage, all leases look expired.

    Parameters
    ----------
    lease : float, default=7200.0
        Seconds for which a holder may grant after a renewal.
    margin : float, default=60.0
        Seconds added by the watcher.
    """

    def __init__(
        self,
        lease: float = LEASE_SECONDS,
        margin: float = RECLAIM_MARGIN_SECONDS,
    ) -> None:
        self.lease = lease
        self.margin = margin
        self._seen_by_holder: dict[Incarnation, tuple[int, float]] = {}
        self._read_at = float('-inf')
        self._reading_since = float('inf')

    def observe(self, holder: Incarnation, version: int, now: float) -> None:
        """Take the version of a holder's lease row."""
        if now - self._read_at > _GAP_MARGINS * self.margin:
            self._reading_since = now
        self._read_at = now
        known = self._seen_by_holder.get(holder)
        if known is None or known[0] != version:
            self._seen_by_holder[holder] = (version, now)

    def forget(self, holder: Incarnation) -> None:
        """Take that a holder's lease row is deleted."""
        self._seen_by_holder.pop(holder, None)

    def find_expired(self, now: float) -> list[ExpiredLease]:
        """Return the leases that may be deleted now."""
        if now - self._reading_since < self.margin:
            return []
        due = self.lease + self.margin
        return [
            ExpiredLease(holder, version)
            for holder, (version, seen_at) in self._seen_by_holder.items()
            if now - seen_at >= due
        ]


def make_lease_watch(
    lease: float = LEASE_SECONDS,
    margin: float = RECLAIM_MARGIN_SECONDS,
) -> LeaseWatch:
    """Return a watch that has seen no lease.

    Raises
    ------
    ParameterError
        The lease is not positive or the margin is below 5 s, which would
        not cover the term of the last grants.
    """
    check_range('lease', lease, 1)
    check_range('margin', margin, 5)
    return LeaseWatch(lease, margin)
