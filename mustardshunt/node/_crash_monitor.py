"""Detects crashes of the own backend server, for the request quarantine."""

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

_CHECK_INTERVAL_SECONDS: Final = 0.1
# Lost calls are judged this long after the first of them, so that connections
# that close together count as one crash.
_SAME_CRASH_SECONDS: Final = 0.2
# A new start id within this time after a lost call means that the backend
# server has crashed, even if its successor listens at once.
_RESTART_WINDOW_SECONDS: Final = 5.0
_PROBE_TIMEOUT_SECONDS: Final = 0.5


class CrashMonitor:
    """Reports lost calls, finished calls and crashes to the quarantine.

    Lost calls count as a crash only if the backend server is gone as well:
    nothing listens at its address, or a heartbeat has a new start id.

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
        # Without a backend server the quarantine only forwards crash reports.
        self._service = ''
        self._quarantine = make_request_quarantine(own, '')
        self._address: VmAddress | None = None
        self._start_id = ''
        self._lost_calls: list[Fingerprint] = []
        self._lost_at = float('-inf')

    def connect(self, broadcast: Callable[[object], None]) -> None:
        """Set the function that sends a frame to all neighbours."""
        self._broadcast = broadcast

    def handle_heartbeat(
        self,
        service: str,
        address: VmAddress,
        start_id: str,
    ) -> None:
        """Handle a heartbeat; a new start id after lost calls is a crash."""
        if service != self._service:
            self._service = service
            self._quarantine = make_request_quarantine(self._own, service)
        self._address = address
        if start_id == self._start_id:
            return
        self._start_id = start_id
        if self._lost_calls:
            self._report_crash()

    def make_fingerprint(
        self,
        organisation: str,
        request: CallRequest,
    ) -> Fingerprint:
        """Return the fingerprint by which repeats of a request are found."""
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
        """Decide whether a call may be sent to the backend server now."""
        return self._quarantine.check(fingerprint, running, self._clock.now())

    def record_finished(self, fingerprint: Fingerprint) -> None:
        """Record a call that ended without a crash."""
        self._quarantine.handle(CallFinished(fingerprint), self._clock.now())

    def record_lost(self, fingerprint: Fingerprint) -> None:
        """Record a call whose connection was lost before its answer."""
        if not self._lost_calls:
            self._lost_at = self._clock.now()
        self._lost_calls.append(fingerprint)

    def handle_report(self, _: Link, report: CrashReport) -> None:
        """Handle a crash report of a neighbour."""
        self._apply(CrashReportArrived(report))

    async def run(self) -> None:
        """Check periodically whether lost calls mean a crash."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            age = self._clock.now() - self._lost_at
            if not self._lost_calls or age < _SAME_CRASH_SECONDS:
                continue
            if age > _RESTART_WINDOW_SECONDS:
                self._lost_calls.clear()
                continue
            if not await self._is_listening():
                self._report_crash()

    async def _is_listening(self) -> bool:
        address = self._address
        if address is None:
            return False
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
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
        lost_calls = tuple(self._lost_calls)
        self._lost_calls.clear()
        if not lost_calls:
            return
        self._metrics.count_event('backend-server-crashed')
        logger.warning(
            'backend server at {} crashed with {} calls in flight',
            self._address,
            len(lost_calls),
        )
        self._apply(BackendServerCrashed(lost_calls))

    def _apply(self, event: BackendServerCrashed | CrashReportArrived) -> None:
        for action in self._quarantine.handle(event, self._clock.now()):
            match action:
                case ForwardCrashReport(report):
                    self._broadcast(report)
                case QuarantineStarted(fingerprint, _):
                    self._metrics.count_event('quarantine-started')
                    logger.warning(
                        'requests with fingerprint {} are quarantined',
                        fingerprint,
                    )
