"""The active policy of a node and the evacuated data centres."""

from collections.abc import Mapping
from dataclasses import dataclass

from mustardshunt.policy._model import Policy
from mustardshunt.policy._routes import PriorityRanking, RouteTable


@dataclass(frozen=True, slots=True)
class ActivePolicy:
    """The active policy, with lookup tables derived from this policy.

    Parameters
    ----------
    policy : Policy
        Version of the policy that the node applies now.
    routes : RouteTable
        Lookup of the policy's routes by host and path.
    priority_ranking : PriorityRanking
        Maps the priorities of the policy to ranks.
    """

    policy: Policy
    routes: RouteTable
    priority_ranking: PriorityRanking


class PolicyRegistry:
    """Holds the active policy and the evacuated data centres at a node.

    An evacuated data centre is out of service. The version of the active policy
    never decreases while the node runs.

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
        """Version of the active policy, -1 if no policy is active yet."""
        if self.active is None:
            return -1
        return self.active.policy.version

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the data centres that are out of service."""
        return frozenset(self._evacuated_since)

    @property
    def evacuated_since(self) -> Mapping[str, int]:
        """Revision of the evacuation of each data centre out of service."""
        return self._evacuated_since

    def accept(self, policy: Policy) -> bool:
        """Make a policy the active policy if its version is higher.

        A policy with the same or a lower version is ignored.

        Returns
        -------
        bool
            Whether the active policy was replaced.
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
        """Record that operators have taken a data centre out of service.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        revision : int
            Revision of the platform's data in which the data centre was
            evacuated. The evacuation is ignored if the data centre returned to
            service in this revision or a newer revision.

        Returns
        -------
        bool
            True if the data centre was in service and is now out of service.
            False if the data centre was already out of service, or if the
            evacuation is ignored.
        """
        if revision <= self._returned_since.get(data_centre, -1):
            return False
        known = self._evacuated_since.get(data_centre)
        if known is not None and revision <= known:
            return False
        self._evacuated_since[data_centre] = revision
        return known is None

    def restore(self, data_centre: str, revision: int) -> bool:
        """Record that operators have returned a data centre to service.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        revision : int
            Revision of the platform's data in which the data centre returned to
            service. An evacuation with a newer revision is kept, and the data
            centre stays out of service.

        Returns
        -------
        bool
            True if the data centre was out of service and is now in service.
            False if the data centre's state did not change.
        """
        if revision <= self._returned_since.get(data_centre, -1):
            return False
        self._returned_since[data_centre] = revision
        evacuated_at = self._evacuated_since.get(data_centre)
        if evacuated_at is None or evacuated_at > revision:
            return False
        del self._evacuated_since[data_centre]
        return True
