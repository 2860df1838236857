"""Detection and quarantine of requests that crash backend servers.

Such a poison request would crash one backend server after another if it were
retried. Each crash raises the suspicion level of the requests in flight. Those
with a positive level are suspects and run apart from each other, so that the
next crash tells them apart. From a threshold on, a request is refused.
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
