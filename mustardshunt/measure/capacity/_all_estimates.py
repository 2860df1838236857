"""Estimates of all roles at the design size, derived from measurements."""

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

_BYTES_PER_MEGABYTE: Final = 1e6
_NEAR_DELAY_SECONDS: Final = 0.0005
_FAR_DELAY_SECONDS: Final = 0.02
# Messages for a new sheet version: the head (version number and digests of the
# sections), the request for a section, and the section.
_MESSAGES_PER_HOP: Final = 3
# Longest interval between polls, as a multiple of the nominal interval.
_MAX_POLL_FACTOR: Final = 1.2
# Requests that a reporter sends to the platform for each configuration change.
# The reporter reads the row of its data centre. It writes the row while the
# nodes of its data centre activate the version.
_REPORTER_REQUESTS_PER_CHANGE: Final = 3
# Hops between data centres on the longest path: one out of a data centre and
# one into another data centre.
_FAR_HOPS: Final = 2
_PER_SECOND: Final = '/s'


def list_estimates(
    size: DesignSize,
    measurements: Measurements,
    limits: Limits,
) -> list[Estimate]:
    """Return the estimates of all roles.

    Parameters
    ----------
    size : DesignSize
        Size that the estimates are for.
    measurements : Measurements
        Measured sizes and costs.
    limits : Limits
        Limits that the estimates are compared with.
    """
    control = ControlTraffic(size, measurements, limits)
    return [
        *control.list_estimates(),
        *control.list_role_estimates(),
        *list_processor_estimates(size, measurements, limits),
        *_list_memory(size, measurements, limits),
        *_list_platform_requests(size, limits),
        *_list_activation(size, measurements, limits),
        *_list_call_costs(measurements, limits),
    ]


def join_seconds(size: DesignSize, measurements: Measurements) -> float:
    """Return the processor seconds to activate a sheet on one node."""
    work = measurements.work
    return (
        work.join
        + size.keys * work.join_key
        + size.organisations * work.join_organisation
        + size.routes * work.join_route
    )


def _list_memory(
    size: DesignSize,
    measurements: Measurements,
    limits: Limits,
) -> list[Estimate]:
    memory = measurements.memory
    base = measurements.processes.memory_alone
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
            ANY_NODE,
            'process of one idle node',
            base,
            'MB',
            'resident memory of one real process',
        ),
        _estimate_megabytes('members', memory.member, size.nodes),
        _estimate_megabytes(
            'organisations', memory.organisation, size.organisations
        ),
        _estimate_megabytes('keys', memory.key, size.keys),
        _estimate_megabytes('routes', memory.route, size.routes),
        _estimate_megabytes(
            'token cache, few entry nodes', memory.wallet, in_use
        ),
        _estimate_megabytes('outcomes', outcome, outcomes),
        # Within a minute each node calls all other nodes, and all other nodes
        # call it.
        _estimate_megabytes('links', memory.link / 2, 2 * (size.nodes - 1)),
    ]
    return [*parts, sum_estimates(ANY_NODE, 'memory', parts, limits.memory)]


def _estimate_megabytes(name: str, each: float, count: float) -> Estimate:
    derivation = f'{each:.0f} B x {count:.0f}'
    return Estimate(
        ANY_NODE, name, each * count / _BYTES_PER_MEGABYTE, 'MB', derivation
    )


def _list_platform_requests(size: DesignSize, limits: Limits) -> list[Estimate]:
    nodes = size.nodes
    reports = (
        size.config_changes_per_day
        * size.data_centres
        * _REPORTER_REQUESTS_PER_CHANGE
        / 86_400
    )
    reads = [
        _estimate_rate(
            'reads of the configuration head',
            nodes,
            CONFIG_POLL_INTERVAL_SECONDS,
        ),
        _estimate_rate(
            'reads of the share table', nodes, SHARE_READ_INTERVAL_SECONDS
        ),
        _estimate_rate(
            'node lists read by reporters',
            2 * size.data_centres,
            MAX_RECLAIM_INTERVAL_SECONDS,
        ),
    ]
    writes = [
        _estimate_rate(
            'lease renewals of nodes', nodes, LEASE_RENEWAL_INTERVAL_SECONDS
        ),
        Estimate(
            'platform',
            'orders with an idempotency key',
            2 * size.keyed_orders_per_second,
            _PER_SECOND,
            f'2 x {size.keyed_orders_per_second:g}/s',
        ),
        Estimate(
            'platform',
            'confirmations',
            reports,
            _PER_SECOND,
            f'{_REPORTER_REQUESTS_PER_CHANGE} x {size.data_centres}'
            f' data centres x {size.config_changes_per_day:g} a day',
        ),
    ]
    return [
        *reads,
        sum_estimates('platform', 'reads', reads, limits.platform_reads),
        *writes,
        sum_estimates('platform', 'writes', writes, limits.platform_writes),
    ]


def _estimate_rate(name: str, count: float, seconds: float) -> Estimate:
    derivation = f'{count:g} / {seconds:g} s'
    return Estimate('platform', name, count / seconds, _PER_SECOND, derivation)


def _list_activation(
    size: DesignSize,
    measurements: Measurements,
    limits: Limits,
) -> list[Estimate]:
    activation = join_seconds(size, measurements)
    hops = measurements.mesh.hops
    path_delay = (
        hops - _FAR_HOPS
    ) * _NEAR_DELAY_SECONDS + _FAR_HOPS * _FAR_DELAY_SECONDS
    flood = hops * activation + _MESSAGES_PER_HOP * path_delay
    poll = CONFIG_POLL_INTERVAL_SECONDS * _MAX_POLL_FACTOR + activation
    return [
        Estimate(
            'sheet',
            'activation on one node (shared machine)',
            activation,
            's',
            f'{size.keys} keys x {1e6 * measurements.work.join_key:.1f} us,'
            f' {size.organisations} organisations'
            f' x {1e6 * measurements.work.join_organisation:.1f} us,'
            f' {size.routes} routes'
            f' x {1e6 * measurements.work.join_route:.1f} us',
        ),
        Estimate(
            'sheet',
            'active on all nodes by flooding (shared machine)',
            flood,
            's',
            f'{hops} hops x (activation + 3 messages)',
            limits.propagation_seconds,
        ),
        Estimate(
            'sheet',
            'active on one node by its own poll (shared machine)',
            poll,
            's',
            f'{CONFIG_POLL_INTERVAL_SECONDS:g} s x {_MAX_POLL_FACTOR:g}'
            ' + activation',
            limits.propagation_seconds,
        ),
    ]


def _list_call_costs(
    measurements: Measurements, limits: Limits
) -> list[Estimate]:
    processes = measurements.processes
    ratio = processes.added_p50 / processes.bare_p50
    return [
        Estimate(
            'entry node',
            'p99 latency added by two nodes (shared machine)',
            processes.added_p99,
            'ms',
            f'two bare hops {processes.bare_p99:.2f} ms',
            limits.added_p99,
        ),
        Estimate(
            'entry node',
            'p50 latency added by two nodes, ratio to two bare hops',
            ratio,
            '',
            f'{processes.added_p50:.3f} / {processes.bare_p50:.3f} ms',
        ),
        Estimate(
            'node beside a backend server',
            'processor time of a call, ratio to a bare hop',
            processes.call_processor / processes.bare_processor,
            '',
            f'{processes.call_processor:.3f}'
            f' / {processes.bare_processor:.3f} ms',
        ),
    ]
