"""What a node of the virtual fleet does with the table from time to time."""

from functools import partial

from mustardshunt.base import Incarnation
from mustardshunt.rate._messages import (
    FleetSeen,
    HolderGone,
    LeaseLost,
    LeaseRenewed,
    Outcome,
    RebalanceDue,
    RowSeen,
    Tick,
)
from mustardshunt.rate._table import FleetView
from mustardshunt.rate._units import partition_of
from mustardshunt.rate._world import VirtualNode, World


def start_upkeep(world: World, node: VirtualNode, period: float) -> None:
    """Let a node read the table, renew and rebalance periodically."""
    world.schedule(0, partial(_run_upkeep, world, node, period))


def read_rows(world: World, node: VirtualNode) -> None:
    """Let a node read all share rows in use."""
    if not world.reaches_table(node):
        return
    for partition in sorted({partition_of(name) for name in world.rates}):
        world.tell(node, RowSeen(world.table.read(partition)))


def declare_gone(
    world: World,
    dead: Incarnation,
    successor: Incarnation | None = None,
) -> None:
    """Delete the lease row of a dead node and tell the others."""
    version = world.table.version_by_lease.get(dead, 0)
    outcome = world.table.delete_lease(dead, version)
    if outcome is not Outcome.COMMITTED:
        return
    _tell_gone(world, HolderGone(dead, successor))


def _tell_gone(world: World, event: HolderGone) -> None:
    for node in world.live_nodes():
        if world.reaches_table(node):
            world.tell(node, event)


def _run_upkeep(world: World, node: VirtualNode, period: float) -> None:
    if not node.is_alive:
        return
    world.schedule(period, partial(_run_upkeep, world, node, period))
    world.run_on(node, partial(_keep_up, world, node))


def _keep_up(world: World, node: VirtualNode) -> None:
    world.tell(node, FleetSeen(_view(world)))
    if world.reaches_table(node):
        _renew(world, node)
        read_rows(world, node)
        _watch_leases(world, node)
        _find_gone(world, node)
        world.tell(node, RebalanceDue())
    world.tell(node, Tick())


def _find_gone(world: World, node: VirtualNode) -> None:
    # Repeated at each reading: a node may have missed the first notice.
    for row in world.table.row_by_partition.values():
        for holder in row.share_by_holder:
            if holder not in world.table.version_by_lease:
                world.tell(node, HolderGone(holder))


def _view(world: World) -> FleetView:
    return FleetView(
        {
            node.name: node.data_centre
            for node in world.live_nodes()
            if node.name in world.table.version_by_lease
            and not node.is_stopping
        },
        world.out,
    )


def _renew(world: World, node: VirtualNode) -> None:
    write_after, answer_after = world.faults.commit()
    if write_after is None or answer_after is None:
        return
    sent_at = world.now + node.offset
    world.schedule(
        write_after,
        partial(_write_lease, world, node, sent_at, answer_after),
    )


def _write_lease(
    world: World,
    node: VirtualNode,
    sent_at: float,
    answer_after: float,
) -> None:
    version = node.lease_version
    outcome = world.table.renew_lease(node.name, version)
    if outcome is Outcome.UNKNOWN:
        return
    if outcome is Outcome.CONFLICT:
        lost = LeaseLost()
        world.schedule(answer_after, partial(world.tell, node, lost))
        return
    node.lease_version = version + 1
    renewed = LeaseRenewed(sent_at)
    world.schedule(answer_after, partial(world.tell, node, renewed))


def _watch_leases(world: World, node: VirtualNode) -> None:
    now = world.now + node.offset
    leases = world.table.version_by_lease
    for holder, version in leases.items():
        node.watch.see(holder, version, now)
    for expired in node.watch.choose_expired(now):
        node.watch.forget(expired.holder)
        outcome = world.table.delete_lease(expired.holder, expired.version)
        if outcome is Outcome.COMMITTED:
            _tell_gone(world, HolderGone(expired.holder))
