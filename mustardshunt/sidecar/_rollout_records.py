"""What the platform keeps of rollouts."""

from dataclasses import dataclass
from typing import Protocol

from mustardshunt.rollouts import RolloutPhase


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What is kept of a rollout for the next node that decides on it.

    Parameters
    ----------
    service : str
        Service that is moved.
    target : str
        Version to which it is moved.
    started_at : float
        Time of day at which the order became known, in seconds since the epoch.
    duration : float
        Seconds from the order to its deadline.
    """

    service: str
    target: str
    started_at: float
    duration: float


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """State of a service's rollout that the platform holds.

    Parameters
    ----------
    state : RolloutPhase or None
        ``COMPLETED`` or ``ROLLED_BACK``, None while the rollout runs.
    record : RolloutRecord
        Start of the rollout.
    """

    state: RolloutPhase | None
    record: RolloutRecord


class RolloutDirectory(Protocol):
    """Keeps the states of rollouts, where operators read them.

    A state is written only if the one that was read before is still there, so
    that the first of two nodes decides.
    """

    async def begin(self, record: RolloutRecord) -> RolloutStatus:
        """Write that a rollout runs, unless its target is known already.

        Returns
        -------
        RolloutStatus
            The status that the platform holds then.

        Raises
        ------
        PlatformError
            The platform did not confirm the status, which may have been
            written nevertheless.
        """
        ...

    async def end(
        self, service: str, target: str, state: RolloutPhase
    ) -> RolloutPhase:
        """Write the end of a rollout, unless another end is known.

        Returns
        -------
        RolloutPhase
            The end that the platform holds then.

        Raises
        ------
        PlatformError
            The platform did not confirm the end, which may have been written
            nevertheless.
        """
        ...

    async def refuse(self, service: str, target: str) -> None:
        """Answer an order that cannot be followed.

        A rollout that runs, or has ended with the same target, stays as it is.

        Raises
        ------
        PlatformError
            The platform did not confirm the answer.
        """
        ...
