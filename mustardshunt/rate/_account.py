"""The share that one holder has in one partition, and its usable part.

The rates of all organisations of a partition are divided over the same nodes
(holders) by the same shares.
"""

from mustardshunt.base import Incarnation
from mustardshunt.rate._rows import ShareChange, ShareRow
from mustardshunt.rate._units import (
    GRANT_TERM_MARGIN_SECONDS,
    GRANT_TERM_SECONDS,
)


class ShareAccount:
    """Tracks which part of its share a holder may use.

    Two parts of the share in the table row are not usable: recent increases,
    until a delay has passed, and the part that an uncommitted change hands
    over. While the result of such a change is unknown, that part stays
    unusable. A change expects a certain version of the row. Only a row with a
    later version shows that the change can no longer take effect.

    Parameters
    ----------
    holder : Incarnation
        Node that holds the share.
    partition : int
        Number of the partition.
    """

    def __init__(self, holder: Incarnation, partition: int) -> None:
        self.row = ShareRow(partition, 0, {})
        self.change: ShareChange | None = None
        self._holder = holder
        self._pending_decrease = 0
        self._pending_increases: list[tuple[int, float]] = []

    def usable_share(self, now: float) -> int:
        """Return the part of the share that is usable now, in ppm."""
        self._pending_increases = [
            (ppm, usable_at)
            for ppm, usable_at in self._pending_increases
            if usable_at > now
        ]
        not_yet_usable = sum(ppm for ppm, _ in self._pending_increases)
        held = self.row.share_of(self._holder)
        return max(0, held - not_yet_usable - self._pending_decrease)

    def begin_change(self, change: ShareChange) -> None:
        """Record a change that is to be sent, and lower the usable share."""
        held = self.row.share_of(self._holder)
        decrease = held - change.share_by_holder.get(self._holder, 0)
        self._pending_decrease = max(0, decrease)
        self.change = change

    def observe_row(self, row: ShareRow, now: float) -> None:
        """Apply a row that was read or committed; ignore old versions."""
        if row.version <= self.row.version:
            return
        held = self.row.share_of(self._holder) - self._pending_decrease
        self.row = row
        self.change = None
        self._pending_decrease = 0
        # Every increase is delayed, even one that only restores the share after
        # a failed hand-over. A row that has changed twice does not show whether
        # a part was restored or was received from another holder.
        gained = row.share_of(self._holder) - held
        if gained > 0:
            self._pending_increases.append((
                gained,
                now + GRANT_TERM_SECONDS + GRANT_TERM_MARGIN_SECONDS,
            ))
