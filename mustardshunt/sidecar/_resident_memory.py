"""Resident memory of this process, beside what its account holds."""

import os
from pathlib import Path
from typing import Final

from mustardshunt.memory import MemoryAccount
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._metrics import SidecarMetrics

# Part of the memory limit above which a line is written.
LOGGED_FRACTION: Final = 0.8
# Shortest time between two such lines.
LOG_INTERVAL_SECONDS: Final = 5.0
_STATM: Final = Path('/proc/self/statm')
_BYTES_PER_MB: Final = 1024 * 1024


def read_resident_bytes() -> int:
    """Return the bytes of this process in memory, 0 if they are not known."""
    try:
        pages = int(_STATM.read_text(encoding='ascii').split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE')


class ResidentMemory:
    """Reports the resident memory in the metrics and, if it is high, the log.

    Parameters
    ----------
    memory_mb : float
        Memory in MB that the process may use.
    account : MemoryAccount
        Account of what the process keeps for others.
    log : EventLog
        Log of the line ``memory-high``.
    metrics : SidecarMetrics
        Metrics of the node.
    """

    def __init__(
        self,
        memory_mb: float,
        account: MemoryAccount,
        log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._limit = int(memory_mb * _BYTES_PER_MB)
        self._account = account
        self._log = log
        self._metrics = metrics
        self._logged_at = -LOG_INTERVAL_SECONDS

    def set_limit(self, memory_mb: float) -> None:
        """Set the memory in MB that the process may use."""
        self._limit = int(memory_mb * _BYTES_PER_MB)

    def refresh(self) -> None:
        """Update the metric."""
        self._metrics.resident_bytes.set(read_resident_bytes())

    def check(self, now: float) -> None:
        """Log resident memory near the limit, at most every few seconds.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        resident_bytes = read_resident_bytes()
        if resident_bytes < self._limit * LOGGED_FRACTION:
            return
        self._logged_at = now
        self._log.record(
            'memory-high',
            now,
            resident=resident_bytes,
            limit=self._limit,
            held=self._account.held,
        )
