"""Takes the addresses at which a node listens, and waits for them."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import fields
from typing import Final

from mustardshunt.base import Clock, VmAddress
from mustardshunt.observability import EventLog
from mustardshunt.relay import AddressTakenError, ListeningSockets
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._settings import ListenSection

# Pause between two attempts to take the addresses.
RETRY_SECONDS: Final = 0.1
# Interval between log lines while an address stays taken.
REPORT_SECONDS: Final = 10.0


class Listeners:
    """Waits until all addresses of a node are free, and listens at them.

    An address may be held by the former process of the node in its grace time,
    or by an outgoing connection of the machine. The process waits as long as it
    runs: if it ended, it would only be started again and find the same.

    Parameters
    ----------
    listen : callable
        Returns the addresses in force, also when they change.
    log : EventLog
        Log of addresses that are taken.
    metrics : SidecarMetrics
        Metrics of the time for which the node has waited.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        listen: Callable[[], ListenSection],
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._listen = listen
        # Addresses of the last attempt.
        self.addresses: ListenSection | None = None
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._sockets = ListeningSockets()
        self._waiting_for = ''
        self._waiting_since = 0.0
        self._reported_at = 0.0

    async def take(
        self, stop: asyncio.Event
    ) -> dict[str, socket.socket] | None:
        """Return the listening sockets by name, None if the process stops.

        Parameters
        ----------
        stop : asyncio.Event
            Set when the process has to stop.
        """
        while not stop.is_set():
            try:
                return self._try_take()
            except AddressTakenError as error:
                self._report(error)
            await _wait(stop, RETRY_SECONDS)
        self._sockets.close()
        return None

    def _try_take(self) -> dict[str, socket.socket]:
        self.addresses = self._listen()
        by_name = self._sockets.try_listen(_address_by_name(self.addresses))
        self._end_wait()
        return by_name

    def _report(self, error: AddressTakenError) -> None:
        now = self._clock.now()
        if error.name != self._waiting_for:
            self._end_wait()
            self._waiting_for = error.name
            self._waiting_since = now
        elif now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        self._record('address-taken', error=str(error.error))

    def _end_wait(self) -> None:
        if not self._waiting_for:
            return
        self._record('address-bound')
        self._metrics.address_wait.labels(self._waiting_for).inc(
            self._clock.now() - self._waiting_since
        )
        self._waiting_for = ''

    def _record(self, kind: str, **inputs: str) -> None:
        now = self._clock.now()
        self._log.record(
            kind,
            now,
            listener=self._waiting_for,
            address=getattr(self.addresses, self._waiting_for),
            waited=round(now - self._waiting_since, 3),
            **inputs,
        )
        self._log.flush()


def _address_by_name(listen: ListenSection) -> Mapping[str, VmAddress]:
    return {field.name: getattr(listen, field.name) for field in fields(listen)}


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
