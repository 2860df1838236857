"""Bytes and messages per second for control of one node."""

from typing import Final

from mustardshunt.measure.capacity._design_size import (
    SECONDS_PER_DAY,
    DesignSize,
    Limits,
)
from mustardshunt.measure.capacity._figures import Figure, add_figures
from mustardshunt.measure.capacity._slopes import AskSlope, Slopes
from mustardshunt.membership._watch import PING_INTERVAL
from mustardshunt.node._config_sync import POLL_SECONDS, VERSION_ALONE_EVERY
from mustardshunt.node._node import ANNOUNCE_SECONDS
from mustardshunt.node._reclaim import LAST_SECONDS
from mustardshunt.node._registration import RENEW_SECONDS
from mustardshunt.node._share_table import READ_SECONDS

ANY: Final = 'any node'
_SHARDS: Final = 16
_BYTES: Final = 'B/s'
# Rows of shares that change for each VM replaced, one gift and one reclaim
# for each of the 1.4 partitions that a node holds on average.
_SHARE_CHANGES: Final = 3


class ControlBytes:
    """Works out what a node sends, and what it reads from the platform.

    Parameters
    ----------
    size : DesignSize
        Size to work it out for.
    slopes : Slopes
        What was measured.
    limits : Limits
        Targets.
    """

    def __init__(
        self,
        size: DesignSize,
        slopes: Slopes,
        limits: Limits,
    ) -> None:
        self._size = size
        self._sizes = slopes.sizes
        self._mesh = slopes.mesh
        self._slopes = slopes
        self._limits = limits

    def list_figures(self) -> list[Figure]:
        """Return the figures of any node, with and without asks."""
        parts = [
            *self._list_membership(),
            *self._list_configuration(),
            *self._list_platform(),
        ]
        near = self._count_asks('asks, near', self._slopes.near_asks)
        wide = self._count_asks('asks, wide', self._slopes.wide_asks)
        limit = self._limits.control_bytes
        base = add_figures(ANY, 'control without asks', parts, limit)
        return [
            *parts,
            base,
            near,
            add_figures(ANY, 'control with asks, near', [base, near], limit),
            wide,
            add_figures(ANY, 'control with asks, wide', [base, wide], limit),
        ]

    def list_roles(self) -> list[Figure]:
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
            Figure(
                'reporter',
                'list of nodes',
                vm_list / LAST_SECONDS,
                _BYTES,
                f'{sizes.vm_row} B x {size.nodes} nodes / {LAST_SECONDS:g} s',
                self._limits.control_bytes,
            ),
            Figure(
                'booting node',
                'member records',
                records / 1e6,
                'MB',
                f'{sizes.record:.0f} B x {size.nodes} nodes'
                f' x {self._mesh.links:.0f} links',
            ),
            Figure(
                'booting node',
                'sheet, shares and list of nodes',
                (sheet + sizes.share_list + 2 * vm_list) / 1e6,
                'MB',
                f'{sizes.key:.0f} B/key, {sizes.organisation:.0f}'
                f' B/organisation, {sizes.route:.0f} B/route,'
                f' {sizes.share_list} B, 2 x {vm_list} B',
            ),
        ]

    def _list_membership(self) -> list[Figure]:
        size, sizes, mesh = self._size, self._sizes, self._mesh
        changes = size.replaced * size.record_changes
        record = sizes.record + size.packet_bytes
        greeting = 2 * mesh.links * size.nodes * sizes.record
        return [
            Figure(
                ANY,
                'pings',
                mesh.links * (sizes.ping + size.packet_bytes) / PING_INTERVAL,
                _BYTES,
                f'{sizes.ping} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links / {PING_INTERVAL:g} s',
            ),
            Figure(
                ANY,
                'floods of records',
                self._per_day(changes * (mesh.links - 1) * record),
                _BYTES,
                f'{record:.0f} B x {mesh.links - 1:.0f} links'
                f' x {changes:g} a day',
            ),
            Figure(
                ANY,
                'records on new links',
                self._per_day(size.replaced * greeting / size.nodes),
                _BYTES,
                f'{sizes.record:.0f} B x {size.nodes} x {2 * mesh.links:.0f}'
                f' x {size.replaced:g} a day / {size.nodes} nodes',
            ),
        ]

    def _list_configuration(self) -> list[Figure]:
        size, sizes, mesh = self._size, self._sizes, self._mesh
        alone = sizes.version_alone + size.packet_bytes
        period = ANNOUNCE_SECONDS * VERSION_ALONE_EVERY
        head = sizes.head + size.packet_bytes
        shard = size.keys / _SHARDS * sizes.key
        other = size.organisations * sizes.organisation
        section = size.key_changes * shard + (1 - size.key_changes) * other
        version = sizes.confirmation + size.packet_bytes
        confirmed = size.changes * size.near_nodes * mesh.near_links
        return [
            Figure(
                ANY,
                'version told again',
                mesh.links * alone / period,
                _BYTES,
                f'{alone} B x {mesh.links:.0f} links / {period:g} s',
            ),
            Figure(
                ANY,
                'floods of heads',
                self._per_day(size.changes * mesh.links * head),
                _BYTES,
                f'{head} B x {mesh.links:.0f} links x {size.changes:g} a day',
            ),
            Figure(
                ANY,
                'changed sections',
                self._per_day(size.changes * section),
                _BYTES,
                f'{section:.0f} B x {size.changes:g} a day',
            ),
            Figure(
                ANY,
                'confirmations',
                self._per_day(confirmed * version),
                _BYTES,
                f'{version} B x {size.near_nodes:.0f} nodes'
                f' x {mesh.near_links:.0f} links x {size.changes:g} a day',
            ),
            Figure(
                ANY,
                'floods of share rows',
                self._per_day(
                    size.replaced
                    * _SHARE_CHANGES
                    * mesh.links
                    * (sizes.share_row + size.packet_bytes)
                ),
                _BYTES,
                f'{sizes.share_row} + {size.packet_bytes} B'
                f' x {mesh.links:.0f} links x {_SHARE_CHANGES}'
                f' x {size.replaced:g} a day',
            ),
        ]

    def _list_platform(self) -> list[Figure]:
        sizes = self._sizes
        return [
            self._poll('platform: head', sizes.head_row, POLL_SECONDS),
            self._poll('platform: share rows', sizes.share_list, READ_SECONDS),
            self._poll('platform: own row', sizes.vm_row, RENEW_SECONDS),
        ]

    def _poll(self, name: str, body: int, seconds: float) -> Figure:
        http = self._size.http_bytes
        slope = f'{body} + {http} B / {seconds:g} s'
        return Figure(ANY, name, (body + http) / seconds, _BYTES, slope)

    def _count_asks(self, name: str, slopes: tuple[AskSlope, ...]) -> Figure:
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
        return Figure(
            ANY,
            name,
            total / size.nodes,
            _BYTES,
            f'for each request: {detail}',
        )

    def _per_day(self, count: float) -> float:
        return count / SECONDS_PER_DAY
