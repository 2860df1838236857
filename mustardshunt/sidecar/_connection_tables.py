"""Tables of the open connections of a node, with their metrics and log."""

import asyncio
import logging
from collections.abc import Iterator
from typing import Any, Final

from mustardshunt.base import Clock
from mustardshunt.connections import ConnectionLimits, ConnectionTable
from mustardshunt.observability import EventLog
from mustardshunt.relay import FrameStream
from mustardshunt.relay._caller_connection import CallerConnection
from mustardshunt.sidecar._metrics import SidecarMetrics

# Interval between log lines of one kind of connections.
REPORT_SECONDS: Final = 1.0


class ConnectionTables:
    """Open connections of a node, by the listener that accepts them.

    Parameters
    ----------
    limits : ConnectionLimits
        Connections that the process may have open.
    log : EventLog
        Log of connections that could not be accepted.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self, limits: ConnectionLimits, log: EventLog, clock: Clock
    ) -> None:
        self.limits = limits
        self._log = log
        self._clock = clock
        self._reported_at_by_kind: dict[str, float] = {}
        self.callers = ConnectionTable[CallerConnection](
            'callers', limits.callers
        )
        self.ready = ConnectionTable[CallerConnection]('ready', limits.ready)
        self.control = ConnectionTable[CallerConnection](
            'control', limits.control
        )
        self.metrics = ConnectionTable[CallerConnection](
            'metrics', limits.metrics
        )
        self.peers = ConnectionTable[FrameStream]('peers', limits.peers)
        for table in self._tables():
            table.on_failed = self._log_failure
            table.on_slow = self._log_slow

    def refresh(
        self, metrics: SidecarMetrics, backend: int, links: int
    ) -> None:
        """Set the gauges of the connections to their current values.

        Parameters
        ----------
        metrics : SidecarMetrics
            Metrics of the node.
        backend : int
            Open connections to the backend server.
        links : int
            Links that this node has opened.
        """
        for table in self._tables():
            metrics.connections.labels(table.kind).set(len(table))
            metrics.connection_bounds.labels(table.kind).set(table.bound.most)
            ended = metrics.connections_ended
            ended.labels(table.kind, 'displaced').set(table.displaced)
            ended.labels(table.kind, 'refused').set(table.refused)
            ended.labels(table.kind, 'slow').set(table.slow)
            metrics.accept_failures.labels(table.kind).set(table.failures)
        limits = self.limits
        for kind, is_open, most in (
            ('backend', backend, limits.backend),
            ('links', links, limits.links),
        ):
            metrics.connections.labels(kind).set(is_open)
            metrics.connection_bounds.labels(kind).set(most)

    def _tables(self) -> Iterator[ConnectionTable[Any]]:
        yield from (self.callers, self.ready, self.control, self.metrics)
        yield self.peers

    def _log_slow(self, kind: str, count: int) -> None:
        self._log.record(
            'slow-clients', self._clock.now(), listener=kind, count=count
        )

    def _log_failure(self, kind: str, error: str) -> None:
        now = self._clock.now()
        reported_at = self._reported_at_by_kind.get(kind)
        if reported_at is not None and now - reported_at < REPORT_SECONDS:
            return
        self._reported_at_by_kind[kind] = now
        self._log.record(
            'accept-failed',
            now,
            listener=kind,
            error=error,
            descriptors=self.limits.descriptors,
        )


class LoopErrorHandler(logging.Handler):
    """Writes errors of the event loop to the log of the node.

    Parameters
    ----------
    log : EventLog
        Log of the node, which bounds the number of lines.
    clock : Clock
        Source of the time.
    """

    def __init__(self, log: EventLog, clock: Clock) -> None:
        super().__init__(logging.WARNING)
        self._log = log
        self._clock = clock

    def install(self) -> None:
        """Replace the handlers of asyncio, which write tracebacks."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle)
        logger = logging.getLogger('asyncio')
        logger.handlers = [self]
        logger.propagate = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a warning of asyncio."""
        self._record(record.getMessage(), None)

    def _handle(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        self._record(str(context.get('message')), context.get('exception'))

    def _record(self, message: str, error: object) -> None:
        self._log.record(
            'loop-error',
            self._clock.now(),
            message=message,
            error=None if error is None else repr(error),
        )
