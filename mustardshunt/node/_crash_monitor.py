"""Detects crashes of this node's backend server for the quarantine.

The quarantine keeps requests that crash backend servers from running again.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from loguru import logger

from mustardshunt.base import CallRequest, Clock, Incarnation, VmAddress
from mustardshunt.observability import NodeMetrics
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CrashDetector,
    CrashReport,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    LostCall,
    QuarantineDecision,
    QuarantineStarted,
    make_fingerprint,
    make_request_quarantine,
)
from mustardshunt.relay import is_listening
from mustardshunt.transport import Link

_CHECK_INTERVAL_SECONDS: Final = 0.1
# When a heartbeat with a new start id comes within this time after a lost call,
# the backend server has crashed, even if a new process already listens at its
# address. After this time, the lost calls no longer count.
_RESTART_WINDOW_SECONDS: Final = 5.0


class CrashMonitor:
    """Reports finished calls and crashes to the request quarantine.

    Lost calls count as a crash only if the process of the backend server has
    ended: nothing listens at its address, or a heartbeat has a new start id.

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
        self._detector = CrashDetector(_RESTART_WINDOW_SECONDS)

    def connect(self, broadcast: Callable[[object], None]) -> None:
        """Set the function that sends a frame to all neighbours."""
        self._broadcast = broadcast

    def handle_heartbeat(
        self,
        service: str,
        address: VmAddress,
        start_id: str,
    ) -> None:
        """Record a heartbeat, and report a crash if the server was restarted.

        A new start id after lost calls shows such a restart.
        """
        if service != self._service:
            self._service = service
            self._quarantine = make_request_quarantine(self._own, service)
        self._address = address
        self._start_id = start_id
        self._detector.record_run(start_id)
        self._report_crash()

    def make_fingerprint(
        self,
        organisation: str,
        request: CallRequest,
    ) -> Fingerprint:
        """Return a digest that is the same for all repeats of a request."""
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
        """Decide whether a call may run now, must wait, or is quarantined."""
        return self._quarantine.check(fingerprint, running, self._clock.now())

    def record_finished(self, fingerprint: Fingerprint) -> None:
        """Record a call that ended without a crash."""
        now = self._clock.now()
        self._detector.record_answer(self._start_id, now)
        self._quarantine.handle(CallFinished(fingerprint), now)

    def record_lost(self, fingerprint: Fingerprint) -> None:
        """Record a call whose connection was lost before the answer came."""
        self._detector.record_lost(
            LostCall(fingerprint, self._start_id, self._clock.now())
        )

    def handle_report(self, _: Link, report: CrashReport) -> None:
        """Pass a neighbour's crash report to the quarantine."""
        self._apply(CrashReportArrived(report))

    async def run(self) -> None:
        """Check periodically whether the backend server has crashed.

        After calls were lost, a crash is reported when nothing listens at the
        backend server's address.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            if (
                self._detector.needs_probe(self._clock.now())
                and not await self._is_listening()
            ):
                self._detector.record_refused()
            self._report_crash()

    async def _is_listening(self) -> bool:
        return self._address is not None and await is_listening(self._address)

    def _report_crash(self) -> None:
        lost_calls = self._detector.take_crash(self._clock.now())
        if not lost_calls:
            return
        self._metrics.count_event('backend-server-crashed')
        logger.warning(
            'backend server at {} crashed with {} calls in flight',
            self._address,
            len(lost_calls),
        )
        self._apply(
            BackendServerCrashed(tuple(call.fingerprint for call in lost_calls))
        )

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
