"""Frames in which nodes tell each other of crashes and verdicts."""

import math
from typing import Any, Final

import cbor2

from mustardshunt.base import Incarnation
from mustardshunt.quarantine import (
    CrashReport,
    Fingerprint,
    SuspicionScore,
    Verdict,
)
from mustardshunt.relay import CrashReportFrame, FrameError, VerdictFrame

# Bounds of what a peer may send; larger frames come from no node.
_MAX_SUSPECTS: Final = 1024
_MAX_LEVEL: Final = 1000
_MAX_NAME_LENGTH: Final = 256


def encode_report(report: CrashReport) -> CrashReportFrame:
    """Return the frame for a crash report."""
    return CrashReportFrame(
        report.node,
        report.number,
        report.service,
        cbor2.dumps([
            [score.fingerprint, score.level] for score in report.scores
        ]),
    )


def decode_report(frame: CrashReportFrame) -> CrashReport:
    """Return the crash report that a frame stands for.

    Raises
    ------
    FrameError
        The suspects cannot be decoded.
    """
    scores = []
    for suspect in _decode_list(frame.suspects):
        if not isinstance(suspect, list) or len(suspect) != 2:
            raise FrameError(f'expected a suspect, found {suspect!r}')
        scores.append(
            SuspicionScore(
                Fingerprint(_check_text(suspect[0])), _check_level(suspect[1])
            )
        )
    return CrashReport(
        Incarnation(_check_text(frame.node)),
        frame.number,
        frame.service,
        tuple(scores),
    )


def encode_verdict(verdict: Verdict, now: float) -> VerdictFrame:
    """Return the frame for a verdict.

    Parameters
    ----------
    verdict : Verdict
        The verdict; its end is sent as the time that is left, since the nodes'
        clocks differ.
    now : float
        Time in seconds.
    """
    return VerdictFrame(
        verdict.fingerprint,
        verdict.level,
        max(0.0, verdict.until - now),
        cbor2.dumps(list(verdict.crashes)),
    )


def decode_verdict(frame: VerdictFrame, now: float) -> Verdict:
    """Return the verdict that a frame stands for.

    Raises
    ------
    FrameError
        A field cannot be decoded or is out of its range.
    """
    if not math.isfinite(frame.seconds_left):
        raise FrameError(f'expected seconds, found {frame.seconds_left}')
    crashes = tuple(_check_text(name) for name in _decode_list(frame.crashes))
    return Verdict(
        Fingerprint(_check_text(frame.fingerprint)),
        _check_level(frame.level),
        now + frame.seconds_left,
        crashes,
    )


def _decode_list(encoded: bytes) -> list[Any]:
    try:
        items = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f'not CBOR: {error}') from error
    if not isinstance(items, list) or len(items) > _MAX_SUSPECTS:
        raise FrameError(
            f'expected an array of at most {_MAX_SUSPECTS} items, '
            f'found {type(items).__name__}'
        )
    return items


def _check_text(found: Any) -> str:
    if not isinstance(found, str) or len(found) > _MAX_NAME_LENGTH:
        raise FrameError(f'expected a short text, found {found!r:.80}')
    return found


def _check_level(found: Any) -> int:
    is_integer = isinstance(found, int) and not isinstance(found, bool)
    if not is_integer or abs(found) > _MAX_LEVEL:
        raise FrameError(f'expected a suspicion level, found {found!r:.80}')
    return int(found)
