"""Events, actions, decisions and crash reports of the quarantine."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Incarnation
from mustardshunt.quarantine._fingerprints import Fingerprint


class QuarantineDecision(enum.StrEnum):
    """Whether a call may start at the backend server."""

    RUN = 'run'
    # Another suspect runs at the backend server; the call must be checked again
    # when that suspect has ended.
    WAIT = 'wait'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class BackendServerCrashed:
    """Event: the node's backend server has closed all its connections.

    Parameters
    ----------
    in_flight : tuple of Fingerprint
        Calls that ran at the time of the crash; a fingerprint that occurs
        several times counts once.
    """

    in_flight: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class CallFinished:
    """Event: a call has ended without a crash.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the call.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class SuspicionScore:
    """Suspicion level of one fingerprint in a crash report.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of a call that was in flight at the crash.
    level : int
        Suspicion level at the reporting node after the crash.
    """

    fingerprint: Fingerprint
    level: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report of a crash that all nodes receive.

    Parameters
    ----------
    node : Incarnation
        Node whose backend server has crashed.
    number : int
        Number of the crash at that node, from 1.
    service : str
        Service of the backend server.
    scores : tuple of SuspicionScore
        Suspicion levels of the calls in flight, the highest first.
    """

    node: Incarnation
    number: int
    service: str
    scores: tuple[SuspicionScore, ...]


@dataclass(frozen=True, slots=True)
class CrashReportArrived:
    """Event: a crash report has arrived from a neighbour.

    Parameters
    ----------
    report : CrashReport
        Report, which may have arrived on another path before.
    """

    report: CrashReport


@dataclass(frozen=True, slots=True)
class ForwardCrashReport:
    """Action: forward a crash report to the neighbours.

    Parameters
    ----------
    report : CrashReport
        Report that the neighbours may not have received yet.
    """

    report: CrashReport


@dataclass(frozen=True, slots=True)
class QuarantineStarted:
    """Action: report that calls with a fingerprint are refused from now on.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint that is in quarantine.
    until : float
        Time at which the quarantine ends, in seconds.
    """

    fingerprint: Fingerprint
    until: float


@dataclass(frozen=True, slots=True)
class QuarantineCounts:
    """Numbers of fingerprints, for metrics.

    Parameters
    ----------
    known : int
        Fingerprints that are stored.
    suspects : int
        Fingerprints with a positive suspicion level that are not
        quarantined.
    quarantined : int
        Fingerprints that are refused.
    """

    known: int
    suspects: int
    quarantined: int
