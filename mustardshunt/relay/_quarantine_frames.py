"""Frames about requests that crash backend servers.

The fields of a frame are encoded by position, so their order is part of the
protocol between nodes.
"""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CrashReportFrame:
    """Tells that a backend server has crashed, and which calls it ran.

    Parameters
    ----------
    node : str
        Identifies the run of the node beside the backend server.
    number : int
        Number of the crash at that run, from 1.
    service : str
        Service of the backend server.
    suspects : bytes
        CBOR array of the calls in flight, each an array of its fingerprint and
        its suspicion level.
    """

    node: str
    number: int
    service: str
    suspects: bytes


@dataclass(frozen=True, slots=True)
class VerdictFrame:
    """Tells that a request is quarantined.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    level : int
        Suspicion level of the request.
    seconds_left : float
        Time in seconds after which the quarantine ends.
    crashes : bytes
        CBOR array of the nodes beside the backend servers that crashed.
    """

    fingerprint: str
    level: int
    seconds_left: float
    crashes: bytes


@dataclass(frozen=True, slots=True)
class LiftFrame:
    """Tells that an operator has lifted a quarantine.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    """

    fingerprint: str


QuarantineFrame: TypeAlias = CrashReportFrame | VerdictFrame | LiftFrame
