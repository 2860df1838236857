"""Decides which slow transfers give way, for every kind of connection."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

# Rate below which a transfer gives way while memory or descriptors are short.
# A head of 16 KB at this rate takes longer than any ``header_timeout``.
LEAST_BYTES_PER_SECOND: Final = 4096
# Age of a transfer from which its rate is known.
GRACE_SECONDS: Final = 1.0


class Stage(enum.Enum):
    """What a transfer moves."""

    # The head of a request, or a client that has not named itself.
    HEAD = 'head'
    # The body of a request, or a frame of a link.
    BODY = 'body'
    # Answers that the client reads.
    ANSWER = 'answer'


@dataclass(frozen=True, slots=True)
class Transfer:
    """A head, body or answer on its way.

    Parameters
    ----------
    stage : Stage
        What is on its way.
    began_at : float
        Time in seconds at which it began.
    progressed_at : float
        Time in seconds of the last bytes.
    moved_bytes : int
        Bytes that have been moved since it began.
    held_bytes : int
        Memory that it takes until it ends.
    """

    stage: Stage
    began_at: float
    progressed_at: float
    moved_bytes: int
    held_bytes: int


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Times after which a transfer gives way, in seconds.

    Parameters
    ----------
    header_timeout : float
        Longest time that a head takes.
    idle_timeout : float
        Longest time without progress of a body or an answer.
    """

    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class Shortage:
    """What has to be returned before there is enough room again.

    Parameters
    ----------
    missing_bytes : int, default=0
        Bytes of memory.
    missing_connections : int, default=0
        Connections, each of which has a descriptor.
    """

    missing_bytes: int = 0
    missing_connections: int = 0

    def __bool__(self) -> bool:
        """Whether anything is short."""
        return self.missing_bytes > 0 or self.missing_connections > 0


OwnerT = TypeVar('OwnerT')


def is_late(transfer: Transfer, now: float, limits: ProgressLimits) -> bool:
    """Tell whether a transfer has made no progress for too long.

    Examples
    --------
    >>> limits = ProgressLimits(header_timeout=3, idle_timeout=15)
    >>> is_late(Transfer(Stage.HEAD, 0, 2.5, 10, 10), 4, limits)
    True
    >>> is_late(Transfer(Stage.BODY, 0, 2.5, 10, 10), 4, limits)
    False
    """
    if transfer.stage is Stage.HEAD:
        return now - transfer.began_at > limits.header_timeout
    return now - transfer.progressed_at > limits.idle_timeout


def is_slow(transfer: Transfer, now: float) -> bool:
    """Tell whether a transfer is below the least rate."""
    age = now - transfer.began_at
    if age < GRACE_SECONDS:
        return False
    return transfer.moved_bytes < age * LEAST_BYTES_PER_SECOND


def choose_slow(
    transfers: Iterable[tuple[OwnerT, Transfer]],
    now: float,
    shortage: Shortage,
) -> list[OwnerT]:
    """Return the owners of transfers that give way, none without a shortage.

    Those that hold most go first, and of equal ones the slowest. No more are
    chosen than the shortage asks for.

    Parameters
    ----------
    transfers : iterable of (owner, Transfer)
        Transfers of one kind of connection.
    now : float
        Time in seconds.
    shortage : Shortage
        What is short.
    """
    if not shortage:
        return []
    slow = [entry for entry in transfers if is_slow(entry[1], now)]
    slow.sort(key=lambda entry: _rank(entry[1], now))
    chosen: list[OwnerT] = []
    returned_bytes = 0
    for owner, transfer in slow:
        if (
            returned_bytes >= shortage.missing_bytes
            and len(chosen) >= shortage.missing_connections
        ):
            break
        chosen.append(owner)
        returned_bytes += transfer.held_bytes
    return chosen


def _rank(transfer: Transfer, now: float) -> tuple[int, float]:
    return (
        -transfer.held_bytes,
        transfer.moved_bytes / (now - transfer.began_at),
    )
