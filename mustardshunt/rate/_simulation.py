"""A fleet in virtual time, for tests, sessions and measurements."""

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

_TICK = 0.02


class Faults(Protocol):
    """What happens to messages and commits on their way."""

    def deliver(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return the delay of each copy between two data centres."""
        ...

    def commit(self) -> tuple[float | None, float | None]:
        """Return the delays of a write and of its answer, None if lost."""
        ...


class Observer(Protocol):
    """Takes what happens in the world."""

    def admitted(self, organisation: str, now: float) -> None:
        """A call got its token."""
        ...

    def refused(self, action: RefuseWaitingCall, now: float) -> None:
        """A call got no token."""
        ...

    def handled(
        self,
        node: Incarnation,
        event: Event,
        actions: Iterable[Action],
        now: float,
    ) -> None:
        """A node handled an event."""
        ...


@dataclass(slots=True)
class SimulatedNode:
    """One node with its wallet, its holder and its own clock offset."""

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
    """Nodes, messages, the table and a virtual clock.

    Parameters
    ----------
    faults : Faults
        Delays, losses and repeats.
    observer : Observer
        Takes what happens.
    lease : float
        Lease of holders in seconds.
    reclaim_margin : float
        Seconds that watchers add to the lease.
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
        self._scheduled = 0

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._scheduled += 1
        due = (self.now + delay, self._scheduled, action)
        heapq.heappush(self._queue, due)

    def run_until(self, until: float) -> None:
        """Let the virtual time pass."""
        while self._queue and self._queue[0][0] <= until:
            due = heapq.heappop(self._queue)
            self.now = due[0]
            due[2]()
        self.now = until

    def start_node(
        self,
        name: str,
        data_centre: str,
        offset: float = 0.0,
    ) -> SimulatedNode:
        """Start a node, whose lease row is written at once."""
        incarnation = Incarnation(name)
        node = SimulatedNode(
            incarnation,
            data_centre,
            make_token_cache(incarnation, data_centre),
            make_holder(incarnation, self.lease),
            make_lease_watch(self.lease, self.reclaim_margin),
            offset,
        )
        self.node_by_name[incarnation] = node
        node.lease_version = 1
        self.table.version_by_lease[incarnation] = 1
        sent_at = self.now + offset
        node.holder.handle(LeaseRenewed(sent_at), sent_at)
        node.holder.handle(RateLimitsChanged(self.rates), sent_at)
        node.token_cache.handle(RateLimitsChanged(self.rates), sent_at)
        return node

    def set_rates(self, organisations: Iterable[Organisation]) -> None:
        """Put a new sheet in force on all nodes at once."""
        self.rates = {one.name: one for one in organisations}
        for node in self.node_by_name.values():
            self.deliver(node, RateLimitsChanged(self.rates))

    def call(self, node: SimulatedNode, organisation: str) -> None:
        """Let a caller send one call to a node."""
        self.run_on(node, partial(self._call, node, organisation))

    def run_on(self, node: SimulatedNode, action: Callable[[], None]) -> None:
        """Run an action on a node, later when it is paused."""
        if node.is_paused:
            node.backlog.append(action)
        elif node.is_alive:
            action()

    def deliver(self, node: SimulatedNode, event: Event) -> None:
        """Let a node handle an event when it runs."""
        self.run_on(node, partial(self._handle, node, event))

    def pause(self, node: SimulatedNode) -> None:
        """Stop a node's process for a while."""
        node.is_paused = True

    def resume(self, node: SimulatedNode) -> None:
        """Let a paused node handle what arrived in the meantime."""
        node.is_paused = False
        backlog = node.backlog
        node.backlog = []
        for action in backlog:
            self.run_on(node, action)

    def live_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose process runs."""
        return [node for node in self.node_by_name.values() if node.is_alive]

    def reaches_table(self, node: SimulatedNode) -> bool:
        """Tell whether a node can read and write the table now."""
        cut_off = node.data_centre in self.data_centres_without_table
        return self.table.is_up and not cut_off

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
            self.schedule(_TICK, partial(self._tick, node))

    def _tick(self, node: SimulatedNode) -> None:
        node.is_ticking = False
        self.deliver(node, Tick())

    def _perform(self, node: SimulatedNode, action: Action) -> None:
        match action:
            case SendTokenRequest(holder, ask):
                self._send(node, holder, TokenRequestArrived(ask))
            case SendGrant(wallet, grant):
                self._send(node, wallet, GrantArrived(grant))
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
        if receiver is None or _is_cut(
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
        write_after, answer_after = self.faults.commit()
        if write_after is not None and self.reaches_table(node):
            self.schedule(
                write_after,
                partial(self._write, node, action, answer_after),
            )

    def _write(
        self,
        node: SimulatedNode,
        action: CommitShares,
        answer_after: float | None,
    ) -> None:
        outcome = self.table.commit(action.change)
        if answer_after is not None:
            answer = CommitAnswered(action.change, outcome)
            self.schedule(answer_after, partial(self.deliver, node, answer))

    def _read(self, node: SimulatedNode, partition: int) -> None:
        if self.reaches_table(node):
            self.deliver(node, ShareRowRead(self.table.read(partition)))


def _is_cut(cut: set[str], one: SimulatedNode, other: SimulatedNode) -> bool:
    if one.data_centre == other.data_centre:
        return False
    return not cut.isdisjoint((one.data_centre, other.data_centre))
