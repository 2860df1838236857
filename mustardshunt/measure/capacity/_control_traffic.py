"""Estimates the control traffic of one node."""

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
_KEY_SHARDS: Final = 16
_BYTES_PER_SECOND: Final = 'B/s'
# Changes of share rows for each VM replaced. On average a node holds shares in
# 1.4 partitions. Each of them has one hand-over and one reclaim.
_SHARE_CHANGES_PER_REPLACEMENT: Final = 3


class ControlTraffic:
    """Estimates the traffic of a node with its peers and with the platform.

    Parameters
    ----------
    size : DesignSize
        Size that the estimates are for.
    measurements : Measurements
        Measured sizes and costs.
    limits : Limits
        Limits that the estimates are compared with.
    """

    def __init__(
        self,
        size: DesignSize,
        measurements: Measurements,
        limits: Limits,
    ) -> None:
        self._size = size
        self._sizes = measurements.sizes
        self._mesh = measurements.mesh
        self._measurements = measurements
        self._limits = limits

    def list_estimates(self) -> list[Estimate]:
        """Return the estimates of any node, with and without token requests."""
        parts = [
            *self._list_membership(),
            *self._list_configuration(),
            *self._list_platform(),
        ]
        few_entry_nodes = self._estimate_token_requests(
            'token requests, few entry nodes', self._measurements.near_asks
        )
        all_nodes = self._estimate_token_requests(
            'token requests, all nodes', self._measurements.wide_asks
        )
        limit = self._limits.control_bytes
        base = sum_estimates(
            ANY_NODE, 'control without token requests', parts, limit
        )
        return [
            *parts,
            base,
            few_entry_nodes,
            sum_estimates(
                ANY_NODE,
                'control with token requests, few entry nodes',
                [base, few_entry_nodes],
                limit,
            ),
            all_nodes,
            sum_estimates(
                ANY_NODE,
                'control with token requests, all nodes',
                [base, all_nodes],
                limit,
            ),
        ]

    def list_role_estimates(self) -> list[Estimate]:
        """Return the additional reads of a reporter and of a booting node."""
        size, sizes = self._size, self._sizes
        # A row in a listing has the same fields as a row that a node writes.
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
                _BYTES_PER_SECOND,
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
        initial_records = 2 * mesh.links * size.nodes * sizes.record
        return [
            Estimate(
                ANY_NODE,
                'pings',
                mesh.links
                * (sizes.ping + size.packet_bytes)
                / PING_INTERVAL_SECONDS,
                _BYTES_PER_SECOND,
                f'{sizes.ping} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links / {PING_INTERVAL_SECONDS:g} s',
            ),
            Estimate(
                ANY_NODE,
                'flooded member records',
                self._to_per_second(changes * (mesh.links - 1) * record),
                _BYTES_PER_SECOND,
                f'{record:.0f} B x {mesh.links - 1:.0f} links'
                f' x {changes:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'member records on new links',
                self._to_per_second(
                    size.vm_replacements_per_day * initial_records / size.nodes
                ),
                _BYTES_PER_SECOND,
                f'{sizes.record:.0f} B x {size.nodes} x {2 * mesh.links:.0f}'
                f' x {size.vm_replacements_per_day:g} a day'
                f' / {size.nodes} nodes',
            ),
        ]

    def _list_configuration(self) -> list[Estimate]:
        size, sizes, mesh = self._size, self._sizes, self._mesh
        version_only = sizes.version_alone + size.packet_bytes
        period = VERSION_ANNOUNCE_INTERVAL_SECONDS * VERSION_ONLY_PERIOD
        head = sizes.head + size.packet_bytes
        key_shard = size.keys / _KEY_SHARDS * sizes.key
        organisation_section = size.organisations * sizes.organisation
        section = (
            size.key_change_fraction * key_shard
            + (1 - size.key_change_fraction) * organisation_section
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
                'repeated version announcements',
                mesh.links * version_only / period,
                _BYTES_PER_SECOND,
                f'{version_only} B x {mesh.links:.0f} links / {period:g} s',
            ),
            Estimate(
                ANY_NODE,
                'flooded configuration heads',
                self._to_per_second(
                    size.config_changes_per_day * mesh.links * head
                ),
                _BYTES_PER_SECOND,
                f'{head} B x {mesh.links:.0f} links'
                f' x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'changed configuration sections',
                self._to_per_second(size.config_changes_per_day * section),
                _BYTES_PER_SECOND,
                f'{section:.0f} B x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'confirmations',
                self._to_per_second(confirmed * version),
                _BYTES_PER_SECOND,
                f'{version} B x {size.nodes_per_data_centre:.0f} nodes'
                f' x {mesh.near_links:.0f} links'
                f' x {size.config_changes_per_day:g} a day',
            ),
            Estimate(
                ANY_NODE,
                'flooded share rows',
                self._to_per_second(
                    size.vm_replacements_per_day
                    * _SHARE_CHANGES_PER_REPLACEMENT
                    * mesh.links
                    * (sizes.share_row + size.packet_bytes)
                ),
                _BYTES_PER_SECOND,
                f'{sizes.share_row} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links x {_SHARE_CHANGES_PER_REPLACEMENT}'
                f' x {size.vm_replacements_per_day:g} a day',
            ),
        ]

    def _list_platform(self) -> list[Estimate]:
        sizes = self._sizes
        return [
            self._estimate_poll(
                'platform: configuration head',
                sizes.head_row,
                CONFIG_POLL_INTERVAL_SECONDS,
            ),
            self._estimate_poll(
                'platform: share rows',
                sizes.share_list,
                SHARE_READ_INTERVAL_SECONDS,
            ),
            self._estimate_poll(
                'platform: own VM row',
                sizes.vm_row,
                LEASE_RENEWAL_INTERVAL_SECONDS,
            ),
        ]

    def _estimate_poll(self, name: str, body: int, seconds: float) -> Estimate:
        http = self._size.http_bytes
        derivation = f'{body} + {http} B / {seconds:g} s'
        return Estimate(
            ANY_NODE,
            name,
            (body + http) / seconds,
            _BYTES_PER_SECOND,
            derivation,
        )

    def _estimate_token_requests(
        self, name: str, costs: tuple[GrantTrafficCost, ...]
    ) -> Estimate:
        size = self._size
        total = sum(
            organisation_class.requests
            * (cost.message_bytes + cost.messages * size.packet_bytes)
            for organisation_class, cost in zip(
                size.classes, costs, strict=True
            )
        )
        detail = ', '.join(
            f'{cost.name} {cost.messages:.1f} messages'
            f' {cost.message_bytes:.0f} B'
            for cost in costs
        )
        return Estimate(
            ANY_NODE,
            name,
            total / size.nodes,
            _BYTES_PER_SECOND,
            f'for each request: {detail}',
        )

    def _to_per_second(self, count: float) -> float:
        return count / SECONDS_PER_DAY
