"""Division of a process's descriptors among the kinds of its connections."""

from dataclasses import dataclass
from typing import Final

# Descriptors of the process itself: standard streams, event loop, listening
# sockets, files that are read at the start.
OWN_DESCRIPTORS: Final = 32
# Descriptors of connections that are being closed: their sockets are closed
# only in the next iteration of the event loop.
CLOSING_DESCRIPTORS: Final = 16
# Connections to the platform's store; a node has at most this many requests
# open at once.
PLATFORM_CONNECTIONS: Final = 8
# Part of the descriptors for each kind of status connection, and its bounds.
STATUS_FRACTION: Final = 1 / 32
MIN_STATUS: Final = 4
MAX_STATUS: Final = 32
# Parts of the descriptors that are left. At 4,100 the backend server may have
# 1,200 connections, the most that a policy allows.
CALLER_FRACTION: Final = 3 / 8
BACKEND_FRACTION: Final = 5 / 16
PEER_FRACTION: Final = 3 / 16
LINK_FRACTION: Final = 1 / 8


@dataclass(frozen=True, slots=True)
class ConnectionBound:
    """Bound on the open connections of one kind.

    Parameters
    ----------
    most : int
        Connections that are served.
    most_refusing : int, default=0
        Further connections that are kept until their refusal has been read.
    """

    most: int
    most_refusing: int = 0


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Connections that a process may have open, by kind.

    Parameters
    ----------
    descriptors : int
        Descriptors that the process may have open.
    callers : ConnectionBound
        Connections of callers.
    peers : ConnectionBound
        Links that other nodes have opened.
    ready : ConnectionBound
        Connections of readiness checks.
    control : ConnectionBound
        Connections of the backend server's status reports.
    metrics : ConnectionBound
        Connections of the monitoring system.
    links : int
        Links that this node opens.
    backend : int
        Connections to the backend server.
    """

    descriptors: int
    callers: ConnectionBound
    peers: ConnectionBound
    ready: ConnectionBound
    control: ConnectionBound
    metrics: ConnectionBound
    links: int
    backend: int


def make_connection_limits(descriptors: int) -> ConnectionLimits:
    """Divide the descriptors of a process.

    Each kind has a part of its own, so none can take the descriptors of
    another.

    Parameters
    ----------
    descriptors : int
        Descriptors that the process may have open.

    Examples
    --------
    >>> limits = make_connection_limits(256)
    >>> limits.callers, limits.backend
    (ConnectionBound(most=63, most_refusing=8), 52)
    """
    status = int(descriptors * STATUS_FRACTION)
    status = max(MIN_STATUS, min(MAX_STATUS, status))
    # Three kinds of status connections, and callers that are being refused.
    reserved = OWN_DESCRIPTORS + CLOSING_DESCRIPTORS + PLATFORM_CONNECTIONS
    left = max(0, descriptors - reserved - 4 * status)
    return ConnectionLimits(
        descriptors,
        ConnectionBound(_share(left, CALLER_FRACTION), status),
        ConnectionBound(_share(left, PEER_FRACTION)),
        ConnectionBound(status),
        ConnectionBound(status),
        ConnectionBound(status),
        _share(left, LINK_FRACTION),
        _share(left, BACKEND_FRACTION),
    )


def _share(descriptors: int, fraction: float) -> int:
    return max(1, int(descriptors * fraction))
