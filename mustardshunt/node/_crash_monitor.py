"""Notices crashes of the own backend server, and keeps off what caused them."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from loguru import logger

from mustardshunt.base import CallRequest, Clock, Incarnation, VmAddress
from mustardshunt.observability import NodeMetrics
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CrashReport,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    QuarantineDecision,
    QuarantineStarted,
    make_fingerprint,
    make_request_quarantine,
)
from mustardshunt.transport import Link

_JUDGE_SECONDS: Final = 0.1
# Connections that close within this time closed together.
_TOGETHER_SECONDS: Final = 0.2
# A new start id within this time means that the backend server had crashed,
# even if another one listens at once.
_RESTART_SECONDS: Final = 5.0
_PROBE_SECONDS: Final = 0.5


class CrashMonitor:
    """Feeds the suspect list with what happens at the backend server.

    Lost calls count as a crash only when the backend server is gone as well:
    nobody listens at its address, or it announces a new start.

    Parameters
    ----------
    own : Incarnation
        This node.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Incarnation,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._metrics = metrics
        self._clock = clock
        self._broadcast: Callable[[object], None]
        # Without a backend server the list only passes reports on.
        self._service = ''
        self._suspects = make_request_quarantine(own, '')
        self._address: VmAddress | None = None
        self._start_id = ''
        self._lost: list[Fingerprint] = []
        self._lost_at = float('-inf')

    def connect(self, broadcast: Callable[[object], None]) -> None:
        """Take the function that sends a frame to all neighbours."""
        self._broadcast = broadcast

    def handle_heartbeat(
        self,
        service: str,
        address: VmAddress,
        start_id: str,
    ) -> None:
        """Take a heartbeat of the backend server."""
        if service != self._service:
            self._service = service
            self._suspects = make_request_quarantine(self._own, service)
        self._address = address
        if start_id == self._start_id:
            return
        self._start_id = start_id
        if self._lost:
            self._report_crash()

    def make_fingerprint(
        self,
        organisation: str,
        request: CallRequest,
    ) -> Fingerprint:
        """Return the fingerprint of a call."""
        return make_fingerprint(
            organisation,
            request.method,
            request.target,
            request.body,
        )

    def check(
        self,
        fingerprint: Fingerprint,
        running: Iterable[Fingerprint],
    ) -> QuarantineDecision:
        """Tell whether a call may go to the backend server now."""
        return self._suspects.check(fingerprint, running, self._clock.now())

    def record_finished(self, fingerprint: Fingerprint) -> None:
        """Take a call that ended without a crash."""
        self._suspects.handle(CallFinished(fingerprint), self._clock.now())

    def record_lost(self, fingerprint: Fingerprint) -> None:
        """Take a call whose connection was closed before its answer."""
        if not self._lost:
            self._lost_at = self._clock.now()
        self._lost.append(fingerprint)

    def handle_report(self, _: Link, report: CrashReport) -> None:
        """Take the report of a crash from a neighbour."""
        self._apply(CrashReportArrived(report))

    async def run(self) -> None:
        """Judge lost calls again and again."""
        while True:
            await asyncio.sleep(_JUDGE_SECONDS)
            age = self._clock.now() - self._lost_at
            if not self._lost or age < _TOGETHER_SECONDS:
                continue
            if age > _RESTART_SECONDS:
                self._lost.clear()
                continue
            if not await self._is_listening():
                self._report_crash()

    async def _is_listening(self) -> bool:
        address = self._address
        if address is None:
            return False
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                _, writer = await asyncio.open_connection(
                    address.host,
                    address.port,
                )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return True
        writer.transport.abort()
        return True

    def _report_crash(self) -> None:
        lost = tuple(self._lost)
        self._lost.clear()
        if not lost:
            return
        self._metrics.count_event('backend-server-crashed')
        logger.warning(
            'the backend server crashed with {} calls in flight',
            len(lost),
        )
        self._apply(BackendServerCrashed(lost))

    def _apply(self, event: BackendServerCrashed | CrashReportArrived) -> None:
        for action in self._suspects.handle(event, self._clock.now()):
            match action:
                case ForwardCrashReport(report):
                    self._broadcast(report)
                case QuarantineStarted(fingerprint, _):
                    self._metrics.count_event('quarantine-started')
                    logger.warning('request {} is quarantined', fingerprint)
