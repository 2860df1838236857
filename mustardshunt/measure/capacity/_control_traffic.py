"""Bytes and messages per second for control of one node."""

from typing import Final

from mustardshunt.measure.capacity._design_size import (
    SECONDS_PER_DAY,
    DesignSize,
    Limits,
)
from mustardshunt.measure.capacity._estimates import Estimate, sum_estimates
from mustardshunt.measure.capacity._measurements import (
    GrantTrafficCost,
    Measurements,
)
from mustardshunt.membership._failure_detector import PING_INTERVAL_SECONDS
from mustardshunt.node._config_sync import (
    CONFIG_POLL_INTERVAL_SECONDS,
    VERSION_ONLY_PERIOD,
)
from mustardshunt.node._node import VERSION_ANNOUNCE_INTERVAL_SECONDS
from mustardshunt.node._reclaim import MAX_RECLAIM_INTERVAL_SECONDS
from mustardshunt.node._registration import LEASE_RENEWAL_INTERVAL_SECONDS
from mustardshunt.node._share_table_sync import SHARE_READ_INTERVAL_SECONDS

ANY_NODE: Final = 'any node'
_SHARDS: Final = 16
_BYTES: Final = 'B/s'
# Rows of shares that change for each VM replaced, one gift and one reclaim
# for each of the 1.4 partitions that a node holds on average.
_SHARE_CHANGES: Final = 3


class ControlTraffic:
    """Works out what a node sends, and what it reads from the platform.

    Parameters
    ----------
    size : DesignSize
        Size to work it out for.
    slopes : Measurements
        What was measured.
    limits : Limits
        Targets.
    """

    def __init__(
        self,
        size: DesignSize,
        slopes: Measurements,
        limits: Limits,
    ) -> None:
        self._size = size
        self._sizes = slopes.sizes
        self._mesh = slopes.mesh
        self._slopes = slopes
        self._limits = limits

    def list_estimates(self) -> list[Estimate]:
        """Return the figures of any node, with and without asks."""
        parts = [
            *self._list_membership(),
            *self._list_configuration(),
            *self._list_platform(),
        ]
        near = self._count_asks('asks, near', self._slopes.near_asks)
        wide = self._count_asks('asks, wide', self._slopes.wide_asks)
        limit = self._limits.control_bytes
        base = sum_estimates(ANY_NODE, 'control without asks', parts, limit)
        return [
            *parts,
            base,
            near,
            sum_estimates(
                ANY_NODE, 'control with asks, near', [base, near], limit
            ),
            wide,
            sum_estimates(
                ANY_NODE, 'control with asks, wide', [base, wide], limit
            ),
        ]

    def list_role_estimates(self) -> list[Estimate]:
        """Return what a reporter and a booting node read in addition."""
        size, sizes = self._size, self._sizes
        # A row that is listed has the fields of one that is written.
        vm_list = size.nodes * sizes.vm_row
        sheet = (
            size.keys * sizes.key
            + size.organisations * sizes.organisation
            + size.routes * sizes.route
        )
        records = 2 * self._mesh.links * size.nodes * sizes.record / 2
        return [
            Estimate(
                'reporter',
                'list of nodes',
                vm_list / MAX_RECLAIM_INTERVAL_SECONDS,
                _BYTES,
                f'{sizes.vm_row} B x {size.nodes} nodes'
                f' / {MAX_RECLAIM_INTERVAL_SECONDS:g} s',
                self._limits.control_bytes,
            ),
            Estimate(
                'booting node',
                'member records',
                records / 1e6,
                'MB',
                f'{sizes.record:.0f} B x {size.nodes} nodes'
                f' x {self._mesh.links:.0f} links',
            ),
            Estimate(
                'booting node',
                'sheet, shares and list of nodes',
                (sheet + sizes.share_list + 2 * vm_list) / 1e6,
                'MB',
                f'{sizes.key:.0f} B/key, {sizes.organisation:.0f}'
                f' B/organisation, {sizes.route:.0f} B/route,'
                f' {sizes.share_list} B, 2 x {vm_list} B',
            ),
        ]

    def _list_membership(self) -> list[Estimate]:
        size, sizes, mesh = self._size, self._sizes, self._mesh
        changes = (
            size.vm_replacements_per_day * size.record_changes_per_replacement
        )
        record = sizes.record + size.packet_bytes
        greeting = 2 * mesh.links * size.nodes * sizes.record
        return [
            Estimate(
                ANY_NODE,
                'pings',
                mesh.links
                * (sizes.ping + size.packet_bytes)
                / PING_INTERVAL_SECONDS,
                _BYTES,
                f'{sizes.ping} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links / {PING_INTERVAL_SECONDS:g} s',
            ),
            Estimate(
                ANY_NODE,
                'floods of records',
                self._per_day(changes * (mesh.links - 1) * record),
                _BYTES,
                f'{record:.0f} B x {mesh.links - 1:.0f} links'
                f' x {changes:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'records on new links',
                self._per_day(
                    size.vm_replacements_per_day * greeting / size.nodes
                ),
                _BYTES,
                f'{sizes.record:.0f} B x {size.nodes} x {2 * mesh.links:.0f}'
                f' x {size.vm_replacements_per_day:g} a day'
                f' / {size.nodes} nodes',
            ),
        ]

    def _list_configuration(self) -> list[Estimate]:
        size, sizes, mesh = self._size, self._sizes, self._mesh
        alone = sizes.version_alone + size.packet_bytes
        period = VERSION_ANNOUNCE_INTERVAL_SECONDS * VERSION_ONLY_PERIOD
        head = sizes.head + size.packet_bytes
        shard = size.keys / _SHARDS * sizes.key
        other = size.organisations * sizes.organisation
        section = (
            size.key_change_fraction * shard
            + (1 - size.key_change_fraction) * other
        )
        version = sizes.confirmation + size.packet_bytes
        confirmed = (
            size.config_changes_per_day
            * size.nodes_per_data_centre
            * mesh.near_links
        )
        return [
            Estimate(
                ANY_NODE,
                'version told again',
                mesh.links * alone / period,
                _BYTES,
                f'{alone} B x {mesh.links:.0f} links / {period:g} s',
            ),
            Estimate(
                ANY_NODE,
                'floods of heads',
                self._per_day(size.config_changes_per_day * mesh.links * head),
                _BYTES,
                f'{head} B x {mesh.links:.0f} links'
                f' x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'changed sections',
                self._per_day(size.config_changes_per_day * section),
                _BYTES,
                f'{section:.0f} B x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'confirmations',
                self._per_day(confirmed * version),
                _BYTES,
                f'{version} B x {size.nodes_per_data_centre:.0f} nodes'
                f' x {mesh.near_links:.0f} links'
                f' x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'floods of share rows',
                self._per_day(
                    size.vm_replacements_per_day
                    * _SHARE_CHANGES
                    * mesh.links
                    * (sizes.share_row + size.packet_bytes)
                ),
                _BYTES,
                f'{sizes.share_row} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links x {_SHARE_CHANGES}'
                f' x {size.vm_replacements_per_day:g} a day',
            ),
        ]

    def _list_platform(self) -> list[Estimate]:
        sizes = self._sizes
        return [
            self._poll(
                'platform: head', sizes.head_row, CONFIG_POLL_INTERVAL_SECONDS
            ),
            self._poll(
                'platform: share rows',
                sizes.share_list,
                SHARE_READ_INTERVAL_SECONDS,
            ),
            self._poll(
                'platform: own row',
                sizes.vm_row,
                LEASE_RENEWAL_INTERVAL_SECONDS,
            ),
        ]

    def _poll(self, name: str, body: int, seconds: float) -> Estimate:
        http = self._size.http_bytes
        slope = f'{body} + {http} B / {seconds:g} s'
        return Estimate(ANY_NODE, name, (body + http) / seconds, _BYTES, slope)

    def _count_asks(
        self, name: str, slopes: tuple[GrantTrafficCost, ...]
    ) -> Estimate:
        size = self._size
        total = sum(
            found.requests
            * (slope.message_bytes + slope.messages * size.packet_bytes)
            for found, slope in zip(size.classes, slopes, strict=True)
        )
        detail = ', '.join(
            f'{slope.name} {slope.messages:.1f} messages'
            f' {slope.message_bytes:.0f} B'
            for slope in slopes
        )
        return Estimate(
            ANY_NODE,
            name,
            total / size.nodes,
            _BYTES,
            f'for each request: {detail}',
        )

    def _per_day(self, count: float) -> float:
        return count / SECONDS_PER_DAY
