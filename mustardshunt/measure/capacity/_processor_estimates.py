"""Processor time for control of one node."""

from typing import Final

from mustardshunt.measure.capacity._design_size import DesignSize, Limits
from mustardshunt.measure.capacity._estimates import Estimate, sum_estimates
from mustardshunt.measure.capacity._measurements import (
    GrantTrafficCost,
    Measurements,
)
from mustardshunt.node._node import MEMBER_TICK_INTERVAL_SECONDS
from mustardshunt.node._rate_sync import WALLET_TICK_SECONDS

_ANY: Final = 'any node'
_HOLDERS: Final = 21
_CORE: Final = 'of a core'
_MICROSECONDS: Final = 1e6


def list_processor_estimates(
    size: DesignSize,
    slopes: Measurements,
    limits: Limits,
) -> list[Estimate]:
    """Work out the part of a core that control takes.

    Parameters
    ----------
    size : DesignSize
        Size to work it out for.
    slopes : Measurements
        What was measured.
    limits : Limits
        Targets.
    """
    work, found = slopes.work, slopes.processes
    ticks = 1 / MEMBER_TICK_INTERVAL_SECONDS
    in_use = size.organisations * size.entry_nodes / size.nodes
    parts = [
        Estimate(
            _ANY,
            'idle node in a small fleet (shared machine)',
            found.idle_fleet,
            _CORE,
            f'real process, {found.fleet_nodes} nodes',
        ),
        _part('ticks of members', work.tick_member, size.nodes * ticks),
        _part('confirmation duty', work.confirm, size.nodes_per_data_centre),
        _part('messages on links', work.message, 2 * slopes.mesh.links),
    ]
    idle = sum_estimates(_ANY, 'idle duties', parts, limits.processor)
    # The asks' processor time was taken with the ticks of their wallets.
    wallet = _part(
        'wallet ticks, near, part of the asks',
        work.wallet_tick,
        in_use / WALLET_TICK_SECONDS,
    )
    near = _asks('asks, near', size, slopes.near_asks, work.message)
    wide = _asks('asks, wide', size, slopes.wide_asks, work.message)
    return [
        *parts,
        idle,
        wallet,
        near,
        sum_estimates(_ANY, 'control, near', [idle, near], limits.processor),
        wide,
        _hottest(size, slopes),
    ]


def _part(name: str, each: float, count: float) -> Estimate:
    slope = f'{each * _MICROSECONDS:.2f} us x {count:.0f}/s'
    return Estimate(_ANY, name, each * count, _CORE, slope)


def _asks(
    name: str,
    size: DesignSize,
    slopes: tuple[GrantTrafficCost, ...],
    message: float,
) -> Estimate:
    total = sum(
        found.requests * (slope.processor + slope.messages * message)
        for found, slope in zip(size.classes, slopes, strict=True)
    )
    each = ', '.join(
        f'{slope.name} {_MICROSECONDS * slope.processor:.0f} us'
        for slope in slopes
    )
    return Estimate(
        _ANY,
        name,
        total / size.nodes,
        _CORE,
        f'for each request: {each}; {_MICROSECONDS * message:.0f} us a message',
    )


def _hottest(size: DesignSize, slopes: Measurements) -> Estimate:
    """Return the messages of a holder of the largest organisation."""
    found, slope = size.classes[0], slopes.wide_asks[0]
    rate = found.requests / found.organisations
    return Estimate(
        'holder of shares',
        'messages for one large organisation, wide',
        rate * slope.messages / _HOLDERS,
        '/s',
        f'{slope.messages:.2f} x {rate:g}/s / {_HOLDERS} holders',
    )
