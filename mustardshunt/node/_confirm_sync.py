"""Reports to operators which sheet version is active in a data centre."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from mustardshunt.base import (
    Incarnation,
    MustardshuntError,
    rendezvous_order,
)
from mustardshunt.observability import NodeMetrics
from mustardshunt.stores import Confirmation, ConfirmationStore
from mustardshunt.transport import Link

_REPORT_INTERVAL_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class VersionFrame:
    """Sheet versions that are active on nodes of one data centre.

    Parameters
    ----------
    version_by_incarnation : dict of Incarnation to int
        Active sheet version of each node.
    """

    version_by_incarnation: dict[Incarnation, int]


class ConfirmSync:
    """Collects the active sheet versions of a data centre's nodes.

    One node of the data centre, the reporter, writes the confirmation to the
    platform, so that each change is written only once. The reporter is the
    live node that comes first in rendezvous order.

    Parameters
    ----------
    own : Incarnation
        This node.
    data_centre : str
        Data centre of this node.
    list_live : callable
        Returns the live nodes of the data centre, including this node.
    broadcast : callable
        Sends a frame to the neighbours in the data centre.
    store : ConfirmationStore
        Confirmations of the data centres on the platform.
    metrics : NodeMetrics
        Counters.
    """

    def __init__(
        self,
        own: Incarnation,
        data_centre: str,
        list_live: Callable[[], Iterable[Incarnation]],
        broadcast: Callable[[object], None],
        store: ConfirmationStore,
        metrics: NodeMetrics,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._list_live = list_live
        self._broadcast = broadcast
        self._store = store
        self._metrics = metrics
        self._version_by_incarnation: dict[Incarnation, int] = {}
        self._written: Confirmation | None = None

    @property
    def is_reporter(self) -> bool:
        """Whether this node writes the confirmation of its data centre."""
        key = f'confirm/{self._data_centre}'
        return rendezvous_order(key, self._list_live())[0] == self._own

    def set_own_version(self, version: int) -> None:
        """Record and forward the version that is now active on this node."""
        self.handle(VersionFrame({self._own: version}))

    def handle_versions(self, _: Link, frame: VersionFrame) -> None:
        """Record sheet versions from a neighbour, and forward new ones."""
        self.handle(frame)

    def handle_open(self, link: Link) -> None:
        """Send all known versions to a peer in the same data centre.

        Called when a link opens. A peer in another data centre gets nothing.
        """
        if link.data_centre == self._data_centre:
            link.send(VersionFrame(dict(self._version_by_incarnation)))

    def handle(self, frame: VersionFrame) -> None:
        """Record and forward versions that are higher than known versions.

        The known version of the same node is compared.
        """
        newer = {}
        for incarnation, version in frame.version_by_incarnation.items():
            if version > self._version_by_incarnation.get(incarnation, -1):
                newer[incarnation] = version
        if not newer:
            return
        self._version_by_incarnation.update(newer)
        self._broadcast(VersionFrame(newer))

    async def run(self) -> None:
        """Write the confirmation after changes if this node is the reporter."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
            self._remove_departed()
            if self.is_reporter:
                await self._report()

    def make_confirmation(self) -> Confirmation:
        """Return the lowest active version and the lagging nodes.

        A live node whose version is not known counts as a node with version 0.
        """
        versions = self._version_by_incarnation
        live = sorted(self._list_live())
        newest = max(versions.get(node, 0) for node in live)
        lagging = tuple(node for node in live if versions.get(node, 0) < newest)
        lowest = min(versions.get(node, 0) for node in live)
        return Confirmation(self._data_centre, lowest, lagging, self._own)

    async def _report(self) -> None:
        confirmation = self.make_confirmation()
        if confirmation == self._written:
            return
        try:
            await self._store.write(confirmation)
        except MustardshuntError as error:
            self._metrics.count_event(f'confirm-{error.code.value}')
            return
        self._written = confirmation

    def _remove_departed(self) -> None:
        live = set(self._list_live())
        for incarnation in list(self._version_by_incarnation):
            if incarnation not in live:
                self._version_by_incarnation.pop(incarnation)
