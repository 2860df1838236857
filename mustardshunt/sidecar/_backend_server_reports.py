"""Applies what a node learns about its backend server, and logs it."""

from collections.abc import Callable

from mustardshunt.base import Clock
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._ports import AnswerMetadata
from mustardshunt.upstream import BackendGate, Heartbeat, ServerRun


class BackendServerReports:
    """Reports about the backend server beside this node.

    The backend server itself sends heartbeats and deregistrations, and says in
    its answers what it needs. Other nodes report what a restarted node has
    forgotten.

    Parameters
    ----------
    gate : BackendGate
        Admission control of the backend server.
    log : EventLog
        Log of changes, and of reports that change nothing.
    clock : Clock
        Source of the time.
    on_change : callable
        Called with the time in seconds after the state may have changed.
    """

    def __init__(
        self,
        gate: BackendGate,
        log: EventLog,
        clock: Clock,
        on_change: Callable[[float], None],
    ) -> None:
        self._gate = gate
        self._log = log
        self._clock = clock
        self._on_change = on_change

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the state of the backend server from its heartbeat.

        Also logs a change of the instance or of its phase.
        """
        now = self._clock.now()
        current = self._gate.liveness.current
        before = (self._gate.instance, self._gate.liveness.phase)
        was_cold = self._gate.is_cold(now)
        is_recorded = self._gate.record_heartbeat(heartbeat, now)
        after = (self._gate.instance, self._gate.liveness.phase)
        if not is_recorded and before == after:
            self._log.record(
                'report-ignored',
                now,
                instance=heartbeat.instance,
                phase=heartbeat.phase.value,
                started_at=heartbeat.started_at,
                sequence=heartbeat.sequence,
                current=current,
                current_phase=before[1].value,
            )
            return
        if before != after:
            self._log.record(
                'backend-server',
                now,
                instance=heartbeat.instance,
                phase=after[1].value,
                before=before[1].value,
                started_at=heartbeat.started_at,
                sequence=heartbeat.sequence,
                slots=heartbeat.slots,
                cold_for=heartbeat.cold_for,
            )
        if self._gate.is_cold(now) != was_cold:
            self._log.record(
                'cold-start',
                now,
                instance=heartbeat.instance,
                is_cold=not was_cold,
                cold_for=heartbeat.cold_for,
                sequence=heartbeat.sequence,
            )
        self._on_change(now)

    def deregister(self, instance: str) -> None:
        """Mark an instance of the backend server as departed, and log it."""
        now = self._clock.now()
        liveness = self._gate.liveness
        if liveness.deregister(instance, now):
            self._log_phase(instance, 'backend server has deregistered', now)
        else:
            self._log.record(
                'report-ignored',
                now,
                instance=instance,
                phase='gone',
                current=liveness.current,
                current_phase=liveness.phase.value,
            )
        self._on_change(now)

    def handle_answer(
        self, run: ServerRun | None, sent_at: float, metadata: AnswerMetadata
    ) -> None:
        """Apply what an answer says about the backend server, and log it.

        Parameters
        ----------
        run : ServerRun or None
            Run of the backend server to which the call was sent.
        sent_at : float
            Time in seconds at which the call was sent.
        metadata : AnswerMetadata
            What the headers of the answer say.
        """
        if metadata.is_wrong_instance:
            return
        if metadata.is_leaving and run is not None:
            self.mark_leaving(run, 'answer')
        now = self._clock.now()
        if metadata.malformed:
            self._log.record(
                'answer-header-ignored',
                now,
                instance=self._gate.instance,
                error=metadata.malformed,
            )
        limit = self._gate.named_limit
        before = limit.rate
        if metadata.request_limit is not None:
            limit.record_named(run, metadata.request_limit, now)
        elif metadata.is_stamped and not metadata.malformed:
            limit.record_unnamed(run, sent_at)
        if limit.rate != before:
            self._apply_limit(before, 'answer', now)

    def adopt_limit(self, run: ServerRun, rate: float, source: str) -> None:
        """Use the limit that a run has named before this node was restarted.

        Parameters
        ----------
        run : ServerRun
            Run of the backend server; another run has no such limit.
        rate : float
            The limit in requests a second.
        source : str
            How the node learned it, for the log.
        """
        now = self._clock.now()
        before = self._gate.named_limit.rate
        if self._gate.named_limit.adopt(run, rate, now):
            self._apply_limit(before, source, now)

    def mark_leaving(self, run: ServerRun, source: str) -> None:
        """Stop calls to a run of the backend server, which leaves.

        Parameters
        ----------
        run : ServerRun
            The run, which need not be the current one.
        source : str
            How the node learned it, for the log.
        """
        liveness = self._gate.liveness
        before = liveness.phase
        liveness.mark_leaving(run)
        if liveness.phase is before:
            return
        now = self._clock.now()
        self._log_phase(run.instance, source, now)
        self._on_change(now)

    def mark_unreachable(self) -> None:
        """Mark the backend server as unreachable: connections are refused."""
        now = self._clock.now()
        self._gate.liveness.mark_unreachable()
        self._log_phase(self._gate.instance, 'connection refused', now)
        self._on_change(now)

    def _apply_limit(
        self, before: float | None, source: str, now: float
    ) -> None:
        self._log.record(
            'request-limit',
            now,
            instance=self._gate.instance,
            rate=self._gate.named_limit.rate,
            before=before,
            source=source,
        )
        self._on_change(now)

    def _log_phase(self, instance: str, reason: str, now: float) -> None:
        self._log.record(
            'backend-server',
            now,
            instance=instance,
            phase=self._gate.liveness.phase.value,
            reason=reason,
        )
