"""Detection of holders whose leases have expired."""

from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Incarnation, check_range
from mustardshunt.rate._units import LEASE_SECONDS, RECLAIM_MARGIN_SECONDS

# An interval between two readings counts as a gap above this many margins. At
# 940 nodes the lease rows are read once in 60 s, which equals the margin. With
# a bound of one margin, each slightly late reading would count as a gap.
_MAX_READ_GAP_MARGINS: Final = 2


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """Lease that its holder has not renewed in time.

    The lease row must be deleted by a compare-and-set on the version, so that
    a late renewal fails. Only then may holders be sent ``HolderGone``.

    Parameters
    ----------
    holder : Incarnation
        Holder whose lease has expired.
    version : int
        Version of the lease row, unchanged since the last renewal.
    """

    holder: Incarnation
    version: int


class LeaseWatch:
    """Finds leases that were not renewed within the lease and a margin.

    A lease is timed by the watcher's own clock, from the first reading of its
    row version, which is never before the renewal was sent. When the platform
    returns after a long outage, all leases look expired. After a gap in its
    readings, the watcher therefore waits for the margin, so that live holders
    can renew their leases first.

    Parameters
    ----------
    lease : float, default=7200.0
        Seconds for which a holder may grant tokens after a renewal.
    margin : float, default=60.0
        Seconds without a renewal, beyond the lease, until it has expired.
    """

    def __init__(
        self,
        lease: float = LEASE_SECONDS,
        margin: float = RECLAIM_MARGIN_SECONDS,
    ) -> None:
        self.lease = lease
        self.margin = margin
        self._seen_by_holder: dict[Incarnation, tuple[int, float]] = {}
        self._last_read_at = float('-inf')
        self._reading_since = float('inf')

    def observe(self, holder: Incarnation, version: int, now: float) -> None:
        """Record the version of a holder's lease row.

        Parameters
        ----------
        holder : Incarnation
            Holder of the lease.
        version : int
            Version of the lease row as read now.
        now : float
            Seconds on this node's clock.
        """
        if now - self._last_read_at > _MAX_READ_GAP_MARGINS * self.margin:
            self._reading_since = now
        self._last_read_at = now
        seen = self._seen_by_holder.get(holder)
        if seen is None or seen[0] != version:
            self._seen_by_holder[holder] = (version, now)

    def forget(self, holder: Incarnation) -> None:
        """Stop watching a holder whose lease row was deleted."""
        self._seen_by_holder.pop(holder, None)

    def find_expired(self, now: float) -> list[ExpiredLease]:
        """Return the expired leases, whose rows may be deleted now."""
        if now - self._reading_since < self.margin:
            return []
        expiry_age = self.lease + self.margin
        return [
            ExpiredLease(holder, version)
            for holder, (version, seen_at) in self._seen_by_holder.items()
            if now - seen_at >= expiry_age
        ]


def make_lease_watch(
    lease: float = LEASE_SECONDS,
    margin: float = RECLAIM_MARGIN_SECONDS,
) -> LeaseWatch:
    """Return a lease watch that has not read any lease yet.

    Parameters
    ----------
    lease : float, default=7200.0
        Seconds for which a holder may grant tokens after a renewal.
    margin : float, default=60.0
        Seconds without a renewal, beyond the lease, until it has expired.

    Raises
    ------
    ParameterError
        The lease is below 1 s, or the margin is below 5 s and so does not
        cover the term of the last grants.
    """
    check_range('lease', lease, 1)
    check_range('margin', margin, 5)
    return LeaseWatch(lease, margin)
