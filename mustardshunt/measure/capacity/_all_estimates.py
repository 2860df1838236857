"""Totals of all roles at the design size, worked out from the slopes."""

from typing import Final

from mustardshunt.measure.capacity._control_bytes import ANY, ControlBytes
from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._figures import Figure, add_figures
from mustardshunt.measure.capacity._processor import list_processor
from mustardshunt.measure.capacity._slopes import Slopes
from mustardshunt.node._config_sync import POLL_SECONDS
from mustardshunt.node._reclaim import LAST_SECONDS
from mustardshunt.node._registration import RENEW_SECONDS
from mustardshunt.node._share_table import READ_SECONDS
from mustardshunt.outcomes._log import MEMORY

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


def list_totals(
    size: DesignSize,
    slopes: Slopes,
    limits: Limits,
) -> list[Figure]:
    """Work out all figures.

    Parameters
    ----------
    size : DesignSize
        Size to work it out for.
    slopes : Slopes
        What was measured.
    limits : Limits
        Targets.
    """
    control = ControlBytes(size, slopes, limits)
    return [
        *control.list_figures(),
        *control.list_roles(),
        *list_processor(size, slopes, limits),
        *_list_memory(size, slopes, limits),
        *_list_platform(size, limits),
        *_list_in_force(size, slopes, limits),
        *_list_call(slopes, limits),
    ]


def join_seconds(size: DesignSize, slopes: Slopes) -> float:
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
    slopes: Slopes,
    limits: Limits,
) -> list[Figure]:
    memory = slopes.memory
    base = slopes.processes.memory_alone
    outcomes = size.calls / size.nodes * size.non_idempotent * MEMORY
    outcome = memory.outcome + size.answer_bytes
    in_use = size.organisations * size.entry_nodes / size.nodes
    parts = [
        Figure(ANY, 'process alone', base, 'MB', 'resident, one real node'),
        _megabytes('members', memory.member, size.nodes),
        _megabytes('organisations', memory.organisation, size.organisations),
        _megabytes('keys', memory.key, size.keys),
        _megabytes('routes', memory.route, size.routes),
        _megabytes('wallet, near', memory.wallet, in_use),
        _megabytes('outcomes', outcome, outcomes),
        # Each node calls each other one within a minute, and is called.
        _megabytes('links', memory.link / 2, 2 * (size.nodes - 1)),
    ]
    return [*parts, add_figures(ANY, 'memory', parts, limits.memory)]


def _megabytes(name: str, each: float, count: float) -> Figure:
    slope = f'{each:.0f} B x {count:.0f}'
    return Figure(ANY, name, each * count / _MEGABYTE, 'MB', slope)


def _list_platform(size: DesignSize, limits: Limits) -> list[Figure]:
    nodes = size.nodes
    reports = size.changes * size.data_centres * _REPORTS_PER_CHANGE / 86_400
    reads = [
        _rate('reads of the head', nodes, POLL_SECONDS),
        _rate('readings of the shares', nodes, READ_SECONDS),
        _rate('lists of reporters', 2 * size.data_centres, LAST_SECONDS),
    ]
    writes = [
        _rate('rows of nodes', nodes, RENEW_SECONDS),
        Figure(
            'platform',
            'keyed orders',
            2 * size.keyed_orders,
            _PER_SECOND,
            f'2 x {size.keyed_orders:g}/s',
        ),
        Figure(
            'platform',
            'confirmations',
            reports,
            _PER_SECOND,
            f'{_REPORTS_PER_CHANGE} x {size.data_centres} data centres'
            f' x {size.changes:g} a day',
        ),
    ]
    return [
        *reads,
        add_figures('platform', 'reads', reads, limits.platform_reads),
        *writes,
        add_figures('platform', 'writes', writes, limits.platform_writes),
    ]


def _rate(name: str, count: float, seconds: float) -> Figure:
    slope = f'{count:g} / {seconds:g} s'
    return Figure('platform', name, count / seconds, _PER_SECOND, slope)


def _list_in_force(
    size: DesignSize,
    slopes: Slopes,
    limits: Limits,
) -> list[Figure]:
    join = join_seconds(size, slopes)
    hops = slopes.mesh.hops
    near = (hops - _FAR_HOPS) * _NEAR_DELAY + _FAR_HOPS * _FAR_DELAY
    flood = hops * join + _MESSAGES_PER_HOP * near
    poll = POLL_SECONDS * _POLL_SPREAD + join
    return [
        Figure(
            'sheet',
            'join on one node (shared machine)',
            join,
            's',
            f'{size.keys} keys x {1e6 * slopes.work.join_key:.1f} us,'
            f' {size.organisations} organisations'
            f' x {1e6 * slopes.work.join_organisation:.1f} us,'
            f' {size.routes} routes x {1e6 * slopes.work.join_route:.1f} us',
        ),
        Figure(
            'sheet',
            'in force everywhere by flood (shared machine)',
            flood,
            's',
            f'{hops} hops x (join + 3 messages)',
            limits.in_force_seconds,
        ),
        Figure(
            'sheet',
            'in force on one node by its poll (shared machine)',
            poll,
            's',
            f'{POLL_SECONDS:g} s x {_POLL_SPREAD:g} + join',
            limits.in_force_seconds,
        ),
    ]


def _list_call(slopes: Slopes, limits: Limits) -> list[Figure]:
    found = slopes.processes
    ratio = found.added_p50 / found.bare_p50
    return [
        Figure(
            'entry node',
            'added at p99 by two nodes (shared machine)',
            found.added_p99,
            'ms',
            f'two bare hops {found.bare_p99:.2f} ms',
            limits.added_p99,
        ),
        Figure(
            'entry node',
            'added at p50 by two nodes, ratio to two bare hops',
            ratio,
            '',
            f'{found.added_p50:.3f} / {found.bare_p50:.3f} ms',
        ),
        Figure(
            'node beside a backend server',
            'processor of a call, ratio to a bare hop',
            found.call_processor / found.bare_processor,
            '',
            f'{found.call_processor:.3f} / {found.bare_processor:.3f} ms',
        ),
    ]
