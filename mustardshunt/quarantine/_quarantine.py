"""Suspicion levels of requests, and quarantine of poison requests."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.base import Incarnation, check_range
from mustardshunt.quarantine._events import (
    BackendServerCrashed,
    CallFinished,
    CrashReport,
    CrashReportArrived,
    ForwardCrashReport,
    QuarantineCounts,
    QuarantineDecision,
    QuarantineEnded,
    QuarantineLifted,
    QuarantineStarted,
    SuspicionScore,
    Verdict,
    VerdictArrived,
)
from mustardshunt.quarantine._evidence import (
    CRASH_INCREMENT,
    FINISH_DECREMENT,
    MIN_SUSPICION_LEVEL,
    EvidenceRule,
    SharedEvidence,
)
from mustardshunt.quarantine._fingerprints import Fingerprint

# Most crash reports whose identity is stored. Several neighbours may forward
# the same report. A node recognises the report by its identity and processes
# the report only once.
_MAX_SEEN_REPORTS: Final = 256

# Most lifted fingerprints whose identity is stored, so that a node passes on
# the order of an operator only once.
_MAX_LIFTED: Final = 256
# Most crashes that are named as the evidence of a verdict.
_MAX_NAMED_CRASHES: Final = 5

Event: TypeAlias = (
    BackendServerCrashed
    | CallFinished
    | CrashReportArrived
    | VerdictArrived
    | QuarantineLifted
)
Action: TypeAlias = ForwardCrashReport | QuarantineStarted | QuarantineEnded


@dataclass(frozen=True, slots=True)
class _Entry:
    level: int
    # Time in seconds from which the suspicion level counts as 0. If the
    # fingerprint is quarantined, the quarantine ends at this time.
    expires_at: float
    # Nodes beside the backend servers that crashed, the last ones.
    crashes: tuple[str, ...] = ()


class RequestQuarantine:
    """Suspicion levels and quarantined requests that one node knows.

    Parameters
    ----------
    node : Incarnation
        Incarnation of this node.
    service : str
        Service of the node's backend server.
    rule : EvidenceRule
        Combines the evidence of several nodes.
    retention : float
        Seconds after which a fingerprint without new evidence is removed.
    quarantine_duration : float
        Seconds for which a quarantined fingerprint is refused.
    capacity : int
        Most fingerprints that are stored; half of them may be suspects.
    """

    def __init__(
        self,
        node: Incarnation,
        service: str,
        rule: EvidenceRule,
        retention: float,
        quarantine_duration: float,
        capacity: int,
    ) -> None:
        self._node = node
        self._service = service
        self._rule = rule
        self._retention = retention
        self._quarantine_duration = quarantine_duration
        self._capacity = capacity
        self._crash_count = 0
        # Fingerprints and their suspicion levels, the least recently changed
        # first. Suspects and quarantined fingerprints are stored apart from
        # harmless fingerprints. A flood of harmless requests therefore evicts
        # no suspect and no quarantined fingerprint.
        self._non_suspects: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._suspects: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._quarantined: set[Fingerprint] = set()
        # Fingerprints that operators have lifted, with the time until which
        # other nodes may still spread a verdict.
        self._lifted: OrderedDict[Fingerprint, float] = OrderedDict()
        self._seen_reports: OrderedDict[tuple[Incarnation, int], None] = (
            OrderedDict()
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Update the suspicion levels, and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event that has happened.
        now : float
            Time in seconds.

        Returns
        -------
        list of Action
            Actions that the node must carry out.
        """
        if isinstance(event, CallFinished):
            self._handle_finish(event.fingerprint, now)
            return []
        if isinstance(event, BackendServerCrashed):
            return self._handle_crash(event, now)
        if isinstance(event, VerdictArrived):
            return self._handle_verdict(event.verdict, now)
        if isinstance(event, QuarantineLifted):
            return self._handle_lift(event.fingerprint, now)
        return self._handle_report(event.report, now)

    def check(
        self,
        fingerprint: Fingerprint,
        running: Iterable[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the call.
        running : iterable of Fingerprint
            Fingerprints of the calls that run at the backend server; read
            only if the call is a suspect.
        now : float
            Time in seconds.

        Returns
        -------
        QuarantineDecision
            ``QUARANTINED`` if the call must be refused. ``WAIT`` if the call is
            a suspect and a different suspect runs. Otherwise ``RUN``.
        """
        level = self._suspect_level(fingerprint, now)
        if level >= self._rule.threshold:
            return QuarantineDecision.QUARANTINED
        if not level:
            return QuarantineDecision.RUN
        for other in running:
            if other != fingerprint and self._suspect_level(other, now):
                return QuarantineDecision.WAIT
        return QuarantineDecision.RUN

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how long calls are still refused, 0 if they may run.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the calls.
        now : float
            Time in seconds.
        """
        if fingerprint not in self._quarantined:
            return 0.0
        return max(0.0, self._suspects[fingerprint].expires_at - now)

    def verdicts(self, now: float) -> list[Verdict]:
        """Return all quarantined fingerprints with their evidence."""
        return [
            Verdict(
                fingerprint,
                self._suspects[fingerprint].level,
                self._suspects[fingerprint].expires_at,
                self._suspects[fingerprint].crashes,
            )
            for fingerprint in self._quarantined
            if self.seconds_left(fingerprint, now) > 0
        ]

    def expire(self, now: float) -> list[QuarantineEnded]:
        """End the quarantines whose time has passed, and return their ends."""
        ended = [
            fingerprint
            for fingerprint in self._quarantined
            if self.seconds_left(fingerprint, now) <= 0
        ]
        for fingerprint in ended:
            self._remove(fingerprint)
        return [QuarantineEnded(fingerprint) for fingerprint in ended]

    def snapshot(self, now: float) -> QuarantineCounts:
        """Return how many fingerprints are stored, suspect or refused."""
        levels = [
            self._suspect_level(fingerprint, now)
            for fingerprint in self._suspects
        ]
        quarantined = sum(level >= self._rule.threshold for level in levels)
        return QuarantineCounts(
            len(self._non_suspects) + len(self._suspects),
            sum(level > 0 for level in levels) - quarantined,
            quarantined,
        )

    def _handle_finish(self, fingerprint: Fingerprint, now: float) -> None:
        level = self._level(fingerprint, now)
        # If the fingerprint is quarantined, the call started before the
        # quarantine. The end of this call must not end the quarantine.
        if level >= self._rule.threshold:
            return
        lowered = max(MIN_SUSPICION_LEVEL, level - FINISH_DECREMENT)
        self._set_level(fingerprint, lowered, now, self._crashes(fingerprint))

    def _handle_crash(
        self, event: BackendServerCrashed, now: float
    ) -> list[Action]:
        self._crash_count += 1
        levels: dict[Fingerprint, int] = {}
        for fingerprint in event.in_flight:
            levels[fingerprint] = (
                self._level(fingerprint, now) + CRASH_INCREMENT
            )
        actions = self._raise_levels(levels, now, self._node)
        ordered = sorted(
            levels, key=lambda fingerprint: (-levels[fingerprint], fingerprint)
        )
        report = CrashReport(
            self._node,
            self._crash_count,
            self._service,
            tuple(
                SuspicionScore(candidate, levels[candidate])
                for candidate in ordered[: self._rule.report_size]
            ),
        )
        self._record_report(report)
        return [*actions, ForwardCrashReport(report)]

    def _handle_report(self, report: CrashReport, now: float) -> list[Action]:
        if (report.node, report.number) in self._seen_reports:
            return []
        self._record_report(report)
        if not self._rule.applies(report.service):
            return [ForwardCrashReport(report)]
        levels: dict[Fingerprint, int] = {}
        for score in report.scores:
            fingerprint = score.fingerprint
            level = self._level(fingerprint, now)
            is_known = self._is_known(fingerprint, now)
            raised = self._rule.combine(
                level if is_known else None, score.level
            )
            if raised > level:
                levels[fingerprint] = raised
        return [
            *self._raise_levels(levels, now, report.node),
            ForwardCrashReport(report),
        ]

    def _handle_verdict(self, verdict: Verdict, now: float) -> list[Action]:
        fingerprint = verdict.fingerprint
        own_level = self._level(fingerprint, now)
        # Calls that have ended without a crash at this node count against the
        # verdict.
        level = verdict.level + min(0, own_level)
        if level < self._rule.threshold or level <= own_level:
            return []
        lifetime = min(verdict.until - now, self._quarantine_duration)
        if lifetime <= 0:
            return []
        self._set_level(fingerprint, level, now, verdict.crashes, lifetime)
        if own_level >= self._rule.threshold:
            return []
        return [QuarantineStarted(fingerprint, now + lifetime)]

    def _handle_lift(
        self, fingerprint: Fingerprint, now: float
    ) -> list[Action]:
        is_known = self._lifted.get(fingerprint, now) > now
        if is_known and fingerprint not in self._quarantined:
            return []
        self._lifted[fingerprint] = now + self._quarantine_duration
        if len(self._lifted) > _MAX_LIFTED:
            self._lifted.popitem(last=False)
        # Verdicts that other nodes still spread must not start the quarantine
        # again, so this level is stored for as long as they may last.
        self._set_level(
            fingerprint,
            MIN_SUSPICION_LEVEL,
            now,
            lifetime=self._quarantine_duration,
        )
        return [QuarantineEnded(fingerprint)]

    def _raise_levels(
        self,
        levels: dict[Fingerprint, int],
        now: float,
        crashed_beside: str,
    ) -> list[Action]:
        actions: list[Action] = []
        for fingerprint, level in levels.items():
            was_quarantined = (
                self._level(fingerprint, now) >= self._rule.threshold
            )
            crashes = (*self._crashes(fingerprint), crashed_beside)
            self._set_level(
                fingerprint, level, now, crashes[-_MAX_NAMED_CRASHES:]
            )
            if level >= self._rule.threshold and not was_quarantined:
                until = self._suspects[fingerprint].expires_at
                actions.append(QuarantineStarted(fingerprint, until))
        return actions

    def _crashes(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        entry = self._suspects.get(fingerprint)
        return () if entry is None else entry.crashes

    def _level(self, fingerprint: Fingerprint, now: float) -> int:
        entry = self._non_suspects.get(fingerprint)
        if entry is None:
            return self._suspect_level(fingerprint, now)
        return entry.level if entry.expires_at > now else 0

    def _suspect_level(self, fingerprint: Fingerprint, now: float) -> int:
        entry = self._suspects.get(fingerprint)
        if entry is None or entry.expires_at <= now:
            return 0
        return entry.level

    def _is_known(self, fingerprint: Fingerprint, now: float) -> bool:
        entry = self._non_suspects.get(fingerprint)
        if entry is None:
            entry = self._suspects.get(fingerprint)
        return entry is not None and entry.expires_at > now

    def _set_level(
        self,
        fingerprint: Fingerprint,
        level: int,
        now: float,
        crashes: tuple[str, ...] = (),
        lifetime: float | None = None,
    ) -> None:
        self._remove(fingerprint)
        is_quarantined = level >= self._rule.threshold
        if lifetime is None:
            lifetime = (
                self._quarantine_duration if is_quarantined else self._retention
            )
        entry = _Entry(
            min(level, self._rule.highest_level), now + lifetime, crashes
        )
        if is_quarantined:
            self._quarantined.add(fingerprint)
        entries = self._suspects if level > 0 else self._non_suspects
        entries[fingerprint] = entry
        if len(entries) > self._capacity // 2:
            evicted, _ = entries.popitem(last=False)
            self._quarantined.discard(evicted)

    def _remove(self, fingerprint: Fingerprint) -> None:
        self._non_suspects.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        self._quarantined.discard(fingerprint)

    def _record_report(self, report: CrashReport) -> None:
        self._seen_reports[report.node, report.number] = None
        if len(self._seen_reports) > _MAX_SEEN_REPORTS:
            self._seen_reports.popitem(last=False)


def make_request_quarantine(
    node: Incarnation,
    service: str,
    *,
    rule: EvidenceRule | None = None,
    retention: float = 60.0,
    quarantine_duration: float = 600.0,
    capacity: int = 8192,
) -> RequestQuarantine:
    """Make a quarantine without any fingerprints.

    Parameters
    ----------
    node : Incarnation
        Incarnation of this node.
    service : str
        Service of the node's backend server.
    rule : EvidenceRule or None, default=None
        Combines the evidence of several nodes; None if each report reaches all
        nodes of the service.
    retention : float, default=60.0
        Seconds after which a fingerprint without new evidence is removed;
        1 to 3600.
    quarantine_duration : float, default=600.0
        Seconds for which a quarantined fingerprint is refused; 1 to 86400.
    capacity : int, default=8192
        Most fingerprints that are stored, half of them for suspects; 2 to
        1000000.

    Raises
    ------
    ParameterError
        If a parameter is out of its range.
    """
    check_range('retention', retention, 1.0, 3600.0)
    check_range('quarantine_duration', quarantine_duration, 1.0, 86_400.0)
    check_range('capacity', capacity, 2, 1_000_000)
    return RequestQuarantine(
        node,
        service,
        SharedEvidence(service) if rule is None else rule,
        retention,
        quarantine_duration,
        capacity,
    )
