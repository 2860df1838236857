"""A fleet in virtual time, for tests, sessions and measurements."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, TypeAlias

from mustardshunt.base import Incarnation
from mustardshunt.rate._holder import Holder, make_holder
from mustardshunt.rate._lease import LeaseWatch, make_lease_watch
from mustardshunt.rate._messages import (
    AskArrived,
    CallWaiting,
    CommitAnswered,
    CommitShares,
    GrantArrived,
    HolderAction,
    HolderEvent,
    LeaseRenewed,
    RatesSeen,
    ReadRow,
    RefuseWaiting,
    ReleaseWaiting,
    RowSeen,
    SendAsk,
    SendGrant,
    Tick,
    WalletAction,
    WalletEvent,
)
from mustardshunt.rate._virtual_table import VirtualTable
from mustardshunt.rate._wallet import Wallet, make_wallet
from mustardshunt.sheet import Organisation

Event: TypeAlias = WalletEvent | HolderEvent
Action: TypeAlias = WalletAction | HolderAction

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

    def refused(self, action: RefuseWaiting, now: float) -> None:
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
class VirtualNode:
    """One node with its wallet, its holder and its own clock offset."""

    name: Incarnation
    data_centre: str
    wallet: Wallet
    holder: Holder
    watch: LeaseWatch
    offset: float = 0.0
    lease_version: int = 0
    tickets: int = 0
    is_alive: bool = True
    is_paused: bool = False
    is_stopping: bool = False
    is_ticking: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class World:
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
        self.table = VirtualTable()
        self.node_by_name: dict[Incarnation, VirtualNode] = {}
        self.cut: set[str] = set()
        self.without_table: set[str] = set()
        self.out: frozenset[str] = frozenset()
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
    ) -> VirtualNode:
        """Start a node, whose lease row is written at once."""
        incarnation = Incarnation(name)
        node = VirtualNode(
            incarnation,
            data_centre,
            make_wallet(incarnation, data_centre),
            make_holder(incarnation, self.lease),
            make_lease_watch(self.lease, self.reclaim_margin),
            offset,
        )
        self.node_by_name[incarnation] = node
        node.lease_version = 1
        self.table.version_by_lease[incarnation] = 1
        sent_at = self.now + offset
        node.holder.handle(LeaseRenewed(sent_at), sent_at)
        node.holder.handle(RatesSeen(self.rates), sent_at)
        node.wallet.handle(RatesSeen(self.rates), sent_at)
        return node

    def set_rates(self, organisations: Iterable[Organisation]) -> None:
        """Put a new sheet in force on all nodes at once."""
        self.rates = {one.name: one for one in organisations}
        for node in self.node_by_name.values():
            self.tell(node, RatesSeen(self.rates))

    def call(self, node: VirtualNode, organisation: str) -> None:
        """Let a caller send one call to a node."""
        self.run_on(node, partial(self._call, node, organisation))

    def run_on(self, node: VirtualNode, action: Callable[[], None]) -> None:
        """Run an action on a node, later when it is paused."""
        if node.is_paused:
            node.backlog.append(action)
        elif node.is_alive:
            action()

    def tell(self, node: VirtualNode, event: Event) -> None:
        """Let a node handle an event when it runs."""
        self.run_on(node, partial(self._handle, node, event))

    def pause(self, node: VirtualNode) -> None:
        """Stop a node's process for a while."""
        node.is_paused = True

    def resume(self, node: VirtualNode) -> None:
        """Let a paused node handle what arrived in the meantime."""
        node.is_paused = False
        backlog = node.backlog
        node.backlog = []
        for action in backlog:
            self.run_on(node, action)

    def live_nodes(self) -> list[VirtualNode]:
        """Return the nodes whose process runs."""
        return [node for node in self.node_by_name.values() if node.is_alive]

    def reaches_table(self, node: VirtualNode) -> bool:
        """Tell whether a node can read and write the table now."""
        cut_off = node.data_centre in self.without_table
        return self.table.is_up and not cut_off

    def _call(self, node: VirtualNode, organisation: str) -> None:
        if node.wallet.spend(organisation, self.now + node.offset):
            self.observer.admitted(organisation, self.now)
            return
        node.tickets += 1
        self._handle(node, CallWaiting(organisation, node.tickets))

    def _handle(self, node: VirtualNode, event: Event) -> None:
        now = self.now + node.offset
        actions: list[Action] = []
        if isinstance(event, WalletEvent):
            actions.extend(node.wallet.handle(event, now))
        if isinstance(event, HolderEvent):
            actions.extend(node.holder.handle(event, now))
        self.observer.handled(node.name, event, actions, self.now)
        for action in actions:
            self._perform(node, action)
        if not node.is_ticking and not node.wallet.is_idle():
            node.is_ticking = True
            self.schedule(_TICK, partial(self._tick, node))

    def _tick(self, node: VirtualNode) -> None:
        node.is_ticking = False
        self.tell(node, Tick())

    def _perform(self, node: VirtualNode, action: Action) -> None:
        match action:
            case SendAsk(holder, ask):
                self._send(node, holder, AskArrived(ask))
            case SendGrant(wallet, grant):
                self._send(node, wallet, GrantArrived(grant))
            case ReleaseWaiting(organisation):
                self.observer.admitted(organisation, self.now)
            case RefuseWaiting():
                self.observer.refused(action, self.now)
            case CommitShares():
                self._commit(node, action)
            case ReadRow(partition):
                self._read(node, partition)

    def _send(
        self,
        node: VirtualNode,
        name: Incarnation,
        event: AskArrived | GrantArrived,
    ) -> None:
        receiver = self.node_by_name.get(name)
        if receiver is None or _is_cut(self.cut, node, receiver):
            return
        if receiver is node:
            self.schedule(0, partial(self.tell, node, event))
            return
        for delay in self.faults.deliver(
            node.data_centre,
            receiver.data_centre,
        ):
            self.schedule(delay, partial(self.tell, receiver, event))

    def _commit(self, node: VirtualNode, action: CommitShares) -> None:
        write_after, answer_after = self.faults.commit()
        if write_after is not None and self.reaches_table(node):
            self.schedule(
                write_after,
                partial(self._write, node, action, answer_after),
            )

    def _write(
        self,
        node: VirtualNode,
        action: CommitShares,
        answer_after: float | None,
    ) -> None:
        outcome = self.table.commit(action.change)
        if answer_after is not None:
            answer = CommitAnswered(action.change, outcome)
            self.schedule(answer_after, partial(self.tell, node, answer))

    def _read(self, node: VirtualNode, partition: int) -> None:
        if self.reaches_table(node):
            self.tell(node, RowSeen(self.table.read(partition)))


def _is_cut(cut: set[str], one: VirtualNode, other: VirtualNode) -> bool:
    if one.data_centre == other.data_centre:
        return False
    return not cut.isdisjoint((one.data_centre, other.data_centre))
