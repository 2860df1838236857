"""Reports to operators which sheet version is in force in a data centre."""

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
    """Sheet versions in force on nodes of one data centre.

    Parameters
    ----------
    version_by_incarnation : dict of Incarnation to int
        Version in force on each node.
    """

    version_by_incarnation: dict[Incarnation, int]


class ConfirmSync:
    """Collects the versions in a data centre; one node writes them.

    This node, the reporter, is the live one that comes first in rendezvous
    order, so that each change is written once for each data centre.

    Parameters
    ----------
    own : Incarnation
        This node.
    data_centre : str
        Data centre of this node.
    list_live : callable
        Returns the live nodes of the data centre, this one included.
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
        """Record the version that has come into force on this node."""
        self.handle(VersionFrame({self._own: version}))

    def handle_versions(self, _: Link, frame: VersionFrame) -> None:
        """Handle versions sent by a neighbour."""
        self.handle(frame)

    def handle_open(self, link: Link) -> None:
        """Send all known versions to a peer of the data centre at link open."""
        if link.data_centre == self._data_centre:
            link.send(VersionFrame(dict(self._version_by_incarnation)))

    def handle(self, frame: VersionFrame) -> None:
        """Record versions, and forward those higher than the known ones."""
        newer = {}
        for incarnation, version in frame.version_by_incarnation.items():
            if version > self._version_by_incarnation.get(incarnation, -1):
                newer[incarnation] = version
        if not newer:
            return
        self._version_by_incarnation.update(newer)
        self._broadcast(VersionFrame(newer))

    async def run(self) -> None:
        """Write each changed confirmation while this node is the reporter."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
            self._remove_departed()
            if self.is_reporter:
                await self._report()

    def make_confirmation(self) -> Confirmation:
        """Return the confirmation of the data centre.

        A live node whose version is not known counts as having version 0.
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
