"""Rules that quarantine requests which crash backend servers."""

from collections.abc import Callable, Collection
from typing import Protocol

from mustardshunt.base import Incarnation
from mustardshunt.quarantine import (
    BackendServerCrashed,
    CallFinished,
    CrashReportArrived,
    Fingerprint,
    ForwardCrashReport,
    QuarantineDecision,
    make_request_quarantine,
)

_SCORE_LIMIT = 0.5


class CrashRule(Protocol):
    """Decides which requests of one service are quarantined.

    The service has several backend servers.
    """

    def check(
        self,
        server: int,
        fingerprint: Fingerprint,
        running: Collection[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start on a backend server."""
        ...

    def record_crash(
        self,
        server: int,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> None:
        """Record a crash of a backend server and the calls that ran there."""
        ...

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Record that a run of a call ended without a crash."""
        ...


class ScoreRule:
    """Adds to the score of each fingerprint in flight at a crash.

    Runs without a crash do not lower a score.

    Parameters
    ----------
    get_score : callable
        Returns the score that one crash adds, given the number of calls in
        flight.
    limit : float
        Score from which a fingerprint is quarantined.
    isolates_suspects : bool
        Whether two suspects never run at once on one backend server.
    """

    def __init__(
        self,
        get_score: Callable[[int], float],
        limit: float,
        *,
        isolates_suspects: bool,
    ) -> None:
        self._get_score = get_score
        self._isolates_suspects = isolates_suspects
        self._limit = limit
        self._score_by_fingerprint: dict[Fingerprint, float] = {}

    def check(
        self,
        server: int,
        fingerprint: Fingerprint,
        running: Collection[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start on a backend server."""
        score = self._score_by_fingerprint.get(fingerprint, 0.0)
        if score >= self._limit:
            return QuarantineDecision.QUARANTINED
        if not score or not self._isolates_suspects:
            return QuarantineDecision.RUN
        for other in running:
            if other != fingerprint and other in self._score_by_fingerprint:
                return QuarantineDecision.WAIT
        return QuarantineDecision.RUN

    def record_crash(
        self,
        server: int,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> None:
        """Record a crash of a backend server and the calls that ran there."""
        for fingerprint in set(in_flight):
            score = self._score_by_fingerprint.get(fingerprint, 0.0)
            score += self._get_score(len(in_flight))
            self._score_by_fingerprint[fingerprint] = score

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Ignore a run without a crash: it lowers no score."""


class QuarantineRule:
    """Uses the request quarantine of the project.

    A crash report reaches all nodes without delay.

    Parameters
    ----------
    server_count : int
        Number of backend servers.
    isolates_suspects : bool
        Whether two suspects never run at once on one backend server.
    """

    def __init__(self, server_count: int, *, isolates_suspects: bool) -> None:
        self._isolates_suspects = isolates_suspects
        self._quarantines = [
            make_request_quarantine(Incarnation(str(number)), 'service')
            for number in range(server_count)
        ]

    def check(
        self,
        server: int,
        fingerprint: Fingerprint,
        running: Collection[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start on a backend server."""
        running_beside = running if self._isolates_suspects else ()
        return self._quarantines[server].check(fingerprint, running_beside, now)

    def record_crash(
        self,
        server: int,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> None:
        """Record a crash, and pass the crash report to all nodes."""
        event = BackendServerCrashed(tuple(in_flight))
        for action in self._quarantines[server].handle(event, now):
            if not isinstance(action, ForwardCrashReport):
                continue
            for quarantine in self._quarantines:
                quarantine.handle(CrashReportArrived(action.report), now)

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Record that a run of a call ended without a crash."""
        self._quarantines[server].handle(CallFinished(fingerprint), now)


def make_crash_rules(server_count: int) -> dict[str, CrashRule]:
    """Return a new instance of each rule, by name.

    Parameters
    ----------
    server_count : int
        Number of backend servers.
    """
    return {
        'two crashes': ScoreRule(
            lambda count: 1.0, 2.0, isolates_suspects=True
        ),
        'two crashes, no isolation': ScoreRule(
            lambda count: 1.0,
            2.0,
            isolates_suspects=False,
        ),
        'sum of 1/n, no isolation': ScoreRule(
            lambda count: 1 / count,
            _SCORE_LIMIT,
            isolates_suspects=False,
        ),
        'suspicion level, no isolation': QuarantineRule(
            server_count, isolates_suspects=False
        ),
        'suspicion level': QuarantineRule(server_count, isolates_suspects=True),
    }
