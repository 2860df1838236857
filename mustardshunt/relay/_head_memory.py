"""Memory of the parsed heads on one connection of a caller."""

from collections.abc import Callable
from typing import Final

from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.relay._arriving_request import ArrivingRequest
from mustardshunt.relay._request_parser import ParsedRequest

# Parsed head of this size or below is not charged while it is handled: each
# connection has room for one in the memory of the process itself. It has about
# 50 fields, which take 9 KB.
SMALL_HEAD_BYTES: Final = 16384
# Memory of a request that is handled beside others of its connection, besides
# its head: its task, its call and their frames. Measured by resident memory:
# 22 KB for each of 2,520 pipelined requests, with heads of three fields.
TASK_BYTES: Final = 20480


class HeadMemory:
    """Charges the heads of requests that arrive or are being handled.

    Parameters
    ----------
    memory : MemoryAccount
        Account to which the heads are charged.
    refuse_arriving : callable
        Refuses the request that arrives, when its head has to give way.
    """

    __slots__ = ('_arriving', '_handled', '_is_closed', '_memory')

    def __init__(
        self, memory: MemoryAccount, refuse_arriving: Callable[[], None]
    ) -> None:
        self._memory = memory
        self._arriving = memory.open(HeldPart.HEADS, refuse_arriving)
        self._handled = memory.open(HeldPart.HEADS)
        self._is_closed = False

    @property
    def arriving_bytes(self) -> int:
        """Memory that is charged for the head that arrives."""
        return self._arriving.held

    def charge_arriving(self, arriving: ArrivingRequest) -> None:
        """Charge the head that arrives, which may have to give way."""
        size = arriving.memory_of_head()
        if size > SMALL_HEAD_BYTES or self._arriving.held:
            self._arriving.resize(size)

    def clear_arriving(self) -> None:
        """Note that no head arrives any more."""
        self._arriving.clear()

    def start(self, parsed: ParsedRequest, is_ahead: bool = False) -> bool:
        """Reserve room for a request that is handled now.

        Parameters
        ----------
        parsed : ParsedRequest
            Request that is handled.
        is_ahead : bool, default=False
            Whether others of its connection are being handled.

        Returns
        -------
        bool
            False if there is no room: the request must not be handled now.
        """
        size = _handled_bytes(parsed, is_ahead)
        if not size or self._handled.reserve(self._handled.held + size):
            return True
        if not is_ahead:
            self._memory.record_refusal(HeldPart.HEADS, size)
        return False

    def end(self, parsed: ParsedRequest, is_ahead: bool = False) -> None:
        """Return the room of a request that has been handled."""
        size = _handled_bytes(parsed, is_ahead)
        if size and not self._is_closed:
            self._handled.resize(self._handled.held - size)

    def close(self) -> None:
        """Return everything: the connection is closed."""
        self._is_closed = True
        self._arriving.clear()
        self._handled.clear()


def _handled_bytes(parsed: ParsedRequest, is_ahead: bool) -> int:
    if is_ahead:
        return parsed.head_bytes + TASK_BYTES
    return parsed.head_bytes if parsed.head_bytes > SMALL_HEAD_BYTES else 0
