"""Confirms to the operators which version is in force in a data centre."""

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

_REPORT_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class VersionFrame:
    """Versions of the sheet in force on nodes of one data centre.

    Parameters
    ----------
    version_by_incarnation : dict of Incarnation to int
        Version by node.
    """

    version_by_incarnation: dict[Incarnation, int]


class ConfirmSync:
    """Collects the versions of a data centre; its reporter writes them.

    The reporter is the live node that comes first in rendezvous order, so
    that one row is written for each data centre and change.

    Parameters
    ----------
    own : Incarnation
        This node.
    data_centre : str
        Its data centre.
    list_live : callable
        Returns the live nodes of the data centre, this one included.
    broadcast : callable
        Sends a frame to the neighbours in the data centre.
    store : ConfirmationStore
        Rows of the data centres.
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
        """Whether this node writes for its data centre."""
        key = f'confirm/{self._data_centre}'
        return rendezvous_order(key, self._list_live())[0] == self._own

    def set_own_version(self, version: int) -> None:
        """Take the version that is now in force on this node."""
        self.handle(VersionFrame({self._own: version}))

    def handle_versions(self, _: Link, frame: VersionFrame) -> None:
        """Take versions from a neighbour."""
        self.handle(frame)

    def handle_open(self, link: Link) -> None:
        """Send all versions to a neighbour whose link has opened."""
        if link.data_centre == self._data_centre:
            link.send(VersionFrame(dict(self._version_by_incarnation)))

    def handle(self, frame: VersionFrame) -> None:
        """Take versions, and pass those on that are higher than known."""
        risen = {}
        for incarnation, version in frame.version_by_incarnation.items():
            if version > self._version_by_incarnation.get(incarnation, -1):
                risen[incarnation] = version
        if not risen:
            return
        self._version_by_incarnation.update(risen)
        self._broadcast(VersionFrame(risen))

    async def run(self) -> None:
        """Write the confirmation of the data centre when it has changed."""
        while True:
            await asyncio.sleep(_REPORT_SECONDS)
            self._forget()
            if self.is_reporter:
                await self._report()

    def make_confirmation(self) -> Confirmation:
        """Return what the reporter writes.

        A live node whose version is not known counts as version 0.
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

    def _forget(self) -> None:
        live = set(self._list_live())
        for incarnation in list(self._version_by_incarnation):
            if incarnation not in live:
                self._version_by_incarnation.pop(incarnation)
