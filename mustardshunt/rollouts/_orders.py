"""Orders, stages and reports of rollouts."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Revision


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout."""

    CANARY = 'canary'
    RAMP = 'ramp'
    ALL = 'all'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in {RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK}


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds on the requests that a bad version may get.

    Parameters
    ----------
    share : float
        Share of the requests for the service between the order and its
        deadline.
    slack : float, default=0.0
        Requests beyond the share.
    rollback : float, default=5.0
        Seconds after the 50th bad answer from which on no request is sent.
    """

    share: float
    slack: float = 0.0
    rollback: float = 5.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order of an operator to move a service to another version.

    Parameters
    ----------
    service : str
        Service to move.
    target : str
        Version to which all traffic is to be moved.
    duration : float
        Seconds from the order to its deadline.
    revision : Revision
        Revision of the platform at which the order was written.
    fault : str, default=''
        Why the order cannot be followed, empty if it can.
    """

    service: str
    target: str
    duration: float
    revision: Revision
    fault: str = ''


@dataclass(frozen=True, slots=True)
class RolloutStage:
    """What a decider lets the nodes do, or the end of the rollout.

    Parameters
    ----------
    service : str
        Service that is moved.
    target : str
        Version to which the service is moved.
    former : str or None
        Version that the service had before, None while it is unknown.
    order : Revision
        Revision of the order.
    phase : RolloutPhase
        Phase of the rollout.
    term : int, default=0
        Rises with each decider of the rollout.
    number : int, default=0
        Number of the stage, which rises within a term.
    share : float, default=0.0
        Share of an entry node's requests for the service that it may send to
        the target.
    decider_rank : int, default=0
        Rank of the decider's data centre.
    decider : str, default=''
        Name of the decider.
    members : tuple of str, default=()
        Nodes beside upstreams of the target that take the share.
    targets : tuple of str, default=()
        All nodes beside upstreams of the target.
    failure_rate : float, default=0.0
        Share of failures among the answers of the former version.
    """

    service: str
    target: str
    former: str | None
    order: Revision
    phase: RolloutPhase
    term: int = 0
    number: int = 0
    share: float = 0.0
    decider_rank: int = 0
    decider: str = ''
    members: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    failure_rate: float = 0.0

    def replaces(self, known: 'RolloutStage | None') -> bool:
        """Tell whether this stage holds instead of one that is known.

        The end of a rollout goes before all its stages. ``COMPLETED`` goes
        before ``ROLLED_BACK``, since it is told only once the platform holds
        it, and the former upstreams are stopped then.

        Examples
        --------
        >>> order = Revision(0, 1)
        >>> def stage(phase, term=0, target='v2'):
        ...     return RolloutStage('s', target, 'v1', order, phase, term)
        >>> canary = stage(RolloutPhase.CANARY, 1)
        >>> bad = stage(RolloutPhase.ROLLED_BACK)
        >>> bad.replaces(canary), canary.replaces(bad)
        (True, False)
        >>> stage(RolloutPhase.CANARY, 2).replaces(canary)
        True
        >>> stage(RolloutPhase.CANARY, target='v3').replaces(bad)
        False
        """
        if known is None:
            return True
        if known.target != self.target:
            return self.order > known.order
        if known.phase.is_final:
            return (
                known.phase is RolloutPhase.ROLLED_BACK
                and self.phase is RolloutPhase.COMPLETED
            )
        if self.phase.is_final:
            return True
        return (self.term, self.number) > (known.term, known.number)


@dataclass(frozen=True, slots=True)
class RolloutVerdict:
    """Judgement on the target of a rollout.

    Parameters
    ----------
    phase : RolloutPhase
        ``COMPLETED`` or ``ROLLED_BACK``.
    reason : str
        Why the rollout ends so.
    """

    phase: RolloutPhase
    reason: str
