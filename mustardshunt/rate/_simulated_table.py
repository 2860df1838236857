"""The platform's table in virtual time: share rows and lease rows."""

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import CommitOutcome
from mustardshunt.rate._rows import ShareChange, ShareRow, check_shares


class SimulatedTable:
    """Rows that change by compare-and-set only."""

    def __init__(self) -> None:
        self.is_up = True
        self.row_by_partition: dict[int, ShareRow] = {}
        self.version_by_lease: dict[Incarnation, int] = {}

    def read(self, partition: int) -> ShareRow:
        """Return a row; one of version 0 when it is absent."""
        absent = ShareRow(partition, 0, {})
        return self.row_by_partition.get(partition, absent)

    def commit(self, change: ShareChange) -> CommitOutcome:
        """Write a share row if its version is as expected."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.read(change.partition).version != change.expected_version:
            return CommitOutcome.CONFLICT
        check_shares(change.share_by_holder)
        self.row_by_partition[change.partition] = change.row()
        return CommitOutcome.COMMITTED

    def renew_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Write a lease row if its version is as expected."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder, 0) != version:
            return CommitOutcome.CONFLICT
        self.version_by_lease[holder] = version + 1
        return CommitOutcome.COMMITTED

    def delete_lease(self, holder: Incarnation, version: int) -> CommitOutcome:
        """Delete a lease row if its version is as expected."""
        if not self.is_up:
            return CommitOutcome.UNKNOWN
        if self.version_by_lease.get(holder) != version:
            return CommitOutcome.CONFLICT
        del self.version_by_lease[holder]
        return CommitOutcome.COMMITTED
