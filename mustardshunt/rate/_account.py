"""Share of one holder in one partition, and the part that is usable now."""

from mustardshunt.base import Incarnation
from mustardshunt.rate._rows import ShareChange, ShareRow
from mustardshunt.rate._units import (
    GRANT_TERM_MARGIN_SECONDS,
    GRANT_TERM_SECONDS,
)


class ShareAccount:
    """Tracks how much of its share a holder may use.

    The usable share is the share in the table row, less increases that are not
    usable yet and less the part that an uncommitted change hands over. The
    share stays lowered while the result of such a change is unknown. Only a row
    with a later version than the change expects shows that the change can no
    longer take effect.

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
        """Return the share that is usable now, in parts per million."""
        self._pending_increases = [
            (ppm, usable_at)
            for ppm, usable_at in self._pending_increases
            if usable_at > now
        ]
        not_yet_usable = sum(ppm for ppm, _ in self._pending_increases)
        held = self.row.share_of(self._holder)
        return max(0, held - not_yet_usable - self._pending_decrease)

    def begin_change(self, change: ShareChange) -> None:
        """Lower the usable share before a change is sent to the table."""
        held = self.row.share_of(self._holder)
        decrease = held - change.share_by_holder.get(self._holder, 0)
        self._pending_decrease = max(0, decrease)
        self.change = change

    def observe_row(self, row: ShareRow, now: float) -> None:
        """Apply a row that was read or committed; older rows are ignored."""
        if row.version <= self.row.version:
            return
        held = self.row.share_of(self._holder) - self._pending_decrease
        self.row = row
        self.change = None
        self._pending_decrease = 0
        # An increase is delayed even if it only restores the share after a
        # failed hand-over. When a row has changed twice, it does not show
        # whether a part was restored or received from another holder.
        gained = row.share_of(self._holder) - held
        if gained > 0:
            self._pending_increases.append((
                gained,
                now + GRANT_TERM_SECONDS + GRANT_TERM_MARGIN_SECONDS,
            ))
