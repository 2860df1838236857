"""Events, actions and records of the suspect list."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Incarnation
from mustardshunt.quarantine._fingerprints import Fingerprint


class QuarantineDecision(enum.StrEnum):
    """What to do with a call that is about to start."""

    RUN = 'run'
    # Another suspect runs on the backend server; ask again when it ends.
    WAIT = 'wait'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class BackendServerCrashed:
    """The backend server's connections closed together.

    Parameters
    ----------
    in_flight : tuple of Fingerprint
        Calls that had begun and not ended; repeats count once.
    """

    in_flight: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A call ended without a crash.

    Parameters
    ----------
    fingerprint : Fingerprint
        Its fingerprint.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class SuspicionScore:
    """One fingerprint in the report of a crash.

    Parameters
    ----------
    fingerprint : Fingerprint
        Request that was in flight.
    level : int
        Level at the reporting node after the crash.
    """

    fingerprint: Fingerprint
    level: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What a node tells all others about a crash.

    Parameters
    ----------
    node : Incarnation
        Node that saw the crash.
    number : int
        Number of the crash at that node, from 1.
    service : str
        Service of the backend server.
    scores : tuple of SuspicionScore
        Scores, the highest first.
    """

    node: Incarnation
    number: int
    service: str
    scores: tuple[SuspicionScore, ...]


@dataclass(frozen=True, slots=True)
class CrashReportArrived:
    """A neighbour passed a report on.

    Parameters
    ----------
    report : CrashReport
        Report, perhaps known already.
    """

    report: CrashReport


@dataclass(frozen=True, slots=True)
class ForwardCrashReport:
    """Pass a report on to the neighbours.

    Parameters
    ----------
    report : CrashReport
        Report that they may not know yet.
    """

    report: CrashReport


@dataclass(frozen=True, slots=True)
class QuarantineStarted:
    """A fingerprint is refused from now on.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint.
    until : float
        End of the quarantine in seconds.
    """

    fingerprint: Fingerprint
    until: float


@dataclass(frozen=True, slots=True)
class QuarantineCounts:
    """View for metrics.

    Parameters
    ----------
    known : int
        Fingerprints that are remembered.
    suspects : int
        Those that run apart from each other.
    quarantined : int
        Those that are refused.
    """

    known: int
    suspects: int
    quarantined: int
