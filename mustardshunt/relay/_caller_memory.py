"""Memory of the requests and responses on one connection of a caller."""

import asyncio
import http
from collections.abc import Callable
from typing import Final

from mustardshunt.connections import Stage, Transfer
from mustardshunt.memory import SMALL_BYTES, HeldPart, MemoryAccount
from mustardshunt.relay._acceptor import unacknowledged_bytes
from mustardshunt.relay._head_memory import SMALL_HEAD_BYTES, HeadMemory
from mustardshunt.relay._large_request import LargeRequestMemory
from mustardshunt.relay._messages import HttpRequest, HttpResponse
from mustardshunt.relay._request_intake import RequestIntake
from mustardshunt.relay._sent_bytes import SentBytes

# Interval between checks whether a caller has its last response.
SENDING_CHECK_SECONDS: Final = 0.05


class CallerMemory:
    """Charges what one connection keeps, and refuses bodies without room.

    Parameters
    ----------
    memory : MemoryAccount
        Account to which the bytes are charged.
    intake : RequestIntake
        Keeps the requests that arrive and wait.
    on_refused : callable
        Called without arguments when the request that arrives is refused
        because of another one.
    """

    __slots__ = (
        '_arriving',
        '_bodies',
        '_intake',
        '_large',
        '_memory',
        '_on_refused',
        '_parser',
        '_ready_bytes',
        '_transport',
        '_unread',
        '_waiting',
        'heads',
        'is_arriving_charged',
        'sent',
    )

    def __init__(
        self,
        memory: MemoryAccount,
        intake: RequestIntake,
        on_refused: Callable[[], None],
    ) -> None:
        self._memory = memory
        self._intake = intake
        self._parser = intake.parser
        self._on_refused = on_refused
        self._arriving = memory.open(HeldPart.REQUESTS, self._refuse_arriving)
        self.heads = HeadMemory(memory, self._refuse_arriving)
        self._bodies = memory.open(HeldPart.REQUESTS)
        self._waiting = memory.open(HeldPart.REQUESTS, self._refuse_waiting)
        self._unread = memory.open(HeldPart.RESPONSES, self._give_up_unread)
        self._large = LargeRequestMemory(memory, intake.parser)
        self._ready_bytes = 0
        # Lets a connection whose requests arrive in one piece skip the charge.
        self.is_arriving_charged = False
        self.sent = SentBytes()
        self._transport: asyncio.Transport | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Set the transport of the connection, which has just opened."""
        self._transport = transport

    @property
    def has_unsent(self) -> bool:
        """Whether the transport still has bytes to send.

        It keeps up to 64 KiB of an answer without a pause of the connection's
        task, which may be idle then.
        """
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not acknowledged."""
        transport = self._transport
        if transport is None:
            return 0
        kept_bytes = transport.get_write_buffer_size()
        return kept_bytes or unacknowledged_bytes(transport)

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that wait, or that the caller has not read."""
        if self._transport is None:
            return 0
        return self._unread_bytes(self._transport)

    def charge_waiting(self) -> None:
        """Charge the heads that wait for their turn, and what is behind them.

        The request that is handled next is not charged if its head is small.
        """
        parser = self._parser
        if (
            len(parser.requests) > 1
            or parser.queued_head_bytes > SMALL_HEAD_BYTES
            or self._waiting.held
        ):
            if parser.is_receiving or parser.queued_bytes != self._bodies.held:
                self.charge_request()
            self._waiting.resize(self._intake.waiting_bytes)

    def charge_request(self) -> None:
        """Charge the request that arrives, and bodies not answered yet.

        A body of stated length gets room for all of it, or is refused before
        it is read.
        """
        parser = self._parser
        self.is_arriving_charged = parser.is_receiving
        if parser.queued_bytes > self._bodies.held:
            # The request that arrived is complete.
            self._arriving.clear()
            self.heads.clear_arriving()
            self._reserve_bodies()
        if not parser.is_receiving or parser.error_status:
            self._arriving.clear()
            self.heads.clear_arriving()
        else:
            self.heads.charge_arriving(parser.arriving)
            self._charge_arriving()

    def release_body(self, request: HttpRequest) -> None:
        """Return the memory of a request that has been answered."""
        if request.body and self._transport is not None:
            self._parser.queued_bytes -= len(request.body)
            self._bodies.resize(self._parser.queued_bytes)
        if request.large_body is not None:
            request.large_body.close()

    def add_ready(self, handling: asyncio.Task[HttpResponse]) -> None:
        """Charge a response that waits for an earlier one.

        Parameters
        ----------
        handling : asyncio.Task
            Ended task that handled the request.
        """
        if not handling.cancelled():
            self._ready_bytes += len(handling.result().body)
            self.charge_unread()

    def remove_ready(self, response: HttpResponse) -> None:
        """Note that a response is written that has waited."""
        self._ready_bytes -= len(response.body)

    def charge_unread(self) -> None:
        """Charge the responses that the caller has not read yet."""
        if self._transport is None:
            return
        unread_bytes = self._unread_bytes(self._transport)
        if unread_bytes or self._unread.held:
            self._unread.resize(unread_bytes)

    def sending(self, now: float) -> Transfer | None:
        """Return what the caller has read, None if it has read everything.

        Must be called regularly.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if self._transport is None:
            return None
        unsent_bytes = self._transport.get_write_buffer_size()
        return self.sent.check(now, unsent_bytes, self._ready_bytes)

    def receiving(self, began_at: float, received_at: float) -> Transfer:
        """Return what has arrived of the request that is being received.

        Parameters
        ----------
        began_at : float
            Time in seconds at which the request began.
        received_at : float
            Time in seconds at which bytes arrived last.
        """
        return Transfer(
            Stage.HEAD if self._parser.is_in_head else Stage.BODY,
            began_at,
            received_at,
            self._parser.arriving.moved_bytes(),
            self._arriving.held
            + self.heads.arriving_bytes
            + self._large.arriving_bytes,
        )

    async def finish_sending(self, timeout: float) -> None:
        """Send no more; return when the caller has acknowledged everything.

        Parameters
        ----------
        timeout : float
            Time without progress after which the connection is aborted, in
            seconds.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        changed_at = loop.time()
        left_bytes = self.unsent_bytes
        while left_bytes:
            await asyncio.sleep(SENDING_CHECK_SECONDS)
            former_bytes, left_bytes = left_bytes, self.unsent_bytes
            if left_bytes != former_bytes:
                changed_at = loop.time()
            elif self._transport is not None and (
                loop.time() - changed_at > timeout
            ):
                self._transport.abort()
                return

    def close(self) -> None:
        """Return everything: the connection is closed."""
        self._transport = None
        self._arriving.clear()
        self.heads.close()
        self._bodies.clear()
        self._waiting.clear()
        self._unread.clear()
        self._large.close()

    def _charge_arriving(self) -> None:
        if self._parser.error_status:
            # Its head had to give way.
            return
        arriving = self._arriving
        stated_bytes = self._parser.stated_bytes
        if stated_bytes <= SMALL_BYTES:
            if self._large.is_growing_large():
                arriving.clear()
                self._large.keep(0)
            else:
                arriving.resize(self._parser.arriving_bytes)
            return
        if arriving.is_stated or self._parser.has_large_body:
            return
        if stated_bytes > self._memory.largest_body:
            self._large.keep(stated_bytes)
        elif not arriving.reserve(stated_bytes):
            self._memory.record_refusal(HeldPart.REQUESTS, stated_bytes)
            self._parser.refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _reserve_bodies(self) -> None:
        parser = self._parser
        while not self._bodies.reserve(parser.queued_bytes):
            self._memory.record_refusal(HeldPart.REQUESTS, parser.queued_bytes)
            if not parser.refuse_last(http.HTTPStatus.SERVICE_UNAVAILABLE):
                return

    def _refuse_arriving(self) -> None:
        self._parser.refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._on_refused()

    def _refuse_waiting(self) -> None:
        """Refuse the requests that wait; the caller sends them again."""
        self._intake.drop_waiting()
        self._bodies.resize(self._parser.queued_bytes)
        self._refuse_arriving()

    def _give_up_unread(self) -> None:
        # The caller may have read everything since the last charge.
        transport = self._transport
        if transport is not None and self._unread_bytes(transport):
            transport.abort()

    def _unread_bytes(self, transport: asyncio.Transport) -> int:
        return transport.get_write_buffer_size() + self._ready_bytes
