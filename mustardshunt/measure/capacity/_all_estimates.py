"""Totals of all roles at the design size, worked out from the slopes."""

from typing import Final

from mustardshunt.measure.capacity._control_traffic import (
    ANY_NODE,
    ControlTraffic,
)
from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._estimates import Estimate, sum_estimates
from mustardshunt.measure.capacity._measurements import Measurements
from mustardshunt.measure.capacity._processor_estimates import (
    list_processor_estimates,
)
from mustardshunt.node._config_sync import CONFIG_POLL_INTERVAL_SECONDS
from mustardshunt.node._reclaim import MAX_RECLAIM_INTERVAL_SECONDS
from mustardshunt.node._registration import LEASE_RENEWAL_INTERVAL_SECONDS
from mustardshunt.node._share_table_sync import SHARE_READ_INTERVAL_SECONDS
from mustardshunt.outcomes._log import RETENTION_SECONDS

_MEGABYTE: Final = 1e6
_NEAR_DELAY: Final = 0.0005
_FAR_DELAY: Final = 0.02
# A head, the ask for a section and the section.
_MESSAGES_PER_HOP: Final = 3
_POLL_SPREAD: Final = 1.2
# Reading a row before it is written, and the writes of a reporter while its
# data centre takes a version up.
_REPORTS_PER_CHANGE: Final = 3
# A data centre is left and entered once on a way through the fleet.
_FAR_HOPS: Final = 2
_PER_SECOND: Final = '/s'


def list_estimates(
    size: DesignSize,
    slopes: Measurements,
    limits: Limits,
) -> list[Estimate]:
    """Work out all figures.

    Parameters
    ----------
    size : DesignSize
        Size to work it out for.
    slopes : Measurements
        What was measured.
    limits : Limits
        Targets.
    """
    control = ControlTraffic(size, slopes, limits)
    return [
        *control.list_estimates(),
        *control.list_role_estimates(),
        *list_processor_estimates(size, slopes, limits),
        *_list_memory(size, slopes, limits),
        *_list_platform(size, limits),
        *_list_in_force(size, slopes, limits),
        *_list_call(slopes, limits),
    ]


def join_seconds(size: DesignSize, slopes: Measurements) -> float:
    """Return the seconds of putting a sheet in force on one node."""
    work = slopes.work
    return (
        work.join
        + size.keys * work.join_key
        + size.organisations * work.join_organisation
        + size.routes * work.join_route
    )


def _list_memory(
    size: DesignSize,
    slopes: Measurements,
    limits: Limits,
) -> list[Estimate]:
    memory = slopes.memory
    base = slopes.processes.memory_alone
    outcomes = (
        size.calls_per_second
        / size.nodes
        * size.non_idempotent_fraction
        * RETENTION_SECONDS
    )
    outcome = memory.outcome + size.answer_bytes
    in_use = size.organisations * size.entry_nodes / size.nodes
    parts = [
        Estimate(
            ANY_NODE, 'process alone', base, 'MB', 'resident, one real node'
        ),
        _megabytes('members', memory.member, size.nodes),
        _megabytes('organisations', memory.organisation, size.organisations),
        _megabytes('keys', memory.key, size.keys),
        _megabytes('routes', memory.route, size.routes),
        _megabytes('wallet, near', memory.wallet, in_use),
        _megabytes('outcomes', outcome, outcomes),
        # Each node calls each other one within a minute, and is called.
        _megabytes('links', memory.link / 2, 2 * (size.nodes - 1)),
    ]
    return [*parts, sum_estimates(ANY_NODE, 'memory', parts, limits.memory)]


def _megabytes(name: str, each: float, count: float) -> Estimate:
    slope = f'{each:.0f} B x {count:.0f}'
    return Estimate(ANY_NODE, name, each * count / _MEGABYTE, 'MB', slope)


def _list_platform(size: DesignSize, limits: Limits) -> list[Estimate]:
    nodes = size.nodes
    reports = (
        size.config_changes_per_day
        * size.data_centres
        * _REPORTS_PER_CHANGE
        / 86_400
    )
    reads = [
        _rate('reads of the head', nodes, CONFIG_POLL_INTERVAL_SECONDS),
        _rate('readings of the shares', nodes, SHARE_READ_INTERVAL_SECONDS),
        _rate(
            'lists of reporters',
            2 * size.data_centres,
            MAX_RECLAIM_INTERVAL_SECONDS,
        ),
    ]
    writes = [
        _rate('rows of nodes', nodes, LEASE_RENEWAL_INTERVAL_SECONDS),
        Estimate(
            'platform',
            'keyed orders',
            2 * size.keyed_orders_per_second,
            _PER_SECOND,
            f'2 x {size.keyed_orders_per_second:g}/s',
        ),
        Estimate(
            'platform',
            'confirmations',
            reports,
            _PER_SECOND,
            f'{_REPORTS_PER_CHANGE} x {size.data_centres} data centres'
            f' x {size.config_changes_per_day:g} a day',
        ),
    ]
    return [
        *reads,
        sum_estimates('platform', 'reads', reads, limits.platform_reads),
        *writes,
        sum_estimates('platform', 'writes', writes, limits.platform_writes),
    ]


def _rate(name: str, count: float, seconds: float) -> Estimate:
    slope = f'{count:g} / {seconds:g} s'
    return Estimate('platform', name, count / seconds, _PER_SECOND, slope)


def _list_in_force(
    size: DesignSize,
    slopes: Measurements,
    limits: Limits,
) -> list[Estimate]:
    join = join_seconds(size, slopes)
    hops = slopes.mesh.hops
    near = (hops - _FAR_HOPS) * _NEAR_DELAY + _FAR_HOPS * _FAR_DELAY
    flood = hops * join + _MESSAGES_PER_HOP * near
    poll = CONFIG_POLL_INTERVAL_SECONDS * _POLL_SPREAD + join
    return [
        Estimate(
            'sheet',
            'join on one node (shared machine)',
            join,
            's',
            f'{size.keys} keys x {1e6 * slopes.work.join_key:.1f} us,'
            f' {size.organisations} organisations'
            f' x {1e6 * slopes.work.join_organisation:.1f} us,'
            f' {size.routes} routes x {1e6 * slopes.work.join_route:.1f} us',
        ),
        Estimate(
            'sheet',
            'in force everywhere by flood (shared machine)',
            flood,
            's',
            f'{hops} hops x (join + 3 messages)',
            limits.propagation_seconds,
        ),
        Estimate(
            'sheet',
            'in force on one node by its poll (shared machine)',
            poll,
            's',
            f'{CONFIG_POLL_INTERVAL_SECONDS:g} s x {_POLL_SPREAD:g} + join',
            limits.propagation_seconds,
        ),
    ]


def _list_call(slopes: Measurements, limits: Limits) -> list[Estimate]:
    found = slopes.processes
    ratio = found.added_p50 / found.bare_p50
    return [
        Estimate(
            'entry node',
            'added at p99 by two nodes (shared machine)',
            found.added_p99,
            'ms',
            f'two bare hops {found.bare_p99:.2f} ms',
            limits.added_p99,
        ),
        Estimate(
            'entry node',
            'added at p50 by two nodes, ratio to two bare hops',
            ratio,
            '',
            f'{found.added_p50:.3f} / {found.bare_p50:.3f} ms',
        ),
        Estimate(
            'node beside a backend server',
            'processor of a call, ratio to a bare hop',
            found.call_processor / found.bare_processor,
            '',
            f'{found.call_processor:.3f} / {found.bare_processor:.3f} ms',
        ),
    ]
