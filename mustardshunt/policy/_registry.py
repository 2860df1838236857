"""The active policy of a node and the evacuated data centres."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mustardshunt.base import Revision
from mustardshunt.policy._evacuations import Evacuations
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
        self._evacuations = Evacuations()

    @property
    def version(self) -> int:
        """Version of the active policy, -1 if no policy is active yet."""
        if self.active is None:
            return -1
        return self.active.policy.version

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the data centres that are out of service."""
        return frozenset(self._evacuations.since)

    @property
    def stored_evacuations(self) -> Mapping[str, Revision]:
        """Evacuations that the platform holds, each with its revision."""
        return self._evacuations.stored()

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

    def evacuate(self, data_centre: str, revision: Revision) -> bool:
        """Record that operators have taken a data centre out of service.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        revision : Revision
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
        return self._evacuations.evacuate(data_centre, revision)

    def restore(self, data_centre: str, revision: Revision) -> bool:
        """Record that operators have returned a data centre to service.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        revision : Revision
            Revision of the platform's data in which the data centre returned to
            service. An evacuation with a newer revision is kept, and the data
            centre stays out of service.

        Returns
        -------
        bool
            True if the data centre was out of service and is now in service.
            False if the data centre's state did not change.
        """
        return self._evacuations.restore(data_centre, revision)

    def apply_evacuations(
        self, revision: Revision, entries: Iterable[tuple[str, Revision]]
    ) -> None:
        """Apply all evacuations that the platform holds at a revision.

        Parameters
        ----------
        revision : Revision
            Revision of the platform's data, not older than the last one.
        entries : iterable of (str, Revision)
            Evacuated data centres, each with the revision of its evacuation.
        """
        self._evacuations.apply_snapshot(revision, entries)

    def end_hold(self, now: float) -> bool:
        """End evacuations that were not written again in a new era.

        Must be called regularly.

        Returns
        -------
        bool
            Whether the evacuated data centres have changed.
        """
        return self._evacuations.end_hold(now)
