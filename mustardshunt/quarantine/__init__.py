"""Requests that crash backend servers."""

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
