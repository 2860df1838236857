"""Detection and quarantine of requests that crash backend servers.

Retries of such a poison request would crash one backend server after another.
Each crash raises the suspicion level of the requests in flight. Requests with
a positive suspicion level are suspects. Different suspects do not run at the
same time at a backend server, so that the next crash shows which suspect is
the cause. Requests whose suspicion level reaches a threshold are refused.
"""

from mustardshunt.quarantine._crash_detector import (
    SAME_CRASH_SECONDS,
    CrashDetector,
    LostCall,
)
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
    COLLECTED_THRESHOLD,
    CRASH_INCREMENT,
    FINISH_DECREMENT,
    MIN_SUSPICION_LEVEL,
    QUARANTINE_THRESHOLD,
    CollectedEvidence,
    EvidenceRule,
    SharedEvidence,
)
from mustardshunt.quarantine._fingerprints import Fingerprint, make_fingerprint
from mustardshunt.quarantine._quarantine import (
    RequestQuarantine,
    make_request_quarantine,
)

__all__ = [
    'COLLECTED_THRESHOLD',
    'CRASH_INCREMENT',
    'FINISH_DECREMENT',
    'MIN_SUSPICION_LEVEL',
    'QUARANTINE_THRESHOLD',
    'SAME_CRASH_SECONDS',
    'BackendServerCrashed',
    'CallFinished',
    'CollectedEvidence',
    'CrashDetector',
    'CrashReport',
    'CrashReportArrived',
    'EvidenceRule',
    'Fingerprint',
    'ForwardCrashReport',
    'LostCall',
    'QuarantineCounts',
    'QuarantineDecision',
    'QuarantineEnded',
    'QuarantineLifted',
    'QuarantineStarted',
    'RequestQuarantine',
    'SharedEvidence',
    'SuspicionScore',
    'Verdict',
    'VerdictArrived',
    'make_fingerprint',
    'make_request_quarantine',
]
