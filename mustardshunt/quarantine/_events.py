"""Data classes of the quarantine: events, actions and crash reports."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Incarnation
from mustardshunt.quarantine._fingerprints import Fingerprint


class QuarantineDecision(enum.StrEnum):
    """Decision whether a call may start at the backend server."""

    RUN = 'run'
    # The call must wait, because another suspect runs at the backend server.
    # When that suspect has ended, the call must be checked again.
    WAIT = 'wait'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class BackendServerCrashed:
    """Event: this node's backend server has closed all its connections.

    Parameters
    ----------
    in_flight : tuple of Fingerprint
        Fingerprints of the calls that ran at the time of the crash. A
        fingerprint that occurs several times counts once.
    """

    in_flight: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True)
class CallFinished:
    """Event: a call has ended, and the backend server has not crashed.

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
    """Report of the crash of a backend server, which is sent to all nodes.

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
        The report; the same report may have arrived from another neighbour
        before.
    """

    report: CrashReport


@dataclass(frozen=True, slots=True)
class Verdict:
    """A quarantined fingerprint, which is told to nodes without the reports.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint whose calls are refused.
    level : int
        Suspicion level at the node that has reached the verdict.
    until : float
        Time at which the quarantine ends, in seconds.
    crashes : tuple of str
        Nodes beside the last backend servers that crashed under the request.
    """

    fingerprint: Fingerprint
    level: int
    until: float
    crashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VerdictArrived:
    """Event: another node has quarantined a fingerprint.

    Parameters
    ----------
    verdict : Verdict
        The verdict, which may have arrived before.
    """

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """Event: an operator has lifted the quarantine of a fingerprint.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint whose calls may run again.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class QuarantineEnded:
    """Action: report that a quarantine has ended.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint whose calls may run again.
    """

    fingerprint: Fingerprint


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
    """Action: report that a quarantine has started.

    From now on, calls with the fingerprint are refused.

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
    """Numbers of stored fingerprints, for metrics.

    Parameters
    ----------
    known : int
        Number of all stored fingerprints.
    suspects : int
        Number of fingerprints with a positive suspicion level, without the
        quarantined fingerprints.
    quarantined : int
        Number of fingerprints whose calls are refused.
    """

    known: int
    suspects: int
    quarantined: int
