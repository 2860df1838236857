"""The policy in force on a node."""

from dataclasses import dataclass

from mustardshunt.policy._model import Policy
from mustardshunt.policy._routes import PriorityRanking, RouteTable


@dataclass(frozen=True, slots=True)
class ActivePolicy:
    """A policy with what is derived from it once.

    Parameters
    ----------
    policy : Policy
        The version in force.
    routes : RouteTable
        Lookup of its routes.
    priority_ranking : PriorityRanking
        Positions of its ranks.
    """

    policy: Policy
    routes: RouteTable
    priority_ranking: PriorityRanking


class PolicyRegistry:
    """Holds the policy in force; its version only rises within a run.

    Examples
    --------
    >>> from mustardshunt.policy import RequestLimits
    >>> registry = PolicyRegistry()
    >>> newer = Policy(7, {}, {}, {}, {}, RequestLimits())
    >>> older = Policy(5, {}, {}, {}, {}, RequestLimits())
    >>> registry.accept(newer), registry.accept(older), registry.version
    (True, False, 7)
    """

    def __init__(self) -> None:
        self.active: ActivePolicy | None = None
        self._evacuated_since: dict[str, int] = {}
        self._returned_since: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version in force, -1 when none is known."""
        if self.active is None:
            return -1
        return self.active.policy.version

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that operators have taken out of service."""
        return frozenset(self._evacuated_since)

    def accept(self, policy: Policy) -> bool:
        """Put a policy in force if its version is higher.

        Returns
        -------
        bool
            Whether the policy is now in force.
        """
        if policy.version <= self.version:
            return False
        self.active = ActivePolicy(
            policy,
            RouteTable(policy),
            PriorityRanking(policy),
        )
        return True

    def evacuate(self, data_centre: str, revision: int) -> bool:
        """Take a data centre out; False if the news is old or known.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        revision : int
            Revision at which operators took it out; rises with each change.
        """
        if revision <= self._returned_since.get(data_centre, -1):
            return False
        known = self._evacuated_since.get(data_centre)
        if known is not None and revision <= known:
            return False
        self._evacuated_since[data_centre] = revision
        return known is None

    def restore(self, data_centre: str, revision: int) -> bool:
        """Take a data centre back; False if the news is old or known."""
        if revision <= self._returned_since.get(data_centre, -1):
            return False
        self._returned_since[data_centre] = revision
        evacuated_at = self._evacuated_since.get(data_centre)
        if evacuated_at is None or evacuated_at > revision:
            return False
        del self._evacuated_since[data_centre]
        return True
