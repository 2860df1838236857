"""Detection and quarantine of requests that crash backend servers.

Retries of such a poison request would crash one backend server after another.
Each crash raises the suspicion level of the requests in flight. Requests with
a positive suspicion level are suspects. Different suspects do not run at the
same time at a backend server, so that the next crash shows which suspect is
the cause. Requests whose suspicion level reaches a threshold are refused.
"""

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
from mustardshunt.quarantine._fingerprints import Fingerprint, make_fingerprint
from mustardshunt.quarantine._quarantine import (
    CRASH_INCREMENT,
    FINISH_DECREMENT,
    MIN_SUSPICION_LEVEL,
    QUARANTINE_THRESHOLD,
    RequestQuarantine,
    make_request_quarantine,
)

__all__ = [
    'CRASH_INCREMENT',
    'FINISH_DECREMENT',
    'MIN_SUSPICION_LEVEL',
    'QUARANTINE_THRESHOLD',
    'BackendServerCrashed',
    'CallFinished',
    'CrashReport',
    'CrashReportArrived',
    'Fingerprint',
    'ForwardCrashReport',
    'QuarantineCounts',
    'QuarantineDecision',
    'QuarantineStarted',
    'RequestQuarantine',
    'SuspicionScore',
    'make_fingerprint',
    'make_request_quarantine',
]
