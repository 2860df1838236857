"""Keeps the links that this node plans, and waits for new ones."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.load_balancing import LinkPlan, LoadBalancer, Member
from mustardshunt.sidecar._link_pool import LinkPool
from mustardshunt.sidecar._peer_link import PeerLink

# Time in which the first link to a service usually opens. Within this time
# after the first call to the service, calls wait for the link.
OPENING_SECONDS: Final = 0.3
# Interval between checks for services that are no longer called.
PLAN_CHECK_SECONDS: Final = 5.0


class LinkManager:
    """Opens and closes links as the plan of this node says.

    Parameters
    ----------
    name : str
        Name of this node, to which there is no link.
    plan : LinkPlan
        Chooses the members to which links are kept.
    balancer : LoadBalancer
        Chooses among the members of the plan for each call.
    pool : LinkPool
        The links.
    """

    def __init__(
        self,
        name: str,
        plan: LinkPlan,
        balancer: LoadBalancer,
        pool: LinkPool,
    ) -> None:
        self._name = name
        self._plan = plan
        self._balancer = balancer
        self._pool = pool
        self._member_by_name: Mapping[str, Member] = {}
        self._listener_names: frozenset[str] = frozenset()
        self._watched_names: frozenset[str] = frozenset()
        self._rollout_names: frozenset[str] = frozenset()
        self._opening_until_by_service: dict[str, float] = {}
        self._waiters_by_service: dict[str, list[asyncio.Future[None]]] = {}
        self._checked_at = 0.0

    def find(self, name: str) -> PeerLink | None:
        """Return the link to a node, None if no link exists."""
        return self._pool.find(name)

    def open(self, name: str) -> PeerLink | None:
        """Return the link to a node, opened if necessary; None if unknown."""
        return self._pool.open(name)

    def open_count(self) -> int:
        """Return the number of links that exist."""
        return len(self._pool)

    def is_open(self, name: str) -> bool:
        """Whether the link to a node exists and is open."""
        link = self._pool.find(name)
        return link is not None and link.is_open

    def open_links(self) -> list[PeerLink]:
        """Return the links on which frames can be sent."""
        return self._pool.open_links()

    def set_members(self, by_name: Mapping[str, Member]) -> None:
        """Replace the members of the deployment."""
        self._member_by_name = by_name
        self._pool.set_members({
            name: member
            for name, member in by_name.items()
            if name != self._name
        })
        self._plan.set_members(by_name)
        self._apply_plan()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres that are out of service."""
        self._plan.set_evacuated(data_centres)
        self._apply_plan()

    def set_listeners(self, names: Iterable[str]) -> None:
        """Set the nodes to which this node reports the deployment."""
        listener_names = frozenset(names)
        if listener_names != self._listener_names:
            self._listener_names = listener_names
            self._apply_plan()

    def set_watched(self, names: frozenset[str]) -> None:
        """Set the nodes through which this node hears other data centres."""
        if names != self._watched_names:
            self._watched_names = names
            self._apply_plan()

    def planned_members(self, service: str) -> list[str]:
        """Return the members of a service to which links are planned."""
        return [
            name
            for name in self._plan.names
            if self._member_by_name[name].service == service
        ]

    def set_rollout_members(self, names: frozenset[str]) -> None:
        """Set members of a version that is rolled out, which take calls."""
        if names != self._rollout_names:
            self._rollout_names = names
            self._apply_plan()

    def set_usable(self, name: str, is_usable: bool) -> None:
        """Record whether a member can take calls."""
        if self._plan.mark_usable(name, is_usable):
            self._apply_plan()
        member = self._member_by_name.get(name)
        if member is None or not is_usable:
            return
        for waiter in self._waiters_by_service.pop(member.service, []):
            if not waiter.done():
                waiter.set_result(None)

    async def prepare(self, service: str, now: float) -> None:
        """Record a call to a service; wait for its first link to open.

        Parameters
        ----------
        service : str
            Service that is called.
        now : float
            Time in seconds.
        """
        if self._plan.use_service(service, now):
            self._opening_until_by_service[service] = now + OPENING_SECONDS
            self._apply_plan()
        seconds = self._opening_until_by_service.get(service, 0.0) - now
        if seconds <= 0 or self._balancer.has_candidates(service):
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_service.setdefault(service, []).append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            # The choice that follows finds no member and refuses the call.
            return

    def check(self, now: float) -> None:
        """Check links for silent peers, close unused ones; every 0.1 s."""
        self._pool.check(now)
        if now - self._checked_at < PLAN_CHECK_SECONDS:
            return
        self._checked_at = now
        if self._plan.drop_unused(now):
            self._apply_plan()

    def close(self) -> None:
        """Close all links."""
        self._pool.close()

    def _apply_plan(self) -> None:
        candidates = self._plan.names | self._rollout_names
        self._balancer.set_candidates(candidates)
        names = candidates | self._listener_names | self._watched_names
        self._pool.set_planned(names - {self._name})
