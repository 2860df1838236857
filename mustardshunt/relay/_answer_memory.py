"""Memory of the answer that arrives on one connection."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from mustardshunt.memory import SMALL_BYTES, HeldPart, MemoryAccount
from mustardshunt.relay._answer_parser import AnswerParser

# Receive buffer of a connection whose answer waits for memory. The kernel's
# buffer counts as memory of the process, and would grow to several MB.
PAUSED_RECEIVE_BUFFER_BYTES: Final = 65536


class AnswerMemory:
    """Charges an arriving answer, and stops reading it without room.

    Parameters
    ----------
    memory : MemoryAccount
        Account to which the answer is charged.
    part : HeldPart
        Part of the account that the answer belongs to.
    parser : AnswerParser
        Parser that keeps the bytes of the answer.
    give_up : callable
        Called without arguments when the answer cannot be kept.
    """

    __slots__ = (
        '_give_up',
        '_held',
        '_memory',
        '_parser',
        '_transport',
        'is_charged',
    )

    def __init__(
        self,
        memory: MemoryAccount,
        part: HeldPart,
        parser: AnswerParser,
        give_up: Callable[[], None],
    ) -> None:
        self._memory = memory
        self._parser = parser
        self._give_up = give_up
        self._held = memory.open(part, give_up)
        self._transport: asyncio.Transport | None = None
        # Lets a connection whose answers arrive in one piece skip the release.
        self.is_charged = False

    def charge(self, transport: asyncio.Transport) -> None:
        """Charge an answer that has not arrived completely.

        An answer of stated length gets room for all of it. If there is none,
        the rest is not read until there is, or until the call is cancelled.

        Parameters
        ----------
        transport : asyncio.Transport
            Connection on which the answer arrives.
        """
        self.is_charged = True
        stated_bytes = self._parser.stated_bytes
        if stated_bytes <= SMALL_BYTES:
            self._held.resize(self._parser.held_bytes)
            return
        if self._held.is_stated or self._held.reserve(stated_bytes):
            return
        if stated_bytes > self._memory.largest_body:
            self._memory.record_refusal(self._held.part, stated_bytes)
            self._give_up()
        elif transport.is_reading():
            self._pause(transport, stated_bytes)

    def release(self) -> None:
        """Drop the answer, which has been passed on or is not wanted."""
        self.is_charged = False
        self._parser.drop()
        self._memory.stop_waiting(self._held)
        self._held.clear()
        self._transport = None

    def _pause(self, transport: asyncio.Transport, stated_bytes: int) -> None:
        transport.pause_reading()
        self._transport = transport
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, PAUSED_RECEIVE_BUFFER_BYTES
        )
        self._memory.wait(self._held, stated_bytes, self._resume)

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
