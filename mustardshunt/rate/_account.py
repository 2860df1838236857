"""A holder's own share of one partition."""

from mustardshunt.base import Incarnation
from mustardshunt.rate._rows import ShareChange, ShareRow
from mustardshunt.rate._units import (
    GRANT_TERM_MARGIN_SECONDS,
    GRANT_TERM_SECONDS,
)


class ShareAccount:
    """The share of a partition that its holder may use now.

    It is the share in the row, less increments that are not usable yet, less
    what a change in flight gives away. While the fate of such a change is
    open the share stays lowered: only a row of a later version than the
    change expected shows that the change can no longer take effect.

    Parameters
    ----------
    holder : Incarnation
        Owner of the account.
    partition : int
        Number of the partition.
    """

    def __init__(self, holder: Incarnation, partition: int) -> None:
        self.row = ShareRow(partition, 0, {})
        self.change: ShareChange | None = None
        self._holder = holder
        self._lowered = 0
        self._increments: list[tuple[int, float]] = []

    def usable_share(self, now: float) -> int:
        """Return the usable share in parts per million."""
        self._increments = [
            (ppm, usable_at)
            for ppm, usable_at in self._increments
            if usable_at > now
        ]
        unripe = sum(ppm for ppm, _ in self._increments)
        held = self.row.share_of(self._holder)
        return max(0, held - unripe - self._lowered)

    def begin_change(self, change: ShareChange) -> None:
        """Lower the own share before a change is sent."""
        held = self.row.share_of(self._holder)
        given = held - change.share_by_holder.get(self._holder, 0)
        self._lowered = max(0, given)
        self.change = change

    def observe_row(self, row: ShareRow, now: float) -> None:
        """Take a row that was read or committed; older ones are ignored."""
        if row.version <= self.row.version:
            return
        held = self.row.share_of(self._holder) - self._lowered
        self.row = row
        self.change = None
        self._lowered = 0
        # What a failed gift brings back also waits: a row that was changed
        # twice does not tell a restored part from a received one.
        gained = row.share_of(self._holder) - held
        if gained > 0:
            self._increments.append((
                gained,
                now + GRANT_TERM_SECONDS + GRANT_TERM_MARGIN_SECONDS,
            ))
