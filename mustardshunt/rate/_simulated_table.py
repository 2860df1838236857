"""Share rows and lease rows in memory, in place of the platform's table."""

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import CommitOutcome
from mustardshunt.rate._rows import ShareChange, ShareRow, check_shares


class SimulatedTable:
    """Share rows and lease rows that are written only by compare-and-set.

    While the table is down, the outcome of each write is unknown.
    """

    def __init__(self) -> None:
        self.is_up = True
        self.row_by_partition: dict[int, ShareRow] = {}
        self.version_by_lease: dict[Incarnation, int] = {}

    def read(self, partition: int) -> ShareRow:
        """Return the share row of a partition; version 0 if there is none."""
        absent = ShareRow(partition, 0, {})
        return self.row_by_partition.get(partition, absent)

    def commit(self, change: ShareChange) -> CommitOutcome:
        """Write a share row if the row has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.read(change.partition).version != change.expected_version:
            return CommitOutcome.CONFLICT
        check_shares(change.share_by_holder)
        self.row_by_partition[change.partition] = change.row()
        return CommitOutcome.COMMITTED

    def renew_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Write a lease row if the row has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder, 0) != version:
            return CommitOutcome.CONFLICT
        self.version_by_lease[holder] = version + 1
        return CommitOutcome.COMMITTED

    def delete_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Delete a lease row if the row has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder) != version:
            return CommitOutcome.CONFLICT
        del self.version_by_lease[holder]
        return CommitOutcome.COMMITTED
