"""What a node of the virtual fleet does with the table from time to time."""

from functools import partial

from mustardshunt.base import Incarnation
from mustardshunt.rate._events import (
    CommitOutcome,
    EligibleHoldersChanged,
    HolderGone,
    LeaseLost,
    LeaseRenewed,
    RebalanceDue,
    ShareRowRead,
    Tick,
)
from mustardshunt.rate._share_rules import EligibleHolders
from mustardshunt.rate._simulation import FleetSimulation, SimulatedNode
from mustardshunt.rate._units import partition_of


def start_table_tasks(
    world: FleetSimulation, node: SimulatedNode, period: float
) -> None:
    """Let a node read the table, renew and rebalance periodically."""
    world.schedule(0, partial(_run_upkeep, world, node, period))


def read_rows(world: FleetSimulation, node: SimulatedNode) -> None:
    """Let a node read all share rows in use."""
    if not world.reaches_table(node):
        return
    for partition in sorted({partition_of(name) for name in world.rates}):
        world.deliver(node, ShareRowRead(world.table.read(partition)))


def declare_gone(
    world: FleetSimulation,
    dead: Incarnation,
    successor: Incarnation | None = None,
) -> None:
    """Delete the lease row of a dead node and tell the others."""
    version = world.table.version_by_lease.get(dead, 0)
    outcome = world.table.delete_lease(dead, version)
    if outcome is not CommitOutcome.COMMITTED:
        return
    _tell_gone(world, HolderGone(dead, successor))


def _tell_gone(world: FleetSimulation, event: HolderGone) -> None:
    for node in world.live_nodes():
        if world.reaches_table(node):
            world.deliver(node, event)


def _run_upkeep(
    world: FleetSimulation, node: SimulatedNode, period: float
) -> None:
    if not node.is_alive:
        return
    world.schedule(period, partial(_run_upkeep, world, node, period))
    world.run_on(node, partial(_keep_up, world, node))


def _keep_up(world: FleetSimulation, node: SimulatedNode) -> None:
    world.deliver(node, EligibleHoldersChanged(_view(world)))
    if world.reaches_table(node):
        _renew(world, node)
        read_rows(world, node)
        _watch_leases(world, node)
        _find_gone(world, node)
        world.deliver(node, RebalanceDue())
    world.deliver(node, Tick())


def _find_gone(world: FleetSimulation, node: SimulatedNode) -> None:
    # Repeated at each reading: a node may have missed the first notice.
    for row in world.table.row_by_partition.values():
        for holder in row.share_by_holder:
            if holder not in world.table.version_by_lease:
                world.deliver(node, HolderGone(holder))


def _view(world: FleetSimulation) -> EligibleHolders:
    return EligibleHolders(
        {
            node.name: node.data_centre
            for node in world.live_nodes()
            if node.name in world.table.version_by_lease
            and not node.is_stopping
        },
        world.out_of_service,
    )


def _renew(world: FleetSimulation, node: SimulatedNode) -> None:
    write_after, answer_after = world.faults.commit()
    if write_after is None or answer_after is None:
        return
    sent_at = world.now + node.clock_offset
    world.schedule(
        write_after,
        partial(_write_lease, world, node, sent_at, answer_after),
    )


def _write_lease(
    world: FleetSimulation,
    node: SimulatedNode,
    sent_at: float,
    answer_after: float,
) -> None:
    version = node.lease_version
    outcome = world.table.renew_lease(node.name, version)
    if outcome is CommitOutcome.UNKNOWN:
        return
    if outcome is CommitOutcome.CONFLICT:
        lost = LeaseLost()
        world.schedule(answer_after, partial(world.deliver, node, lost))
        return
    node.lease_version = version + 1
    renewed = LeaseRenewed(sent_at)
    world.schedule(answer_after, partial(world.deliver, node, renewed))


def _watch_leases(world: FleetSimulation, node: SimulatedNode) -> None:
    now = world.now + node.clock_offset
    leases = world.table.version_by_lease
    for holder, version in leases.items():
        node.lease_watch.observe(holder, version, now)
    for expired in node.lease_watch.find_expired(now):
        node.lease_watch.forget(expired.holder)
        outcome = world.table.delete_lease(expired.holder, expired.version)
        if outcome is CommitOutcome.COMMITTED:
            _tell_gone(world, HolderGone(expired.holder))
