"""Limits that follow from the memory of a process."""

from dataclasses import dataclass
from typing import Final

BYTES_PER_MB: Final = 1024 * 1024
# Memory of a process that keeps nothing for others: the interpreter, the
# tables of members and routes, heads, connections and kernel buffers. A process
# without calls uses 35 MB, and 128 MB is the target at the design size.
RESERVED_MB: Final = 96
# Capacity of a process whose memory limit is close to the reserve.
MIN_CAPACITY_BYTES: Final = 16 * BYTES_PER_MB
# While a body passes from one part to the next it exists in up to four copies:
# joined, encoded, with its length prefix, and in the buffer of the transport.
# The part of the memory that is not in the capacity is for the three further
# copies of one body.
CAPACITY_FRACTION: Final = 0.5
LARGEST_BODY_FRACTION: Final = 1 / 3
# Longest body that is passed on in one frame. A longer one does not fit into
# the buffer of a link, whose limit is 32 MiB.
MAX_BODY_BYTES: Final = 30 * BYTES_PER_MB
# Longest body that is kept beside the account, the largest that the policy of
# the users allows.
MAX_LARGE_BODY_BYTES: Final = 64 * BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class LargeBodyLimits:
    """Limits on the one large body that is kept beside the account.

    Parameters
    ----------
    available : int
        Bytes of the process for all that it keeps for others, with copies.
    capacity : int
        Capacity of the account without a large body, in bytes.
    largest_body : int
        Bytes of the largest body that is kept in the account.

    Examples
    --------
    >>> limits = large_body_limits(200)
    >>> limits.largest // BYTES_PER_MB
    64
    >>> limits.capacity_beside(limits.largest) // BYTES_PER_MB
    20
    >>> large_body_limits(150).largest // BYTES_PER_MB
    22
    >>> large_body_limits(128).largest
    0
    """

    available: int
    capacity: int
    largest_body: int

    @property
    def largest(self) -> int:
        """Bytes of the largest large body, 0 if none is kept.

        The smallest capacity, with the copies of what is in it, fits beside it.
        """
        left = self.available - int(MIN_CAPACITY_BYTES / CAPACITY_FRACTION)
        largest = min(MAX_LARGE_BODY_BYTES, left)
        return largest if largest > self.largest_body else 0

    def capacity_beside(self, size: int) -> int:
        """Return the capacity of the account while a large body is kept.

        A large body exists once, since it is passed on in parts.

        Parameters
        ----------
        size : int
            Bytes of the large body, 0 for none.
        """
        left = int((self.available - size) * CAPACITY_FRACTION)
        return max(MIN_CAPACITY_BYTES, min(self.capacity, left))


def memory_limits(memory_mb: float) -> tuple[int, int]:
    """Return the capacity and the largest body of a process, in bytes.

    Parameters
    ----------
    memory_mb : float
        Memory in MB that the process may use.
    """
    capacity = max(
        MIN_CAPACITY_BYTES, int(_available_bytes(memory_mb) * CAPACITY_FRACTION)
    )
    largest_body = min(MAX_BODY_BYTES, int(capacity * LARGEST_BODY_FRACTION))
    return capacity, largest_body


def large_body_limits(memory_mb: float) -> LargeBodyLimits:
    """Return the limits on a body that is kept beside the account.

    Parameters
    ----------
    memory_mb : float
        Memory in MB that the process may use.
    """
    return LargeBodyLimits(
        int(_available_bytes(memory_mb)), *memory_limits(memory_mb)
    )


def _available_bytes(memory_mb: float) -> float:
    return (memory_mb - RESERVED_MB) * BYTES_PER_MB
