"""Decides which requests crash backend servers."""

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

# A level is the evidence that a fingerprint crashes backend servers. A crash
# in flight adds 4 and a run that finishes takes 1 off, so the level rises on
# average for requests that crash in more than one of 5 runs.
CRASH_INCREMENT: Final = 4
FINISH_DECREMENT: Final = 1
# History counts for two crashes: enough for a common read that is in flight
# at every crash, and little enough for one that begins to crash.
MIN_SUSPICION_LEVEL: Final = -8
QUARANTINE_THRESHOLD: Final = 8

_REPORT_SIZE: Final = 64
_MAX_REPORTS: Final = 256

Event: TypeAlias = BackendServerCrashed | CallFinished | CrashReportArrived
Action: TypeAlias = ForwardCrashReport | QuarantineStarted


@dataclass(frozen=True, slots=True)
class _Entry:
    level: int
    # The entry is forgotten then; for a quarantined one it is the end.
    expires: float


class RequestQuarantine:
    """What one node knows of requests that crash backend servers.

    Parameters
    ----------
    node : Incarnation
        This node.
    service : str
        Service of its backend server.
    retention : float
        Seconds after which an entry without new evidence is forgotten.
    quarantine_duration : float
        Seconds for which a fingerprint is refused.
    capacity : int
        Most entries kept.
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
        self._memory = retention
        self._quarantine = quarantine_duration
        self._capacity = capacity
        self._crashes = 0
        # Least recently changed first; suspects and quarantined ones apart,
        # so that a flood of harmless requests does not push them out.
        self._history: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._suspects: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._seen: OrderedDict[tuple[Incarnation, int], None] = OrderedDict()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event in.

        Parameters
        ----------
        event : BackendServerCrashed, CallFinished or CrashReportArrived
            What happened.
        now : float
            Time in seconds.

        Returns
        -------
        list of ForwardCrashReport or QuarantineStarted
            What to do.
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
            Call that is about to start.
        running : iterable of Fingerprint
            Calls that run on the same backend server; read only when the
            call is a suspect.
        now : float
            Time in seconds.

        Returns
        -------
        QuarantineDecision
            ``WAIT`` when another suspect runs.
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
        """Return counts for metrics."""
        levels = [self._suspect_level(name, now) for name in self._suspects]
        quarantined = sum(level >= QUARANTINE_THRESHOLD for level in levels)
        return QuarantineCounts(
            len(self._history) + len(self._suspects),
            sum(level > 0 for level in levels) - quarantined,
            quarantined,
        )

    def _handle_finish(self, fingerprint: Fingerprint, now: float) -> None:
        level = self._level(fingerprint, now)
        # Calls that began before the quarantine do not end it.
        if level >= QUARANTINE_THRESHOLD:
            return
        lower = max(MIN_SUSPICION_LEVEL, level - FINISH_DECREMENT)
        self._set_level(fingerprint, lower, now)

    def _handle_crash(
        self, event: BackendServerCrashed, now: float
    ) -> list[Action]:
        self._crashes += 1
        levels: dict[Fingerprint, int] = {}
        for fingerprint in event.in_flight:
            levels[fingerprint] = (
                self._level(fingerprint, now) + CRASH_INCREMENT
            )
        actions = self._raise_levels(levels, now)
        highest = sorted(levels, key=lambda name: (-levels[name], name))
        report = CrashReport(
            self._node,
            self._crashes,
            self._service,
            tuple(
                SuspicionScore(name, levels[name])
                for name in highest[:_REPORT_SIZE]
            ),
        )
        self._remember_report(report)
        return [*actions, ForwardCrashReport(report)]

    def _handle_report(self, report: CrashReport, now: float) -> list[Action]:
        if (report.node, report.number) in self._seen:
            return []
        self._remember_report(report)
        if report.service != self._service:
            return [ForwardCrashReport(report)]
        levels: dict[Fingerprint, int] = {}
        for score in report.scores:
            level = self._level(score.fingerprint, now)
            # The node that saw the crash may know harmless runs that this one
            # does not, so a report never leads beyond the level there.
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
                until = self._suspects[fingerprint].expires
                actions.append(QuarantineStarted(fingerprint, until))
        return actions

    def _level(self, fingerprint: Fingerprint, now: float) -> int:
        entry = self._history.get(fingerprint)
        if entry is None:
            return self._suspect_level(fingerprint, now)
        return entry.level if entry.expires > now else 0

    def _suspect_level(self, fingerprint: Fingerprint, now: float) -> int:
        entry = self._suspects.get(fingerprint)
        if entry is None or entry.expires <= now:
            return 0
        return entry.level

    def _is_known(self, fingerprint: Fingerprint, now: float) -> bool:
        entry = self._history.get(fingerprint)
        if entry is None:
            entry = self._suspects.get(fingerprint)
        return entry is not None and entry.expires > now

    def _set_level(
        self,
        fingerprint: Fingerprint,
        level: int,
        now: float,
    ) -> None:
        self._history.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        is_quarantined = level >= QUARANTINE_THRESHOLD
        lifetime = self._quarantine if is_quarantined else self._memory
        entry = _Entry(min(level, QUARANTINE_THRESHOLD), now + lifetime)
        entries = self._suspects if level > 0 else self._history
        entries[fingerprint] = entry
        if len(entries) > self._capacity // 2:
            entries.popitem(last=False)

    def _remember_report(self, report: CrashReport) -> None:
        self._seen[report.node, report.number] = None
        if len(self._seen) > _MAX_REPORTS:
            self._seen.popitem(last=False)


def make_request_quarantine(
    node: Incarnation,
    service: str,
    *,
    retention: float = 60.0,
    quarantine_duration: float = 600.0,
    capacity: int = 8192,
) -> RequestQuarantine:
    """Make a suspect list.

    Parameters
    ----------
    node : Incarnation
        This node.
    service : str
        Service of its backend server.
    retention : float, default=60.0
        Seconds after which an entry without new evidence is forgotten.
    quarantine_duration : float, default=600.0
        Seconds for which a fingerprint is refused.
    capacity : int, default=8192
        Most entries kept, half of them for suspects.
    """
    check_range('retention', retention, 1.0, 3600.0)
    check_range('quarantine_duration', quarantine_duration, 1.0, 86_400.0)
    check_range('capacity', capacity, 2, 1_000_000)
    return RequestQuarantine(
        node, service, retention, quarantine_duration, capacity
    )
