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
    QuarantineStarted,
    SuspicionScore,
)
from mustardshunt.quarantine._fingerprints import Fingerprint

# The suspicion level of a request measures the evidence that the request
# crashes backend servers. A crash while the request is in flight adds 4 to the
# level. A call of the request that ends without a crash subtracts 1. On average
# the level rises if more than 1 in 5 calls end in a crash, and falls if fewer
# do.
CRASH_INCREMENT: Final = 4
FINISH_DECREMENT: Final = 1
# Lowest suspicion level, and the level from which a request is refused. Calls
# without a crash lower the level, which protects a frequent harmless request
# that is in flight at each crash. With the lowest level of -8, such calls make
# up for at most two later crashes. A request that begins to crash backend
# servers is therefore still detected soon.
MIN_SUSPICION_LEVEL: Final = -8
QUARANTINE_THRESHOLD: Final = 8

_MAX_SCORES_PER_REPORT: Final = 64
# Most crash reports whose identity is stored. Several neighbours may forward
# the same report. A node recognises the report by its identity and processes
# the report only once.
_MAX_SEEN_REPORTS: Final = 256

Event: TypeAlias = BackendServerCrashed | CallFinished | CrashReportArrived
Action: TypeAlias = ForwardCrashReport | QuarantineStarted


@dataclass(frozen=True, slots=True)
class _Entry:
    level: int
    # Time in seconds from which the suspicion level counts as 0. If the
    # fingerprint is quarantined, the quarantine ends at this time.
    expires_at: float


class RequestQuarantine:
    """Suspicion levels and quarantined requests that one node knows.

    Parameters
    ----------
    node : Incarnation
        Incarnation of this node.
    service : str
        Service of the node's backend server.
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
        retention: float,
        quarantine_duration: float,
        capacity: int,
    ) -> None:
        self._node = node
        self._service = service
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
        self._seen_reports: OrderedDict[tuple[Incarnation, int], None] = (
            OrderedDict()
        )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Update the suspicion levels, and return the resulting actions.

        Parameters
        ----------
        event : BackendServerCrashed, CallFinished or CrashReportArrived
            Event that has happened.
        now : float
            Time in seconds.

        Returns
        -------
        list of ForwardCrashReport or QuarantineStarted
            Actions that the node must carry out.
        """
        if isinstance(event, CallFinished):
            self._handle_finish(event.fingerprint, now)
            return []
        if isinstance(event, BackendServerCrashed):
            return self._handle_crash(event, now)
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
        if level >= QUARANTINE_THRESHOLD:
            return QuarantineDecision.QUARANTINED
        if not level:
            return QuarantineDecision.RUN
        for other in running:
            if other != fingerprint and self._suspect_level(other, now):
                return QuarantineDecision.WAIT
        return QuarantineDecision.RUN

    def snapshot(self, now: float) -> QuarantineCounts:
        """Return how many fingerprints are stored, suspect or refused."""
        levels = [
            self._suspect_level(fingerprint, now)
            for fingerprint in self._suspects
        ]
        quarantined = sum(level >= QUARANTINE_THRESHOLD for level in levels)
        return QuarantineCounts(
            len(self._non_suspects) + len(self._suspects),
            sum(level > 0 for level in levels) - quarantined,
            quarantined,
        )

    def _handle_finish(self, fingerprint: Fingerprint, now: float) -> None:
        level = self._level(fingerprint, now)
        # If the fingerprint is quarantined, the call started before the
        # quarantine. The end of this call must not end the quarantine.
        if level >= QUARANTINE_THRESHOLD:
            return
        lowered = max(MIN_SUSPICION_LEVEL, level - FINISH_DECREMENT)
        self._set_level(fingerprint, lowered, now)

    def _handle_crash(
        self, event: BackendServerCrashed, now: float
    ) -> list[Action]:
        self._crash_count += 1
        levels: dict[Fingerprint, int] = {}
        for fingerprint in event.in_flight:
            levels[fingerprint] = (
                self._level(fingerprint, now) + CRASH_INCREMENT
            )
        actions = self._raise_levels(levels, now)
        ordered = sorted(
            levels, key=lambda fingerprint: (-levels[fingerprint], fingerprint)
        )
        report = CrashReport(
            self._node,
            self._crash_count,
            self._service,
            tuple(
                SuspicionScore(candidate, levels[candidate])
                for candidate in ordered[:_MAX_SCORES_PER_REPORT]
            ),
        )
        self._record_report(report)
        return [*actions, ForwardCrashReport(report)]

    def _handle_report(self, report: CrashReport, now: float) -> list[Action]:
        if (report.node, report.number) in self._seen_reports:
            return []
        self._record_report(report)
        if report.service != self._service:
            return [ForwardCrashReport(report)]
        levels: dict[Fingerprint, int] = {}
        for score in report.scores:
            level = self._level(score.fingerprint, now)
            # A crash report never raises a suspicion level above the level at
            # the reporting node. That node may have seen calls without a crash
            # that this node has not seen.
            raised = min(level + CRASH_INCREMENT, score.level)
            if not self._is_known(score.fingerprint, now):
                raised = score.level
            if raised > level:
                levels[score.fingerprint] = raised
        return [*self._raise_levels(levels, now), ForwardCrashReport(report)]

    def _raise_levels(
        self,
        levels: dict[Fingerprint, int],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for fingerprint, level in levels.items():
            was_quarantined = (
                self._level(fingerprint, now) >= QUARANTINE_THRESHOLD
            )
            self._set_level(fingerprint, level, now)
            if level >= QUARANTINE_THRESHOLD and not was_quarantined:
                until = self._suspects[fingerprint].expires_at
                actions.append(QuarantineStarted(fingerprint, until))
        return actions

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
    ) -> None:
        self._non_suspects.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        is_quarantined = level >= QUARANTINE_THRESHOLD
        lifetime = (
            self._quarantine_duration if is_quarantined else self._retention
        )
        entry = _Entry(min(level, QUARANTINE_THRESHOLD), now + lifetime)
        entries = self._suspects if level > 0 else self._non_suspects
        entries[fingerprint] = entry
        if len(entries) > self._capacity // 2:
            entries.popitem(last=False)

    def _record_report(self, report: CrashReport) -> None:
        self._seen_reports[report.node, report.number] = None
        if len(self._seen_reports) > _MAX_SEEN_REPORTS:
            self._seen_reports.popitem(last=False)


def make_request_quarantine(
    node: Incarnation,
    service: str,
    *,
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
        node, service, retention, quarantine_duration, capacity
    )
