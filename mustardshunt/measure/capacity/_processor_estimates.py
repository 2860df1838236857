"""Estimates the processor time that one node uses for control."""

from typing import Final

from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._estimates import Estimate, sum_estimates
from mustardshunt.measure.capacity._measurements import (
    GrantTrafficCost,
    Measurements,
)
from mustardshunt.node._node import MEMBER_TICK_INTERVAL_SECONDS
from mustardshunt.node._rate_sync import WALLET_TICK_SECONDS

_ANY_NODE: Final = 'any node'
_HOLDER_COUNT: Final = 21
_OF_A_CORE: Final = 'of a core'
_MICROSECONDS_PER_SECOND: Final = 1e6


def list_processor_estimates(
    size: DesignSize,
    measurements: Measurements,
    limits: Limits,
) -> list[Estimate]:
    """Return the estimates of the fraction of a core used for control.

    Parameters
    ----------
    size : DesignSize
        Size that the estimates are for.
    measurements : Measurements
        Measured sizes and costs.
    limits : Limits
        Limits that the estimates are compared with.
    """
    work, processes = measurements.work, measurements.processes
    ticks = 1 / MEMBER_TICK_INTERVAL_SECONDS
    in_use = size.organisations * size.entry_nodes / size.nodes
    parts = [
        Estimate(
            _ANY_NODE,
            'idle node in a small fleet (shared machine)',
            processes.idle_fleet,
            _OF_A_CORE,
            f'real process, {processes.fleet_nodes} nodes',
        ),
        _estimate_part(
            'membership ticks', work.tick_member, size.nodes * ticks
        ),
        _estimate_part(
            'selection of the reporter',
            work.confirm,
            size.nodes_per_data_centre,
        ),
        _estimate_part(
            'messages on links', work.message, 2 * measurements.mesh.links
        ),
    ]
    idle = sum_estimates(_ANY_NODE, 'idle control', parts, limits.processor)
    # The processor time of the token requests includes the ticks of the token
    # cache. The sums therefore leave out these ticks, which would count twice.
    token_cache_ticks = _estimate_part(
        'token cache ticks, part of the token requests',
        work.wallet_tick,
        in_use / WALLET_TICK_SECONDS,
    )
    few_entry_nodes = _estimate_token_requests(
        'token requests, few entry nodes',
        size,
        measurements.near_asks,
        work.message,
    )
    all_nodes = _estimate_token_requests(
        'token requests, all nodes', size, measurements.wide_asks, work.message
    )
    return [
        *parts,
        idle,
        token_cache_ticks,
        few_entry_nodes,
        sum_estimates(
            _ANY_NODE,
            'idle control and token requests, few entry nodes',
            [idle, few_entry_nodes],
            limits.processor,
        ),
        all_nodes,
        _estimate_busiest_holder(size, measurements),
    ]


def _estimate_part(name: str, each: float, count: float) -> Estimate:
    derivation = f'{each * _MICROSECONDS_PER_SECOND:.2f} us x {count:.0f}/s'
    return Estimate(_ANY_NODE, name, each * count, _OF_A_CORE, derivation)


def _estimate_token_requests(
    name: str,
    size: DesignSize,
    costs: tuple[GrantTrafficCost, ...],
    message: float,
) -> Estimate:
    total = sum(
        organisation_class.requests * (cost.processor + cost.messages * message)
        for organisation_class, cost in zip(size.classes, costs, strict=True)
    )
    each = ', '.join(
        f'{cost.name} {_MICROSECONDS_PER_SECOND * cost.processor:.0f} us'
        for cost in costs
    )
    return Estimate(
        _ANY_NODE,
        name,
        total / size.nodes,
        _OF_A_CORE,
        f'for each request: {each};'
        f' {_MICROSECONDS_PER_SECOND * message:.0f} us a message',
    )


def _estimate_busiest_holder(
    size: DesignSize, measurements: Measurements
) -> Estimate:
    """Return the messages per second of a node that holds shares.

    The messages are those for one large organisation, whose requests enter at
    all nodes.
    """
    largest, cost = size.classes[0], measurements.wide_asks[0]
    rate = largest.requests / largest.organisations
    return Estimate(
        'holder of shares',
        'messages for one large organisation, all nodes',
        rate * cost.messages / _HOLDER_COUNT,
        '/s',
        f'{cost.messages:.2f} x {rate:g}/s / {_HOLDER_COUNT} holders',
    )
