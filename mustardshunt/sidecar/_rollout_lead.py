"""State of one order at a node that may decide on it."""

from dataclasses import dataclass, field

from mustardshunt.rollouts import (
    DeciderTurn,
    Rollout,
    RolloutOrder,
    RolloutPhase,
    RolloutStage,
    UpstreamReport,
)
from mustardshunt.sidecar._rollout_records import RolloutRecord


@dataclass(slots=True)
class Lead:
    """What a node knows of one order, and its rollout while it decides.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    turn : DeciderTurn
        Tells whether this node decides.
    record : RolloutRecord
        Start of the rollout, as the platform keeps it.
    needs_begin : bool
        Whether the start is to be written.
    needs_end : RolloutStage or None
        End that is to be written.
    is_answered : bool
        Whether the platform has answered this node's write of the start.
    asked_at : float
        Time in seconds at which this write was requested.
    rollout : Rollout or None
        The rollout, None while another node decides.
    term : int
        Term of this node's stages.
    number : int
        Number of the last stage.
    told_at : float
        Time in seconds at which a stage was told.
    told : RolloutStage or None
        This stage.
    reports : dict of (str, str) to UpstreamReport
        Last report by process and version, for a node that begins to decide.
    """

    order: RolloutOrder
    turn: DeciderTurn
    record: RolloutRecord
    needs_begin: bool = False
    needs_end: RolloutStage | None = None
    is_answered: bool = False
    asked_at: float = 0.0
    rollout: Rollout | None = None
    term: int = 0
    number: int = 0
    told_at: float = 0.0
    told: RolloutStage | None = None
    reports: dict[tuple[str, str], UpstreamReport] = field(default_factory=dict)

    def gives_way(self, order: RolloutOrder, has_ended: bool) -> bool:
        """Tell whether a later order replaces this one.

        An order that comes twice changes nothing, and neither does a faulty
        one before this one has ended.

        Parameters
        ----------
        order : RolloutOrder
            The later order.
        has_ended : bool
            Whether the rollout of this one is known to have ended.
        """
        if self.order.revision >= order.revision:
            return False
        is_same = self.order.target == order.target
        if order.fault:
            return not is_same and (has_ended or bool(self.order.fault))
        return not is_same or bool(self.order.fault)

    def stop(self) -> None:
        """Stop to decide."""
        self.rollout = None
        self.is_answered = False


def former_version(known: RolloutStage | None, target: str) -> str | None:
    """Return the version before a rollout, None if it is unknown.

    Parameters
    ----------
    known : RolloutStage or None
        Stage or end of the service's last rollout that is known.
    target : str
        Version to which the service is moved.
    """
    if known is None:
        return None
    is_former_rollout = known.target != target
    if is_former_rollout and known.phase is RolloutPhase.COMPLETED:
        return known.target
    return known.former
