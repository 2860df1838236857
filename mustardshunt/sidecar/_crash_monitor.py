"""Detects crashes of the backend server, and quarantines their causes."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from mustardshunt.base import Clock, Incarnation, VmAddress
from mustardshunt.load_balancing import Member
from mustardshunt.observability import EventLog
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CollectedEvidence,
    CrashDetector,
    CrashReport,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    LostCall,
    QuarantineEnded,
    QuarantineLifted,
    QuarantineStarted,
    RequestQuarantine,
    Verdict,
    VerdictArrived,
    make_fingerprint,
    make_request_quarantine,
)
from mustardshunt.relay import (
    BackendFailure,
    Call,
    FailureKind,
    HttpRequest,
    is_listening,
)
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._ports import AnswerMetadata
from mustardshunt.upstream import LivenessTracker, ServerRun

CHECK_INTERVAL_SECONDS: Final = 0.1
# Time for which a lost call may count as lost by a crash. A backend server that
# falls silent holds its calls until their deadline, and reports again after its
# restart only.
RESTART_WINDOW_SECONDS: Final = 10.0
# Most suspects of a crash that one log line names.
MAX_LOGGED_SUSPECTS: Final = 8


class CrashListener(Protocol):
    """Spreads what this node learns of crashes, and acts on it."""

    def spread_report(self, report: CrashReport) -> None:
        """Tell other nodes of a crash."""
        ...

    def spread_verdicts(self) -> None:
        """Tell other nodes the verdicts that they may not know yet."""
        ...

    def spread_lift(self, fingerprint: Fingerprint) -> None:
        """Tell other nodes that an operator has lifted a quarantine."""
        ...


class VerdictKeeper(Protocol):
    """Keeps verdicts beyond the lifetime of the process."""

    def keep(self, verdict: Verdict) -> None:
        """Keep a verdict that this node has reached by its own evidence."""
        ...

    def drop(self, fingerprint: str) -> None:
        """Remove the record of a quarantine that has ended."""
        ...


class CrashMonitor:
    """Tells crashes of this node's backend server from other ends of calls.

    Parameters
    ----------
    own : Member
        Directory entry of this node.
    address : VmAddress
        Address of the backend server.
    liveness : LivenessTracker
        Knows the present process of the backend server.
    secret : bytes
        Key of the fingerprints, the same at all nodes.
    log : EventLog
        Log of crashes with their suspects, of verdicts and of their ends.
    metrics : SidecarMetrics
        Counts crashes and quarantined requests.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Member,
        address: VmAddress,
        liveness: LivenessTracker,
        secret: bytes,
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._own_name = own.name
        self._address = address
        self._liveness = liveness
        self._secret = secret
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._detector = CrashDetector(RESTART_WINDOW_SECONDS)
        self._quarantine: RequestQuarantine = make_request_quarantine(
            Incarnation(own.incarnation),
            own.service,
            rule=CollectedEvidence(),
        )
        self._listener: CrashListener | None = None
        self._on_quarantined: Callable[[Fingerprint], None] | None = None
        self._keeper: VerdictKeeper | None = None

    def connect(
        self,
        listener: CrashListener,
        on_quarantined: Callable[[Fingerprint], None],
        keeper: VerdictKeeper,
    ) -> None:
        """Set the components that are created after this monitor.

        Parameters
        ----------
        listener : CrashListener
            Spreads crash reports and verdicts.
        on_quarantined : callable
            Called with each fingerprint whose quarantine starts.
        keeper : VerdictKeeper
            Keeps verdicts beyond the lifetime of the process.
        """
        self._keeper = keeper
        self._listener = listener
        self._on_quarantined = on_quarantined

    def set_address(self, address: VmAddress) -> None:
        """Look for the backend server at another address."""
        self._address = address

    def set_secret(self, secret: bytes) -> None:
        """Use another key for the fingerprints of requests that come now."""
        self._secret = secret

    def fingerprint(
        self, organisation: str, request: HttpRequest
    ) -> Fingerprint:
        """Return a digest that is the same for all repeats of a request."""
        body = request.body
        if request.large_body is not None:
            body = request.large_body.digest()
        return make_fingerprint(
            organisation,
            request.method,
            request.target,
            body,
            self._secret,
        )

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return for how long a request is still refused, 0 if it may run."""
        return self._quarantine.seconds_left(fingerprint, self._clock.now())

    def verdicts(self) -> list[Verdict]:
        """Return the quarantined fingerprints with their evidence."""
        return self._quarantine.verdicts(self._clock.now())

    def record_finished(self, fingerprint: Fingerprint, name: str) -> None:
        """Record a call that a backend server has answered.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the call.
        name : str
            Name of the node beside the backend server. An answer of the own
            backend server is recorded by ``record_answer``.
        """
        if name == self._own_name:
            return
        self._quarantine.handle(CallFinished(fingerprint), self._clock.now())

    def record_answer(
        self, call: Call, run: ServerRun | None, metadata: AnswerMetadata
    ) -> None:
        """Record an answer of this node's backend server.

        Parameters
        ----------
        call : Call
            The call.
        run : ServerRun or None
            Process to which the call was sent.
        metadata : AnswerMetadata
            What the headers of the answer say.
        """
        if metadata.is_wrong_instance:
            return
        now = self._clock.now()
        self._detector.record_answer(run, now)
        if not metadata.says_not_run:
            fingerprint = Fingerprint(call.fingerprint)
            self._quarantine.handle(CallFinished(fingerprint), now)

    def record_failure(
        self, call: Call, run: ServerRun | None, failure: BackendFailure
    ) -> None:
        """Record a call that ended without an answer.

        Parameters
        ----------
        call : Call
            The call.
        run : ServerRun or None
            Process to which the call was sent.
        failure : BackendFailure
            Why there is no answer.
        """
        if not failure.has_begun or failure.kind is FailureKind.INVALID:
            return
        self._detector.record_lost(
            LostCall(
                Fingerprint(call.fingerprint),
                run,
                self._clock.now(),
                call.request_id,
                is_connection_lost=failure.kind is FailureKind.LOST,
            )
        )

    def record_refused(self) -> None:
        """Record that nothing listens at the address of the backend server."""
        self._detector.record_refused()

    def hear_report(self, report: CrashReport) -> bool:
        """Count a crash that another node reports; tell if it was new."""
        return self._apply(CrashReportArrived(report))

    def hear_verdict(self, verdict: Verdict) -> bool:
        """Apply a verdict of another node; tell if it was new."""
        return self._apply(VerdictArrived(verdict))

    def lift(self, fingerprint: Fingerprint) -> bool:
        """End a quarantine by order of an operator; tell if there was one."""
        is_lifted = self._apply(QuarantineLifted(fingerprint))
        if is_lifted and self._listener is not None:
            self._listener.spread_lift(fingerprint)
        return is_lifted

    async def run(self) -> None:
        """Check periodically for crashes and ended quarantines."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = self._clock.now()
            if self._detector.needs_probe(now) and not await is_listening(
                self._address
            ):
                self._detector.record_refused()
            self._check_crash(self._clock.now())
            for ended in self._quarantine.expire(now):
                self._log_end(ended, 'expired')

    def _check_crash(self, now: float) -> None:
        self._detector.record_run(self._liveness.run)
        lost_calls = self._detector.take_crash(now)
        crash_calls = [
            call
            for call in lost_calls
            if not self._liveness.has_announced_leaving(call.run)
        ]
        if not crash_calls:
            return
        self._metrics.crashes.labels('crashed').inc()
        self._log.record(
            'backend-server-crashed',
            now,
            run=str(crash_calls[-1].run),
            calls=len(crash_calls),
            suspects=[
                f'{call.fingerprint} {call.request_id}'
                for call in crash_calls[:MAX_LOGGED_SUSPECTS]
            ],
        )
        self._apply(
            BackendServerCrashed(
                tuple(call.fingerprint for call in crash_calls)
            )
        )

    def _apply(
        self,
        event: (
            BackendServerCrashed
            | CrashReportArrived
            | VerdictArrived
            | QuarantineLifted
        ),
    ) -> bool:
        actions = self._quarantine.handle(event, self._clock.now())
        for action in actions:
            match action:
                case ForwardCrashReport(report) if self._listener is not None:
                    self._listener.spread_report(report)
                case QuarantineStarted(fingerprint, until):
                    self._start_quarantine(fingerprint, until)
                    if not isinstance(event, VerdictArrived):
                        self._keep_verdict(fingerprint)
                case QuarantineEnded():
                    self._log_end(action, 'lifted')
        if self._listener is not None:
            self._listener.spread_verdicts()
        return bool(actions)

    def _start_quarantine(self, fingerprint: Fingerprint, until: float) -> None:
        self._metrics.crashes.labels('quarantined').inc()
        now = self._clock.now()
        self._log.record(
            'quarantine-started',
            now,
            fingerprint=fingerprint,
            seconds=round(until - now, 1),
            crashes=[
                list(verdict.crashes)
                for verdict in self._quarantine.verdicts(now)
                if verdict.fingerprint == fingerprint
            ],
        )
        if self._on_quarantined is not None:
            self._on_quarantined(fingerprint)

    def _keep_verdict(self, fingerprint: Fingerprint) -> None:
        if self._keeper is None:
            return
        for verdict in self.verdicts():
            if verdict.fingerprint == fingerprint:
                self._keeper.keep(verdict)

    def _log_end(self, ended: QuarantineEnded, reason: str) -> None:
        if self._keeper is not None:
            self._keeper.drop(ended.fingerprint)
        self._log.record(
            'quarantine-ended',
            self._clock.now(),
            fingerprint=ended.fingerprint,
            reason=reason,
        )
