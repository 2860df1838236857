"""In-memory table with share rows and lease rows for the simulation."""

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import CommitOutcome
from mustardshunt.rate._rows import ShareChange, ShareRow, check_shares


class SimulatedTable:
    """Share and lease rows that change only by compare-and-set."""

    def __init__(self) -> None:
        self.is_up = True
        self.row_by_partition: dict[int, ShareRow] = {}
        self.version_by_lease: dict[Incarnation, int] = {}

    def read(self, partition: int) -> ShareRow:
        """Return the row of a partition, with version 0 if it is absent."""
        absent = ShareRow(partition, 0, {})
        return self.row_by_partition.get(partition, absent)

    def commit(self, change: ShareChange) -> CommitOutcome:
        """Write a share row if it has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.read(change.partition).version != change.expected_version:
            return CommitOutcome.CONFLICT
        check_shares(change.share_by_holder)
        self.row_by_partition[change.partition] = change.row()
        return CommitOutcome.COMMITTED

    def renew_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Write a lease row if it has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder, 0) != version:
            return CommitOutcome.CONFLICT
        self.version_by_lease[holder] = version + 1
        return CommitOutcome.COMMITTED

    def delete_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Delete a lease row if it has the expected version."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder) != version:
            return CommitOutcome.CONFLICT
        del self.version_by_lease[holder]
        return CommitOutcome.COMMITTED
