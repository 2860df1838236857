"""Bounds what a server of the product's own interface keeps for clients."""

import contextlib
import gc
import resource
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, Final

from mustardshunt.connections import (
    ConnectionBound,
    ConnectionTable,
    make_connection_limits,
)
from mustardshunt.memory import HeldPart, Holding, MemoryAccount

# Memory for the bodies that are being received or handled, in MB, unless
# bodies of the largest size that the settings allow need more.
BODY_MEMORY_MB: Final = 16
# Bodies of the largest size for which there is room.
LARGEST_BODIES: Final = 4
# Connections with an unanswered or invalid request after which garbage is
# collected, which took 42 ms in a process with the modules of a node.
CONNECTIONS_AS_GARBAGE: Final = 128
_BYTES_PER_MB: Final = 1024 * 1024


class GarbageCount:
    """Starts a garbage collection after many connections that ended early.

    Their requests, bodies and errors refer to each other. The interpreter
    collects them only when their number has grown by a quarter of all objects,
    and the crowds of the tests left about 20 MB until then.
    """

    def __init__(self) -> None:
        self._connections = 0

    def add_connection(self) -> None:
        """Count a connection that ended before its request was answered."""
        self._connections += 1
        if self._connections >= CONNECTIONS_AS_GARBAGE:
            self._connections = 0
            gc.collect()


@dataclass(frozen=True, slots=True)
class ConnectionGuard:
    """Bounds the connections of one server, and their bodies.

    Parameters
    ----------
    table : ConnectionTable
        Decides which connections are open.
    memory : MemoryAccount
        Account to which bodies are charged.
    garbage : GarbageCount
        Counts connections that ended early.
    """

    table: ConnectionTable[Any]
    memory: MemoryAccount
    garbage: GarbageCount

    @contextlib.contextmanager
    def hold_body(self) -> Generator[Holding]:
        """Yield what one body is charged to until its request is answered."""
        holding = self.memory.open(HeldPart.REQUESTS)
        try:
            yield holding
        finally:
            holding.clear()


def make_caller_guard(max_body_bytes: int) -> ConnectionGuard:
    """Make the guard of the callers' server.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body that is accepted.
    """
    limits = make_connection_limits(_descriptor_limit())
    return _make_guard('callers', limits.callers, max_body_bytes)


def make_backend_guard(max_body_bytes: int) -> ConnectionGuard:
    """Make the guard of the server for child calls and heartbeats.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body that is accepted.
    """
    limits = make_connection_limits(_descriptor_limit())
    bound = ConnectionBound(limits.backend)
    return _make_guard('backend', bound, max_body_bytes)


def make_metrics_guard() -> ConnectionGuard:
    """Make the guard of the server for the monitoring system."""
    limits = make_connection_limits(_descriptor_limit())
    return _make_guard('metrics', limits.metrics, 0)


def _make_guard(
    kind: str, bound: ConnectionBound, max_body_bytes: int
) -> ConnectionGuard:
    capacity = max(
        BODY_MEMORY_MB * _BYTES_PER_MB, LARGEST_BODIES * max_body_bytes
    )
    return ConnectionGuard(
        ConnectionTable(kind, bound),
        MemoryAccount(capacity, max_body_bytes),
        GarbageCount(),
    )


def _descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
