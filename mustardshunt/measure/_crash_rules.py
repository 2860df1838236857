"""Rules that name the request that crashes backend servers."""

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
    """A rule for a service with several backend servers."""

    def check(
        self,
        server: int,
        fingerprint: Fingerprint,
        running: Collection[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start."""
        ...

    def record_crash(
        self,
        server: int,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> None:
        """Take a crash in."""
        ...

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Take a run in that ended without a crash."""
        ...


class ScoreRule:
    """Adds up a score for each crash in flight; runs do not lower it.

    Parameters
    ----------
    weigh : callable
        Returns what one crash adds, given the number of calls in flight.
    limit : float
        Score of a quarantined fingerprint.
    isolates_suspects : bool
        Whether suspects run apart from each other.
    """

    def __init__(
        self,
        weigh: Callable[[int], float],
        limit: float,
        *,
        isolates_suspects: bool,
    ) -> None:
        self._weigh = weigh
        self._apart = isolates_suspects
        self._limit = limit
        self._score_by_fingerprint: dict[Fingerprint, float] = {}

    def check(
        self,
        server: int,
        fingerprint: Fingerprint,
        running: Collection[Fingerprint],
        now: float,
    ) -> QuarantineDecision:
        """Decide whether a call may start."""
        score = self._score_by_fingerprint.get(fingerprint, 0.0)
        if score >= self._limit:
            return QuarantineDecision.QUARANTINED
        if not score or not self._apart:
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
        """Take a crash in."""
        for fingerprint in set(in_flight):
            score = self._score_by_fingerprint.get(fingerprint, 0.0)
            score += self._weigh(len(in_flight))
            self._score_by_fingerprint[fingerprint] = score

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Ignore a run."""


class QuarantineRule:
    """The suspect lists of all nodes, with reports that arrive at once.

    Parameters
    ----------
    server_count : int
        Number of backend servers.
    isolates_suspects : bool
        Whether suspects run apart from each other.
    """

    def __init__(self, server_count: int, *, isolates_suspects: bool) -> None:
        self._apart = isolates_suspects
        self._lists = [
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
        """Decide whether a call may start."""
        beside = running if self._apart else ()
        return self._lists[server].check(fingerprint, beside, now)

    def record_crash(
        self,
        server: int,
        in_flight: Collection[Fingerprint],
        now: float,
    ) -> None:
        """Take a crash in, and tell the other nodes."""
        event = BackendServerCrashed(tuple(in_flight))
        for action in self._lists[server].handle(event, now):
            if not isinstance(action, ForwardCrashReport):
                continue
            for suspect_list in self._lists:
                suspect_list.handle(CrashReportArrived(action.report), now)

    def record_finish(
        self,
        server: int,
        fingerprint: Fingerprint,
        now: float,
    ) -> None:
        """Take a run in."""
        self._lists[server].handle(CallFinished(fingerprint), now)


def make_crash_rules(server_count: int) -> dict[str, CrashRule]:
    """Return fresh rules by name.

    Parameters
    ----------
    server_count : int
        Number of backend servers.
    """
    return {
        'two crashes': ScoreRule(
            lambda count: 1.0, 2.0, isolates_suspects=True
        ),
        'two crashes, not apart': ScoreRule(
            lambda count: 1.0,
            2.0,
            isolates_suspects=False,
        ),
        'sum of 1/n, not apart': ScoreRule(
            lambda count: 1 / count,
            _SCORE_LIMIT,
            isolates_suspects=False,
        ),
        'level, not apart': QuarantineRule(
            server_count, isolates_suspects=False
        ),
        'level': QuarantineRule(server_count, isolates_suspects=True),
    }
