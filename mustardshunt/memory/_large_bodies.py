"""Room for one large body beside the account of a process."""

from typing import Protocol

from mustardshunt.memory._limits import LargeBodyLimits


class AdjustableAccount(Protocol):
    """Account whose capacity is lower while a large body is kept."""

    def fits(self, capacity: int) -> bool:
        """Tell whether all that is kept fits into a capacity."""
        ...

    def set_limits(self, capacity: int, largest_body: int) -> None:
        """Use other limits; what does not fit any more gives way."""
        ...


class LargeBodyRoom:
    """Keeps room for one body that is larger than the account allows.

    The capacity of the account is lower while the room is taken. A large body
    never makes anything else give way: it is refused if what is kept does not
    fit beside it.

    Parameters
    ----------
    account : AdjustableAccount
        Account of the process.
    """

    def __init__(self, account: AdjustableAccount) -> None:
        self._account = account
        self._limits: LargeBodyLimits | None = None
        # Bytes of the body that takes the room, 0 if it is free.
        self.held = 0

    @property
    def largest(self) -> int:
        """Bytes of the largest body that the room is for, 0 for none."""
        return 0 if self._limits is None else self._limits.largest

    def set_limits(self, limits: LargeBodyLimits) -> None:
        """Use other limits, also for the account.

        A body that is larger than the new limits keeps its room.

        Parameters
        ----------
        limits : LargeBodyLimits
            New limits.
        """
        self._limits = limits
        self._adjust_account(limits)

    def reserve(self, size: int) -> bool:
        """Take the room for a body.

        Parameters
        ----------
        size : int
            Bytes of the body, or the most that it may have.

        Returns
        -------
        bool
            False if the room is taken, the body is too large for it, or what is
            kept does not fit beside the body.
        """
        limits = self._limits
        if limits is None or self.held or not 0 < size <= limits.largest:
            return False
        if not self._account.fits(limits.capacity_beside(size)):
            return False
        self.held = size
        self._adjust_account(limits)
        return True

    def release(self) -> None:
        """Return the room: the body is not kept any more."""
        self.held = 0
        if self._limits is not None:
            self._adjust_account(self._limits)

    def _adjust_account(self, limits: LargeBodyLimits) -> None:
        self._account.set_limits(
            limits.capacity_beside(self.held), limits.largest_body
        )
