"""Requests that crash backend servers."""

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
from mustardshunt.suspects._fingerprints import Fingerprint, make_fingerprint
from mustardshunt.suspects._suspect_list import (
    CRASH_STEP,
    FINISH_STEP,
    LOWEST_LEVEL,
    QUARANTINE_LEVEL,
    SuspectList,
    make_suspect_list,
)

__all__ = [
    'CRASH_STEP',
    'FINISH_STEP',
    'LOWEST_LEVEL',
    'QUARANTINE_LEVEL',
    'Crash',
    'CrashReport',
    'Fingerprint',
    'Finish',
    'QuarantineStarted',
    'Score',
    'ScoresArrived',
    'ShareScores',
    'SuspectCounts',
    'SuspectList',
    'Verdict',
    'make_fingerprint',
    'make_suspect_list',
]
