"""Chooses the members to which a node keeps links."""

from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.base import rank_of
from mustardshunt.load_balancing._members import Member

# Members of one service to which a node keeps links: enough that a node finds
# room after three refusals, and that the failure of some leaves a choice.
SUBSET_SIZE: Final = 8
# Largest number of these members in the node's own data centre. The others are
# in other data centres, for the time when the own data centre is overloaded or
# out of service.
LOCAL_SUBSET_SIZE: Final = 5
# Time after the last call to a service for which its links are kept, in
# seconds.
SERVICE_IDLE_SECONDS: Final = 60.0


class LinkPlan:
    """The members to which one node keeps links.

    Each node links to a bounded subset of each service that it calls. Nodes of
    one data centre start at evenly spaced positions of the service's members,
    so that every member has about the same number of callers. A member that
    cannot take calls is passed over, and the subset continues with the member
    behind it.

    Parameters
    ----------
    name : str
        Name of this node.
    data_centre : str
        Data centre of this node.
    size : int, default=SUBSET_SIZE
        Members of one service to which links are kept.

    Examples
    --------
    >>> from mustardshunt.base import VmAddress
    >>> def member(name):
    ...     return Member(name, f'{name}-1', 's', 'z', VmAddress('10.0.0.1', 1))
    >>> plan = LinkPlan('a', 'z')
    >>> plan.set_members({name: member(name) for name in ('a', 'b', 'c')})
    >>> sorted(plan.names)
    ['a']
    >>> plan.use_service('s', now=0.0)
    True
    >>> sorted(plan.names)
    ['a', 'b', 'c']
    """

    def __init__(
        self, name: str, data_centre: str, size: int = SUBSET_SIZE
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._size = size
        self._local_size = size * LOCAL_SUBSET_SIZE // SUBSET_SIZE
        self._member_by_name: Mapping[str, Member] = {}
        self._ring_by_service: dict[str, list[Member]] = {}
        self._local_rank = 0.0
        self._global_rank = 0.0
        self._used_at_by_service: dict[str, float] = {}
        self._unusable_names: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()
        self.names: frozenset[str] = frozenset()

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Replace the members of the deployment."""
        self._member_by_name = by_name
        self._unusable_names.intersection_update(by_name)
        ring = [by_name[name] for name in sorted(by_name, key=rank_of)]
        self._ring_by_service = {}
        for member in ring:
            self._ring_by_service.setdefault(member.service, []).append(member)
        names = [member.name for member in ring]
        local_names = [
            member.name
            for member in ring
            if member.data_centre == self._data_centre
        ]
        self._global_rank = _relative_rank(self._name, names)
        self._local_rank = _relative_rank(self._name, local_names)
        self._update()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres that are out of service."""
        self._evacuated = data_centres
        self._update()

    def use_service(self, service: str, now: float) -> bool:
        """Record a call to a service.

        Returns
        -------
        bool
            Whether links to the service were not planned before.
        """
        is_new = service not in self._used_at_by_service
        self._used_at_by_service[service] = now
        if is_new:
            self._update()
        return is_new

    def drop_unused(self, now: float) -> bool:
        """Drop the services without recent calls; tell if there were any."""
        unused = [
            service
            for service, used_at in self._used_at_by_service.items()
            if now - used_at > SERVICE_IDLE_SECONDS
        ]
        for service in unused:
            del self._used_at_by_service[service]
        if unused:
            self._update()
        return bool(unused)

    def mark_usable(self, name: str, is_usable: bool) -> bool:
        """Record whether a member can take calls; tell if the plan changed.

        Parameters
        ----------
        name : str
            Name of the member.
        is_usable : bool
            False if the member cannot be reached, or takes no calls.
        """
        if is_usable == (name not in self._unusable_names):
            return False
        if is_usable:
            self._unusable_names.discard(name)
        else:
            self._unusable_names.add(name)
        before = self.names
        self._update()
        return self.names != before

    def _update(self) -> None:
        names = {self._name}
        for service in self._used_at_by_service:
            names.update(self._subset_of(service))
        self.names = frozenset(names & self._member_by_name.keys())

    def _subset_of(self, service: str) -> list[str]:
        local = []
        remote = []
        for member in self._ring_by_service.get(service, ()):
            if member.data_centre in self._evacuated:
                continue
            if member.data_centre == self._data_centre:
                local.append(member.name)
            else:
                remote.append(member.name)
        usable_local, names = self._window(
            local, self._local_rank, self._local_size
        )
        _, remote_names = self._window(
            remote, self._global_rank, self._size - usable_local
        )
        return names + remote_names

    def _window(
        self, ring: list[str], rank: float, size: int
    ) -> tuple[int, list[str]]:
        """Return the members from a position on, until enough are usable."""
        start = int(rank * len(ring))
        names: list[str] = []
        usable = 0
        for name in ring[start:] + ring[:start]:
            if usable == size:
                break
            names.append(name)
            usable += name not in self._unusable_names
        return usable, names


def _relative_rank(name: str, names: Iterable[str]) -> float:
    """Return the position of a name in a list, from 0 up to 1."""
    ordered = list(names)
    if name not in ordered:
        return 0.0
    return ordered.index(name) / len(ordered)
