"""Simulation of many nodes in virtual time, for tests and measurements."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, TypeAlias

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import (
    AdmitWaitingCall,
    CallWaiting,
    CommitAnswered,
    CommitShares,
    GrantArrived,
    HolderAction,
    HolderEvent,
    LeaseRenewed,
    RateLimitsChanged,
    ReadRow,
    RefuseWaitingCall,
    SendGrant,
    SendTokenRequest,
    ShareRowRead,
    Tick,
    TokenCacheAction,
    TokenCacheEvent,
    TokenRequestArrived,
)
from mustardshunt.rate._holder import Holder, make_holder
from mustardshunt.rate._lease import LeaseWatch, make_lease_watch
from mustardshunt.rate._simulated_table import SimulatedTable
from mustardshunt.rate._token_cache import TokenCache, make_token_cache
from mustardshunt.sheet import Organisation

Event: TypeAlias = TokenCacheEvent | HolderEvent
Action: TypeAlias = TokenCacheAction | HolderAction

_TICK_SECONDS = 0.02


class Faults(Protocol):
    """Fault model: how messages and writes are delayed, lost or repeated."""

    def deliver(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return the delays in seconds of all delivered copies of a message.

        The result is empty when the message is lost.
        """
        ...

    def commit(self) -> tuple[float | None, float | None]:
        """Return the delays in seconds of a table write and of its reply.

        A delay is None when the write or the reply is lost.
        """
        ...


class Observer(Protocol):
    """Receives admitted calls, refused calls and events of a simulation."""

    def admitted(self, organisation: str, now: float) -> None:
        """Record that a call was admitted with a token."""
        ...

    def refused(self, action: RefuseWaitingCall, now: float) -> None:
        """Record that a call was refused."""
        ...

    def handled(
        self,
        node: Incarnation,
        event: Event,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        """Record that a node handled an event, with the resulting actions."""
        ...


@dataclass(slots=True)
class SimulatedNode:
    """State of one simulated node, with its own clock."""

    name: Incarnation
    data_centre: str
    token_cache: TokenCache
    holder: Holder
    lease_watch: LeaseWatch
    clock_offset: float = 0.0
    lease_version: int = 0
    last_ticket: int = 0
    is_alive: bool = True
    is_paused: bool = False
    is_stopping: bool = False
    is_ticking: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class FleetSimulation:
    """Discrete-event simulation of nodes, their messages and the table.

    Parameters
    ----------
    faults : Faults
        Fault model of messages and commits.
    observer : Observer
        Receives admitted and refused calls and handled events.
    lease : float
        Seconds for which a holder may grant tokens after a renewal.
    reclaim_margin : float
        Seconds after the end of a lease until the share may be reclaimed.
    """

    def __init__(
        self,
        faults: Faults,
        observer: Observer,
        lease: float,
        reclaim_margin: float,
    ) -> None:
        self.faults = faults
        self.observer = observer
        self.lease = lease
        self.reclaim_margin = reclaim_margin
        self.now = 0.0
        self.table = SimulatedTable()
        self.node_by_name: dict[Incarnation, SimulatedNode] = {}
        self.partitioned_data_centres: set[str] = set()
        self.data_centres_without_table: set[str] = set()
        self.out_of_service: frozenset[str] = frozenset()
        self.rates: dict[str, Organisation] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Queue an action to run after a delay in seconds of virtual time."""
        self._scheduled_count += 1
        item = (self.now + delay, self._scheduled_count, action)
        heapq.heappush(self._queue, item)

    def run_until(self, until: float) -> None:
        """Run all actions that are due up to a virtual time, in seconds."""
        while self._queue and self._queue[0][0] <= until:
            item = heapq.heappop(self._queue)
            self.now = item[0]
            item[2]()
        self.now = until

    def start_node(
        self,
        name: str,
        data_centre: str,
        clock_offset: float = 0.0,
    ) -> SimulatedNode:
        """Start a node and write the node's lease row at once.

        Parameters
        ----------
        name : str
            Name of the node.
        data_centre : str
            Data centre of the node.
        clock_offset : float, default=0.0
            Seconds by which the node's clock is ahead of the virtual time.
        """
        incarnation = Incarnation(name)
        node = SimulatedNode(
            incarnation,
            data_centre,
            make_token_cache(incarnation, data_centre),
            make_holder(incarnation, self.lease),
            make_lease_watch(self.lease, self.reclaim_margin),
            clock_offset,
        )
        self.node_by_name[incarnation] = node
        node.lease_version = 1
        self.table.version_by_lease[incarnation] = 1
        sent_at = self.now + clock_offset
        node.holder.handle(LeaseRenewed(sent_at), sent_at)
        node.holder.handle(RateLimitsChanged(self.rates), sent_at)
        node.token_cache.handle(RateLimitsChanged(self.rates), sent_at)
        return node

    def set_rates(self, organisations: Iterable[Organisation]) -> None:
        """Apply new rates and bursts at all nodes at once."""
        self.rates = {one.name: one for one in organisations}
        for node in self.node_by_name.values():
            self.deliver(node, RateLimitsChanged(self.rates))

    def call(self, node: SimulatedNode, organisation: str) -> None:
        """Simulate one call of an organisation that enters at a node."""
        self.run_on(node, partial(self._call, node, organisation))

    def run_on(self, node: SimulatedNode, action: Callable[[], None]) -> None:
        """Run an action on a live node, or queue the action during a pause."""
        if node.is_paused:
            node.backlog.append(action)
        elif node.is_alive:
            action()

    def deliver(self, node: SimulatedNode, event: Event) -> None:
        """Let a node handle an event; queue the event if the node is paused."""
        self.run_on(node, partial(self._handle, node, event))

    def pause(self, node: SimulatedNode) -> None:
        """Pause a node; its actions are queued until the node resumes."""
        node.is_paused = True

    def resume(self, node: SimulatedNode) -> None:
        """Resume a paused node and run the queued actions."""
        node.is_paused = False
        backlog = node.backlog
        node.backlog = []
        for action in backlog:
            self.run_on(node, action)

    def live_nodes(self) -> list[SimulatedNode]:
        """Return the nodes that are alive, including paused nodes."""
        return [node for node in self.node_by_name.values() if node.is_alive]

    def reaches_table(self, node: SimulatedNode) -> bool:
        """Tell whether a node can read and write the table now."""
        is_cut_off = node.data_centre in self.data_centres_without_table
        return self.table.is_up and not is_cut_off

    def _call(self, node: SimulatedNode, organisation: str) -> None:
        if node.token_cache.spend(organisation, self.now + node.clock_offset):
            self.observer.admitted(organisation, self.now)
            return
        node.last_ticket += 1
        self._handle(node, CallWaiting(organisation, node.last_ticket))

    def _handle(self, node: SimulatedNode, event: Event) -> None:
        now = self.now + node.clock_offset
        actions: list[Action] = []
        if isinstance(event, TokenCacheEvent):
            actions.extend(node.token_cache.handle(event, now))
        if isinstance(event, HolderEvent):
            actions.extend(node.holder.handle(event, now))
        self.observer.handled(node.name, event, actions, self.now)
        for action in actions:
            self._perform(node, action)
        if not node.is_ticking and not node.token_cache.is_idle():
            node.is_ticking = True
            self.schedule(_TICK_SECONDS, partial(self._tick, node))

    def _tick(self, node: SimulatedNode) -> None:
        node.is_ticking = False
        self.deliver(node, Tick())

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case SendTokenRequest(holder, request):
                self._send(node, holder, TokenRequestArrived(request))
            case SendGrant(requester, grant):
                self._send(node, requester, GrantArrived(grant))
            case AdmitWaitingCall(organisation):
                self.observer.admitted(organisation, self.now)
            case RefuseWaitingCall():
                self.observer.refused(action, self.now)
            case CommitShares():
                self._commit(node, action)
            case ReadRow(partition):
                self._read(node, partition)

    def _send(
        self,
        node: SimulatedNode,
        name: Incarnation,
        event: TokenRequestArrived | GrantArrived,
    ) -> None:
        receiver = self.node_by_name.get(name)
        if receiver is None or _is_partitioned(
            self.partitioned_data_centres, node, receiver
        ):
            return
        if receiver is node:
            self.schedule(0, partial(self.deliver, node, event))
            return
        for delay in self.faults.deliver(
            node.data_centre,
            receiver.data_centre,
        ):
            self.schedule(delay, partial(self.deliver, receiver, event))

    def _commit(self, node: SimulatedNode, action: CommitShares) -> None:
        write_after, reply_after = self.faults.commit()
        if write_after is not None and self.reaches_table(node):
            self.schedule(
                write_after,
                partial(self._write, node, action, reply_after),
            )

    def _write(
        self,
        node: SimulatedNode,
        action: CommitShares,
        reply_after: float | None,
    ) -> None:
        outcome = self.table.commit(action.change)
        if reply_after is not None:
            event = CommitAnswered(action.change, outcome)
            self.schedule(reply_after, partial(self.deliver, node, event))

    def _read(self, node: SimulatedNode, partition: int) -> None:
        if self.reaches_table(node):
            self.deliver(node, ShareRowRead(self.table.read(partition)))


def _is_partitioned(
    partitioned: set[str], one: SimulatedNode, other: SimulatedNode
) -> bool:
    if one.data_centre == other.data_centre:
        return False
    return not partitioned.isdisjoint((one.data_centre, other.data_centre))
