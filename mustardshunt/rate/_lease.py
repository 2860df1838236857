"""Detects expired leases of holders, so that their shares are reclaimed.

A holder is a node that holds shares of organisations' rates. The lease of a
holder is a row in the platform's table, which the holder renews.
"""

from dataclasses import dataclass
from typing import Final

from mustardshunt.base import Incarnation, check_range
from mustardshunt.rate._units import LEASE_SECONDS, RECLAIM_MARGIN_SECONDS

# Longest interval between two readings of the lease rows, as a multiple of the
# margin. A longer interval counts as an interruption. At 940 nodes, the rows
# are read once in 60 s, which equals the margin. With a factor of 1, each
# slightly late reading would count as an interruption.
_MAX_READ_GAP_MARGINS: Final = 2


@dataclass(frozen=True, slots=True)
class ExpiredLease:
    """Lease that was not renewed in time, and whose row must be deleted.

    The row must be deleted by a compare-and-set on its version, so that a late
    renewal fails. ``HolderGone`` may be sent only after the row was deleted.

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
    """Finds leases that ended at least a margin ago without a renewal.

    The watching node measures the age of a lease by its own clock, from the
    first reading of the current version of the lease row. The holder sent the
    renewal before that reading, so that a lease is never reported too early.

    When the platform's table returns after a long outage, all leases look
    expired. After an interruption of the readings, no lease is therefore
    reported until the margin has passed. Live holders can renew their leases in
    this time.

    Parameters
    ----------
    lease : float, default=7200.0
        Seconds for which a holder may grant tokens after a renewal.
    margin : float, default=60.0
        Seconds after the end of a lease until it counts as expired.
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
        """Record a reading of a holder's lease row.

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
        """Stop watching the lease of a holder, because its row was deleted."""
        self._seen_by_holder.pop(holder, None)

    def find_expired(self, now: float) -> list[ExpiredLease]:
        """Return the expired leases.

        The result is empty within the margin after an interruption of the
        readings.
        """
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
    """Check the durations and return a lease watch without any reading.

    Parameters
    ----------
    lease : float, default=7200.0
        Seconds for which a holder may grant tokens after a renewal.
    margin : float, default=60.0
        Seconds after the end of a lease until it counts as expired.

    Raises
    ------
    ParameterError
        The lease is below 1 s, or the margin is below 5 s and so does not
        cover the term of the last grants.
    """
    check_range('lease', lease, 1)
    check_range('margin', margin, 5)
    return LeaseWatch(lease, margin)
