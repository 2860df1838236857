"""Decides which requests crash backend servers."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.base import Incarnation, check_range
from mustardshunt.suspects._events import (
    Crash,
    CrashReport,
    Finish,
    QuarantineStarted,
    Score,
    ScoresArrived,
    ShareScores,
    SuspectCounts,
    Verdict,
)
from mustardshunt.suspects._fingerprints import Fingerprint

# A level is the evidence that a fingerprint crashes backend servers. A crash
# in flight adds 4 and a run that finishes takes 1 off, so the level rises on
# average for requests that crash in more than one of 5 runs.
CRASH_STEP: Final = 4
FINISH_STEP: Final = 1
# History counts for two crashes: enough for a common read that is in flight
# at every crash, and little enough for one that begins to crash.
LOWEST_LEVEL: Final = -8
QUARANTINE_LEVEL: Final = 8

_REPORT_SIZE: Final = 64
_MAX_REPORTS: Final = 256

Event: TypeAlias = Crash | Finish | ScoresArrived
Action: TypeAlias = ShareScores | QuarantineStarted


@dataclass(frozen=True, slots=True)
class _Entry:
    level: int
    # The entry is forgotten then; for a quarantined one it is the end.
    expires: float


class SuspectList:
    """What one node knows of requests that crash backend servers.

    Parameters
    ----------
    node : Incarnation
        This node.
    service : str
        Service of its backend server.
    memory : float
        Seconds after which an entry without new evidence is forgotten.
    quarantine : float
        Seconds for which a fingerprint is refused.
    capacity : int
        Most entries kept.
    """

    def __init__(
        self,
        node: Incarnation,
        service: str,
        memory: float,
        quarantine: float,
        capacity: int,
    ) -> None:
        self._node = node
        self._service = service
        self._memory = memory
        self._quarantine = quarantine
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
        event : Crash, Finish or ScoresArrived
            What happened.
        now : float
            Time in seconds.

        Returns
        -------
        list of ShareScores or QuarantineStarted
            What to do.
        """
        if isinstance(event, Finish):
            self._handle_finish(event.fingerprint, now)
            return []
        if isinstance(event, Crash):
            return self._handle_crash(event, now)
        return self._handle_report(event.report, now)

    def check(
        self,
        fingerprint: Fingerprint,
        running: Iterable[Fingerprint],
        now: float,
    ) -> Verdict:
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
        Verdict
            ``WAIT`` when another suspect runs.
        """
        level = self._suspect_level(fingerprint, now)
        if level >= QUARANTINE_LEVEL:
            return Verdict.QUARANTINED
        if not level:
            return Verdict.RUN
        for other in running:
            if other != fingerprint and self._suspect_level(other, now):
                return Verdict.WAIT
        return Verdict.RUN

    def snapshot(self, now: float) -> SuspectCounts:
        """Return counts for metrics."""
        levels = [self._suspect_level(name, now) for name in self._suspects]
        quarantined = sum(level >= QUARANTINE_LEVEL for level in levels)
        return SuspectCounts(
            len(self._history) + len(self._suspects),
            sum(level > 0 for level in levels) - quarantined,
            quarantined,
        )

    def _handle_finish(self, fingerprint: Fingerprint, now: float) -> None:
        level = self._level(fingerprint, now)
        # Calls that began before the quarantine do not end it.
        if level >= QUARANTINE_LEVEL:
            return
        lower = max(LOWEST_LEVEL, level - FINISH_STEP)
        self._set_level(fingerprint, lower, now)

    def _handle_crash(self, event: Crash, now: float) -> list[Action]:
        self._crashes += 1
        levels: dict[Fingerprint, int] = {}
        for fingerprint in event.in_flight:
            levels[fingerprint] = self._level(fingerprint, now) + CRASH_STEP
        actions = self._raise_levels(levels, now)
        highest = sorted(levels, key=lambda name: (-levels[name], name))
        report = CrashReport(
            self._node,
            self._crashes,
            self._service,
            tuple(Score(name, levels[name]) for name in highest[:_REPORT_SIZE]),
        )
        self._remember_report(report)
        return [*actions, ShareScores(report)]

    def _handle_report(self, report: CrashReport, now: float) -> list[Action]:
        if (report.node, report.number) in self._seen:
            return []
        self._remember_report(report)
        if report.service != self._service:
            return [ShareScores(report)]
        levels: dict[Fingerprint, int] = {}
        for score in report.scores:
            level = self._level(score.fingerprint, now)
            # The node that saw the crash may know harmless runs that this one
            # does not, so a report never leads beyond the level there.
            raised = min(level + CRASH_STEP, score.level)
            if not self._is_known(score.fingerprint, now):
                raised = score.level
            if raised > level:
                levels[score.fingerprint] = raised
        return [*self._raise_levels(levels, now), ShareScores(report)]

    def _raise_levels(
        self,
        levels: dict[Fingerprint, int],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for fingerprint, level in levels.items():
            was_quarantined = self._level(fingerprint, now) >= QUARANTINE_LEVEL
            self._set_level(fingerprint, level, now)
            if level >= QUARANTINE_LEVEL and not was_quarantined:
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
        is_quarantined = level >= QUARANTINE_LEVEL
        lifetime = self._quarantine if is_quarantined else self._memory
        entry = _Entry(min(level, QUARANTINE_LEVEL), now + lifetime)
        entries = self._suspects if level > 0 else self._history
        entries[fingerprint] = entry
        if len(entries) > self._capacity // 2:
            entries.popitem(last=False)

    def _remember_report(self, report: CrashReport) -> None:
        self._seen[report.node, report.number] = None
        if len(self._seen) > _MAX_REPORTS:
            self._seen.popitem(last=False)


def make_suspect_list(
    node: Incarnation,
    service: str,
    *,
    memory: float = 60.0,
    quarantine: float = 600.0,
    capacity: int = 8192,
) -> SuspectList:
    """Make a suspect list.

    Parameters
    ----------
    node : Incarnation
        This node.
    service : str
        Service of its backend server.
    memory : float, default=60.0
        Seconds after which an entry without new evidence is forgotten.
    quarantine : float, default=600.0
        Seconds for which a fingerprint is refused.
    capacity : int, default=8192
        Most entries kept, half of them for suspects.
    """
    check_range('memory', memory, 1.0, 3600.0)
    check_range('quarantine', quarantine, 1.0, 86_400.0)
    check_range('capacity', capacity, 2, 1_000_000)
    return SuspectList(node, service, memory, quarantine, capacity)
