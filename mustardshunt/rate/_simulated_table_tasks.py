"""Periodic work of a simulated node: table readings, leases and shares."""

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
    simulation: FleetSimulation, node: SimulatedNode, period: float
) -> None:
    """Schedule the periodic table work of a node.

    Parameters
    ----------
    simulation : FleetSimulation
        Simulation that the node belongs to.
    node : SimulatedNode
        Node that reads the rows, renews its lease, watches the leases of
        others and rebalances its shares.
    period : float
        Interval between two rounds of the work, in seconds of virtual time.
    """
    simulation.schedule(
        0, partial(_repeat_table_tasks, simulation, node, period)
    )


def read_rows(simulation: FleetSimulation, node: SimulatedNode) -> None:
    """Read all organisations' share rows, if the node reaches the table."""
    if not simulation.reaches_table(node):
        return
    for partition in sorted({partition_of(name) for name in simulation.rates}):
        simulation.deliver(node, ShareRowRead(simulation.table.read(partition)))


def declare_gone(
    simulation: FleetSimulation,
    gone: Incarnation,
    successor: Incarnation | None = None,
) -> None:
    """Delete the lease row of a node that is gone, and notify live nodes."""
    version = simulation.table.version_by_lease.get(gone, 0)
    outcome = simulation.table.delete_lease(gone, version)
    if outcome is not CommitOutcome.COMMITTED:
        return
    _notify_holder_gone(simulation, HolderGone(gone, successor))


def _notify_holder_gone(simulation: FleetSimulation, event: HolderGone) -> None:
    for node in simulation.live_nodes():
        if simulation.reaches_table(node):
            simulation.deliver(node, event)


def _repeat_table_tasks(
    simulation: FleetSimulation, node: SimulatedNode, period: float
) -> None:
    if not node.is_alive:
        return
    simulation.schedule(
        period, partial(_repeat_table_tasks, simulation, node, period)
    )
    simulation.run_on(node, partial(_run_table_tasks, simulation, node))


def _run_table_tasks(simulation: FleetSimulation, node: SimulatedNode) -> None:
    simulation.deliver(
        node, EligibleHoldersChanged(_eligible_holders(simulation))
    )
    if simulation.reaches_table(node):
        _renew_lease(simulation, node)
        read_rows(simulation, node)
        _watch_leases(simulation, node)
        _report_gone_holders(simulation, node)
        simulation.deliver(node, RebalanceDue())
    simulation.deliver(node, Tick())


def _report_gone_holders(
    simulation: FleetSimulation, node: SimulatedNode
) -> None:
    # The event is sent again with each reading of the table, because the node
    # may have missed an earlier event.
    for row in simulation.table.row_by_partition.values():
        for holder in row.share_by_holder:
            if holder not in simulation.table.version_by_lease:
                simulation.deliver(node, HolderGone(holder))


def _eligible_holders(simulation: FleetSimulation) -> EligibleHolders:
    return EligibleHolders(
        {
            node.name: node.data_centre
            for node in simulation.live_nodes()
            if node.name in simulation.table.version_by_lease
            and not node.is_stopping
        },
        simulation.out_of_service,
    )


def _renew_lease(simulation: FleetSimulation, node: SimulatedNode) -> None:
    write_after, reply_after = simulation.faults.commit()
    if write_after is None or reply_after is None:
        return
    sent_at = simulation.now + node.clock_offset
    simulation.schedule(
        write_after,
        partial(_write_lease, simulation, node, sent_at, reply_after),
    )


def _write_lease(
    simulation: FleetSimulation,
    node: SimulatedNode,
    sent_at: float,
    reply_after: float,
) -> None:
    version = node.lease_version
    outcome = simulation.table.renew_lease(node.name, version)
    if outcome is CommitOutcome.UNKNOWN:
        return
    if outcome is CommitOutcome.CONFLICT:
        lease_lost = LeaseLost()
        simulation.schedule(
            reply_after, partial(simulation.deliver, node, lease_lost)
        )
        return
    node.lease_version = version + 1
    lease_renewed = LeaseRenewed(sent_at)
    simulation.schedule(
        reply_after, partial(simulation.deliver, node, lease_renewed)
    )


def _watch_leases(simulation: FleetSimulation, node: SimulatedNode) -> None:
    now = simulation.now + node.clock_offset
    leases = simulation.table.version_by_lease
    for holder, version in leases.items():
        node.lease_watch.observe(holder, version, now)
    for expired in node.lease_watch.find_expired(now):
        node.lease_watch.forget(expired.holder)
        outcome = simulation.table.delete_lease(expired.holder, expired.version)
        if outcome is CommitOutcome.COMMITTED:
            _notify_holder_gone(simulation, HolderGone(expired.holder))
